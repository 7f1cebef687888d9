"""Streams of callers that come back while lists, limits and weights change."""

import signal
import time

import pytest

from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from cardamombarrow.platform.tests import version_scene

pytestmark = pytest.mark.process


def test_a_version_is_forgotten_while_callers_wait(scene):
    # Guards against an entry that forgets a stream and the version that began
    # it before the stream's caller gives up, with no process disturbed.
    scene.begin()
    scene.replace()
    scene.check()


@version_scene.limited(version_scene.ALL_OF_IT)
def test_a_limit_is_lowered_while_callers_wait(scene):
    # Guards against the same where only a new configuration makes entries
    # forget streams.
    scene.begin()
    scene.configure(version_scene.LONG_LOWERED)
    scene.replace()
    scene.check()


@version_scene.limited(version_scene.LONGER, version_scene.WITHIN)
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


@version_scene.limited(version_scene.WITHIN)
def test_servers_come_back_under_their_identities_with_other_software(scene):
    # Guards against streams that go on at an endpoint whose version has changed
    # since the list was read.
    with scene.servers.lagging(2.0):
        scene.begin()
        for each in list(scene.servers.listed.values()):
            scene.servers.restart(each, "v2")
        scene.check()


@version_scene.limited(version_scene.LONGER, version_scene.WITHIN)
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


@version_scene.limited(version_scene.OF_SPLIT, version_scene.LONGER_OF_SPLIT)
def test_a_service_is_split_over_two(scene):
    # Guards against streams that go on at the other service of their route,
    # and at another version of their own.
    scene.start("w2", version_scene.OTHER_SERVICE)
    scene.crash("v1", version_scene.OTHER_SERVICE)
    time.sleep(version_scene.LISTED_S)
    scene.begin()
    scene.replace()
    scene.crash("w2", version_scene.OTHER_SERVICE)
    scene.start("w3", version_scene.OTHER_SERVICE)
    scene.kill()
    scene.start_processes()
    scene.check()


@version_scene.limited(version_scene.LONGER_OF_SPLIT)
@pytest.mark.parametrize("left", [standin.SERVICE, version_scene.OTHER_SERVICE])
def test_weights_change_after_all_entries_died(scene, left):
    # Guards against streams that go on at the only service that their route
    # still has, though another one began them.
    scene.start("w2", version_scene.OTHER_SERVICE)
    scene.crash("v1", version_scene.OTHER_SERVICE)
    time.sleep(version_scene.LISTED_S)
    scene.begin()
    scene.kill()
    scene.configure(stream_client.Route("split", True, 3_000, ((left, 1),)))
    scene.start_processes()
    scene.check()


@version_scene.limited(version_scene.WITHIN)
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
    time.sleep(version_scene.LISTED_S)
    scene.begin(["a-1", "b-1"], begun_s=frozen_s, rotates=False)
    for each in old:
        each.state = "ready"
    scene.kill(["a-1"])
    time.sleep(version_scene.RETURNED_S)
    scene.running.signal("b-1", signal.SIGCONT)
    scene.start_processes(["a-1"])
    scene.check()
