"""Streams of callers that come back after processes of all kinds have died.

Software versions leave and arrive meanwhile. Callers come back until their own
limits, which differ from those of their routes.
"""

import contextlib
import dataclasses
import itertools
import json
import signal
import threading
import time

import pytest

from cardamombarrow.platform.tests import returning_callers
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from cardamombarrow.platform.tests import urgent_traffic
from tools import deployment

pytestmark = pytest.mark.process

_ENTRIES = {"a": ["a-1", "a-2"], "b": ["b-1", "b-2"]}
_NAMES = [name for group in _ENTRIES.values() for name in group]
_NEW = "b-3"
"""An entry that has never run."""

_CONTROLS = {name: [f"control-{name}"] for name in "abc"}
_SHORT = stream_client.Route("short", limit_ms=3_000)
_LONG = stream_client.Route("long", limit_ms=20_000)
_LONG_LOWERED = stream_client.Route("long", limit_ms=3_000)
_OTHER_SERVICE = "replies"
_SPLIT = stream_client.Route(
    "split",
    limit_ms=10_000,
    services=((standin.SERVICE, 50), (_OTHER_SERVICE, 50)),
)
_CONTROL_MEMORY_S = 62.0
"""Time after which control processes know which entries have never run."""

_STREAMS = 36
_PAUSE_S = 0.25
_BEGUN_S = 2 * _PAUSE_S
"""Time in which the events arrive that are sent before the disruption."""

_RETURNED_S = 0.5
"""Time in which callers come back after their connections broke."""

_HELD_AFTER = 2
_HELD_S = 10.0
"""Longest time for which the other events wait for the disruption."""

_LISTED_S = 1.2
"""Time in which all entries have read the list."""


@dataclasses.dataclass(frozen=True)
class _Limits:
    """A route, and how long its callers wait."""

    route: stream_client.Route
    caller_s: float


_LONGER = _Limits(_SHORT, 25.0)
"""Callers wait longer than their route allows."""

_WITHIN = _Limits(_LONG, 15.0)
_ALL_OF_IT = _Limits(_LONG, _LONG.limit_ms / 1_000)
_OF_SPLIT = _Limits(_SPLIT, 10.0)
_LONGER_OF_SPLIT = _Limits(_SPLIT, 25.0)


class _Scene(contextlib.ExitStack):
    """A deployment in front of servers of several versions, and its callers."""

    def __init__(self, folder, limits):
        super().__init__()
        self._numbers = itertools.count(1)
        self._limits = limits
        self._disturbed = threading.Event()
        answer = standin.Answer(pause_s=_PAUSE_S, hold=self._hold)
        self.servers = self.enter_context(standin.Servers(lambda _: answer))
        for service in (standin.SERVICE, _OTHER_SERVICE):
            self.start("v1", service)
        entries = {**_ENTRIES, "b": [*_ENTRIES["b"], _NEW]}
        plan = stream_client.plan(
            self.servers.listing_url, entries, [limits.route]
        )
        plan.controls = _CONTROLS
        plan.held_back = frozenset([_NEW])
        self.running = self.enter_context(deployment.Deployment(plan, folder))
        self.callers = self.enter_context(
            returning_callers.Callers(self.running, self.servers)
        )

    def _hold(self, number):
        if number > _HELD_AFTER:
            self._disturbed.wait(_HELD_S)

    def start(self, version, service=standin.SERVICE, state="ready"):
        """Starts two servers."""
        for _ in range(2):
            identity = f"i-{next(self._numbers)}"
            self.servers.start(
                identity, version=version, service=service, state=state
            )

    def list_second_version(self):
        """Has a second version listed, at which no stream begins yet."""
        self.start("v2", state="draining")
        time.sleep(_LISTED_S)

    def serve_second_version(self):
        """Has the second version take streams, too."""
        for each in self.servers.listed.values():
            each.state = "ready"

    def leave_second_version(self):
        """Ends the first version, and leaves the second one."""
        self.serve_second_version()
        self.crash("v1")

    def crash(self, version, service=standin.SERVICE):
        """Ends all servers of a version."""
        for each in list(self.servers.listed.values()):
            if (each.version, each.service) == (version, service):
                self.servers.crash(each)

    def replace(self, old="v1", new="v2"):
        """Replaces all servers of a version at once."""
        self.crash(old)
        self.start(new)

    def begin(self, names=_NAMES, begun_s=_BEGUN_S, rotates=True):
        """Has callers begin streams, and waits until they have some events.

        Args:
            names: The entries that they ask in turn.
            begun_s: Time after the first event of the last stream.
            rotates: Whether they start at several entries.
        """
        limits = self._limits
        self.callers.begin(
            limits.route.name, limits.caller_s, _STREAMS, names, rotates
        )
        time.sleep(begun_s)

    def configure(self, route):
        """Has control accept a configuration with this route."""
        made = stream_client.configuration((route,), version=8)
        editions = urgent_traffic.Editions(self.running)
        assert editions.send_text(json.dumps(made))

    def kill(self, names=_NAMES):
        """Kills processes at once."""
        for name in names:
            self.running.signal(name, signal.SIGKILL)
        for name in names:
            self.running.processes[name].wait()

    def start_processes(self, names=_NAMES):
        """Starts processes, and waits until they are ready."""
        for name in names:
            self.running.start_instance(name)
        for name in names:
            self.running.wait_ready(name)

    def check(self):
        """Checks all streams after their callers are done."""
        self._disturbed.set()
        self.callers.finish()
        print(self.callers.summary(), self.callers.faults())
        resumed = [each for each in self.callers.streams if each.resumptions]
        assert len(resumed) > _STREAMS / 2
        assert not self.callers.faults()


