"""Processes that die as the first streams of a software version begin."""

import pytest

from cardamombarrow.platform.tests import version_scene

pytestmark = pytest.mark.process


@version_scene.limited(version_scene.WITHIN)
@pytest.mark.parametrize("begun_s", [0.0, 0.05, 0.2])
def test_all_entries_die_as_the_first_streams_begin(scene, begun_s):
    # Guards against streams that nobody has been told of when all entries die.
    scene.begin(begun_s=begun_s)
    scene.replace()
    scene.kill()
    scene.start_processes()
    scene.check()


@version_scene.limited(version_scene.WITHIN)
@pytest.mark.parametrize(
    "control", [name for (name,) in version_scene.CONTROLS.values()]
)
def test_an_entry_and_a_control_process_die_as_streams_begin(scene, control):
    # Guards against streams that only one control process has been told of.
    scene.begin(["a-1"], begun_s=0.1)
    scene.replace()
    scene.kill([control, *version_scene.NAMES])
    scene.start_processes([control, *version_scene.NAMES])
    scene.check()
