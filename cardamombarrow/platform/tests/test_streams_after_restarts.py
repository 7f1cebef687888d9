"""Streams that callers take up after all processes have restarted."""

import time

import pytest

from cardamombarrow.platform.tests import version_scene

pytestmark = pytest.mark.process

_FOUNDED_S = 6.0
"""Time after which all control processes know all open streams at first."""

_ALL = [*version_scene.NAMES, *version_scene.CONTROL_NAMES]
_BACK_TWICE_S = 0.7
_LATER_S = 2.0
_FOLLOWED_S = 12.0

_REPORTED_S = 2.0
"""Time after which entries have reported which version began each stream."""


def _start_all(scene, names=_ALL):
    for name in names:
        scene.running.start_instance(name)


def _wait_ready(scene, names=_ALL):
    for name in names:
        scene.running.wait_ready(name)


def _check(scene):
    """Checks that streams go on, as all new ones begin, and that none mixes."""
    scene.check()
    resumed = [each for each in scene.callers.streams if each.resumptions]
    went_on = [each for each in resumed if each.went_on]
    assert len(went_on) >= len(resumed) / 2


def test_streams_go_on_after_all_processes_died(scene):
    # Guards against streams of the only version that are refused for as long
    # as any stream lasts, as nobody remembers what was open.
    time.sleep(_FOUNDED_S)
    scene.begin()
    scene.kill(_ALL)
    _start_all(scene)
    _wait_ready(scene)
    _check(scene)


def test_streams_go_on_after_all_processes_died_twice(scene):
    # Guards against what is remembered only until the next loss.
    time.sleep(_FOUNDED_S)
    scene.begin()
    for _ in range(2):
        scene.kill(_ALL)
        _start_all(scene)
        time.sleep(_BACK_TWICE_S)
    _wait_ready(scene)
    _check(scene)


def test_streams_go_on_after_half_of_the_machines_came_back_later(scene):
    # Guards against a majority that waits for those that are not back.
    time.sleep(_FOUNDED_S)
    scene.begin()
    scene.kill(_ALL)
    _start_all(scene, _ALL[::2])
    time.sleep(_LATER_S)
    _start_all(scene, _ALL[1::2])
    _wait_ready(scene)
    _check(scene)


def test_streams_go_on_while_a_control_process_is_gone(scene):
    # Guards against a control process that restarts, and takes part in no
    # answer until another one that is lost comes back.
    time.sleep(_FOUNDED_S)
    scene.kill(["control-a"])
    scene.kill(["control-b"])
    scene.start_processes(["control-b"])
    time.sleep(_FOLLOWED_S)
    scene.begin(["a-1", "a-2", "b-1", "b-2"], rotates=False)
    scene.kill(["a-1"])
    _check(scene)


def test_streams_of_two_versions_go_on_after_all_processes_died(scene):
    # Guards against streams that are refused, or go on at the other version,
    # as nobody remembers which of the two began them.
    scene.list_second_version()
    scene.serve_second_version()
    time.sleep(_FOUNDED_S)
    scene.begin(begun_s=_REPORTED_S)
    scene.kill(_ALL)
    _start_all(scene)
    _wait_ready(scene)
    _check(scene)


@pytest.mark.parametrize("begun_s", [0.5, 4.0])
def test_a_version_comes_and_goes_around_a_restart_of_all_processes(
    scene, begun_s
):
    # Guards against streams that go on at the version before, as theirs came
    # while control was gone, and has left before all processes were back.
    time.sleep(_FOUNDED_S)
    scene.kill(version_scene.CONTROL_NAMES)
    scene.replace()
    # Room for all callers at once: a refused one comes back only after the
    # entries have stopped serving without control.
    for _ in range(3):
        scene.start("v2")
    time.sleep(version_scene.LISTED_S)
    scene.begin(begun_s=begun_s)
    scene.kill()
    scene.replace("v2", "v1")
    _start_all(scene)
    _wait_ready(scene)
    # Callers whose first event was held back have nothing to come back to.
    scene.check(most_resume=False)