@pytest.fixture
def scene(tmp_path, request):
    with _Scene(tmp_path, getattr(request, "param", _LONGER)) as started:
        yield started


def _limited(*limits):
    """Runs a test with each of these limits."""
    names = [f"{each.route.name}-{each.caller_s:.0f}s" for each in limits]
    return pytest.mark.parametrize("scene", limits, ids=names, indirect=True)


def test_callers_wait_longer_than_their_route_after_all_entries_died(scene):
    # Guards against entries that forget their start too soon: none of them
    # knows a stream, and the version that began it has gone.
    scene.begin()
    scene.replace()
    scene.kill()
    scene.start_processes()
    scene.check()


@_limited(_ALL_OF_IT)
def test_a_limit_is_lowered_before_all_entries_die(scene):
    # Guards against a time to keep origins that follows the limit in force,
    # which was longer when the streams began.
    scene.begin()
    scene.configure(_LONG_LOWERED)
    scene.replace()
    scene.kill()
    scene.start_processes()
    scene.check()


@_limited(_LONGER, _WITHIN)
def test_a_new_entry_starts_after_all_others_died(scene):
    # Guards against an entry that takes its empty table for complete because
    # it had no process before, though others began streams and died.
    time.sleep(_CONTROL_MEMORY_S)
    scene.begin([*_NAMES, _NEW])
    scene.replace()
    scene.kill()
    scene.start_processes([_NEW])
    scene.check()


def test_a_version_is_forgotten_while_callers_wait(scene):
    # Guards against an entry that forgets a stream and the version that began
    # it before the stream's caller gives up, with no process disturbed.
    scene.begin()
    scene.replace()
    scene.check()


@_limited(_ALL_OF_IT)
def test_a_limit_is_lowered_while_callers_wait(scene):
    # Guards against the same where only a new configuration makes entries
    # forget streams.
    scene.begin()
    scene.configure(_LONG_LOWERED)
    scene.replace()
    scene.check()


@_limited(_LONGER, _WITHIN)
@pytest.mark.parametrize("domain", _ENTRIES)
def test_all_entries_of_a_domain_die(scene, domain):
    # Guards against mixed streams where the other domain knows only a part of
    # those that a domain began.
    scene.list_second_version()
    scene.begin()
    scene.leave_second_version()
    scene.kill(_ENTRIES[domain])
    scene.start_processes(_ENTRIES[domain])
    scene.check()


@_limited(_LONGER, _WITHIN)
def test_all_entries_die_twice_in_a_row(scene):
    # Guards against entries that die again before they know that they know
    # nothing.
    scene.list_second_version()
    scene.begin()
    scene.leave_second_version()
    for _ in range(2):
        scene.kill()
        for name in _NAMES:
            scene.running.start_instance(name)
        time.sleep(1.5)
    for name in _NAMES:
        scene.running.wait_ready(name)
    scene.check()


@_limited(_LONGER, _WITHIN)
def test_entries_and_control_processes_die_together(scene):
    # Guards against control processes that take entries for new ones after
    # they have lost their memory with them.
    scene.begin()
    scene.replace()
    names = [*_NAMES, *scene.running.controls]
    scene.kill(names)
    scene.start_processes(names)
    scene.check()


@_limited(_WITHIN)
@pytest.mark.parametrize("begun_s", [0.0, 0.05, 0.2])
def test_all_entries_die_as_the_first_streams_begin(scene, begun_s):
    # Guards against streams that nobody has been told of when all entries die.
    scene.begin(begun_s=begun_s)
    scene.replace()
    scene.kill()
    scene.start_processes()
    scene.check()


@_limited(_WITHIN)
@pytest.mark.parametrize("control", [name for (name,) in _CONTROLS.values()])
def test_an_entry_and_a_control_process_die_as_streams_begin(scene, control):
    # Guards against streams that only one control process has been told of.
    scene.begin(["a-1"], begun_s=0.1)
    scene.replace()
    scene.kill([control, *_NAMES])
    scene.start_processes([control, *_NAMES])
    scene.check()


