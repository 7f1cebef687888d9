"""Streams that are resumed at an entry that is some seconds behind the others.

Another software version joins in these seconds, and other entries begin streams
there.
"""

import signal
import time

import pytest

from cardamombarrow.platform.tests import version_scene
from tools import deployment

pytestmark = pytest.mark.process

ENTRY = "b-1"
"""The entry that is out of step."""


class _SilentScene(version_scene.Scene):
    """A deployment with an entry whose links can become silent.

    These are its first link to control, its list, and those on which other
    entries reach it. It asks for confirmations on other ones.
    """

    def __init__(self, folder, limits):
        super().__init__(folder, limits)
        running = self.running
        list_host = self.servers.listing_url.split("/")[2]
        self._links = [
            running.proxy.link(ENTRY, "list", list_host),
            running.proxy.link("any", ENTRY, running.peers[ENTRY]),
            *running.proxy.between([ENTRY], version_scene.CONTROL_NAMES),
        ]
        path = running.settings_path(ENTRY)
        text = path.read_text().replace(list_host, self._links[0].address)
        peers = f"[peers]\naddress = {self._links[1].address}\n"
        path.write_text(text.replace("[peers]\n", peers))
        self.start_processes([ENTRY])
        assert deployment.wait_until(
            lambda: "open streams known" in running.log(ENTRY)
        )

    def _plan(self):
        plan = super()._plan()
        plan.entries = {"a": ["a-1", "a-2"], "b": [ENTRY]}
        # An entry moves to a control process of its own domain, on a new link.
        plan.controls = dict(
            zip("acd", version_scene.CONTROLS.values(), strict=True)
        )
        plan.proxied = True
        plan.held_back = frozenset([ENTRY])
        return plan

    def silence(self):
        """Makes existing and new connections on the links silent."""
        for link in self._links:
            link.silence(new_too=True)


@pytest.fixture
def silent_scene(tmp_path):
    with _SilentScene(tmp_path, version_scene.WITHIN) as started:
        yield started


def _join(scene, count):
    """Has a second version take all new streams; returns the old servers."""
    old = list(scene.servers.listed.values())
    for each in old:
        each.state = "draining"
    for number in range(count):
        scene.servers.start(f"i-new-{number}", version="v2")
    time.sleep(version_scene.LISTED_S)
    return old


@version_scene.limited(version_scene.WITHIN)
@pytest.mark.parametrize("count", [1, 3])
def test_a_stopped_entry_goes_on_while_callers_wait_for_it(scene, count):
    # Guards against an entry that resumes streams by the versions that it knew
    # before it was stopped, for callers whose requests wait in its sockets.
    scene.running.signal(ENTRY, signal.SIGSTOP)
    old = _join(scene, count)
    scene.begin(["a-1", ENTRY], rotates=False)
    for each in old:
        each.state = "ready"
    scene.kill(["a-1", "a-2", "b-2"])
    time.sleep(version_scene.RETURNED_S)
    scene.running.signal(ENTRY, signal.SIGCONT)
    scene.check()


def test_an_entry_gets_no_news_while_another_version_joins(silent_scene):
    # Guards against an entry that takes the versions that it knows for all
    # since its links have not been silent for long.
    scene = silent_scene
    scene.silence()
    old = _join(scene, 1)
    scene.begin(["a-1", ENTRY], rotates=False)
    for each in old:
        each.state = "ready"
    scene.kill(["a-1", "a-2"])
    scene.check()