@_limited(_LONGER, _WITHIN)
def test_control_processes_die_before_all_entries(scene):
    # Guards against control processes that have forgotten which entries ran
    # when these come back.
    scene.begin()
    scene.replace()
    controls = list(scene.running.controls)
    scene.kill(controls)
    scene.start_processes(controls)
    scene.kill()
    scene.start_processes()
    scene.check()


@_limited(_LONGER, _WITHIN)
def test_a_version_leaves_while_all_entries_are_down(scene):
    # Guards against entries that never saw the version that began a stream.
    scene.list_second_version()
    scene.begin()
    scene.kill()
    scene.leave_second_version()
    scene.start_processes()
    scene.check()


def test_a_version_arrives_after_all_entries_died(scene):
    # Guards against entries that take the version that they see first for the
    # only one, until another one is listed.
    scene.begin()
    scene.kill()
    scene.start_processes()
    scene.replace()
    scene.check()


def test_all_entries_die_while_one_version_serves(scene):
    # Guards against gaps and repeated events in streams that go on, and shows
    # how many do.
    scene.begin()
    scene.kill()
    scene.start_processes()
    scene.check()


@_limited(_LONGER, _WITHIN)
def test_the_list_lags_behind_the_servers(scene):
    # Guards against entries that take a list of the past for the versions that
    # serve now.
    with scene.servers.lagging(2.0):
        scene.list_second_version()
        scene.begin()
        scene.leave_second_version()
        scene.kill()
        scene.start_processes()
        scene.check()


def test_the_list_lags_while_no_entry_dies(scene):
    # Guards against streams that go on at a version that is listed late.
    with scene.servers.lagging(2.0):
        scene.begin()
        scene.replace()
        scene.check()


@_limited(_WITHIN)
def test_servers_come_back_under_their_identities_with_other_software(scene):
    # Guards against streams that go on at an endpoint whose version has changed
    # since the list was read.
    with scene.servers.lagging(2.0):
        scene.begin()
        for each in list(scene.servers.listed.values()):
            scene.servers.restart(each, "v2")
        scene.check()


@_limited(_LONGER, _WITHIN)
def test_a_part_of_the_list_is_unreadable_while_entries_start(scene):
    # Guards against entries that miss a version because its servers' entries
    # of the list can't be read.
    scene.list_second_version()
    scene.begin()
    scene.serve_second_version()
    scene.servers.damaged = {
        each.identity
        for each in scene.servers.listed.values()
        if each.version == "v1"
    }
    scene.kill()
    scene.start_processes()
    scene.check()


@_limited(_OF_SPLIT, _LONGER_OF_SPLIT)
def test_a_service_is_split_over_two(scene):
    # Guards against streams that go on at the other service of their route,
    # and at another version of their own.
    scene.start("w2", _OTHER_SERVICE)
    scene.crash("v1", _OTHER_SERVICE)
    time.sleep(_LISTED_S)
    scene.begin()
    scene.replace()
    scene.crash("w2", _OTHER_SERVICE)
    scene.start("w3", _OTHER_SERVICE)
    scene.kill()
    scene.start_processes()
    scene.check()


@_limited(_LONGER_OF_SPLIT)
@pytest.mark.parametrize("left", [standin.SERVICE, _OTHER_SERVICE])
def test_weights_change_after_all_entries_died(scene, left):
    # Guards against streams that go on at the only service that their route
    # still has, though another one began them.
    scene.start("w2", _OTHER_SERVICE)
    scene.crash("v1", _OTHER_SERVICE)
    time.sleep(_LISTED_S)
    scene.begin()
    scene.kill()
    scene.configure(stream_client.Route("split", True, 3_000, ((left, 1),)))
    scene.start_processes()
    scene.check()


@_limited(_WITHIN)
@pytest.mark.parametrize("frozen_s", [2.5, 6.0])
def test_a_frozen_entry_wakes_after_another_version_has_arrived(
    scene, frozen_s
):
    # Guards against an entry that resumes a stream by what it knew before it
    # was frozen: the only version then was another one.
    scene.running.signal("b-1", signal.SIGSTOP)
    old = list(scene.servers.listed.values())
    for each in old:
        each.state = "draining"
    scene.start("v2")
    time.sleep(_LISTED_S)
    scene.begin(["a-1", "b-1"], begun_s=frozen_s, rotates=False)
    for each in old:
        each.state = "ready"
    scene.kill(["a-1"])
    time.sleep(_RETURNED_S)
    scene.running.signal("b-1", signal.SIGCONT)
    scene.start_processes(["a-1"])
    scene.check()
