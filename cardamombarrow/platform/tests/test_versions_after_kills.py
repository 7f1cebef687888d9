"""Streams of callers that come back after processes of all kinds have died.

Software versions leave and arrive meanwhile. Callers come back until their own
limits, which differ from those of their routes.
"""

import shutil
import time

import pytest

from cardamombarrow.platform.tests import version_scene

pytestmark = pytest.mark.process


def test_callers_wait_longer_than_their_route_after_all_entries_died(scene):
    # Guards against entries that forget their start too soon: none of them
    # knows a stream, and the version that began it has gone.
    scene.begin()
    scene.replace()
    scene.kill()
    scene.start_processes()
    scene.check()


@version_scene.limited(version_scene.ALL_OF_IT)
def test_a_limit_is_lowered_before_all_entries_die(scene):
    # Guards against a time to keep origins that follows the limit in force,
    # which was longer when the streams began.
    scene.begin()
    scene.configure(version_scene.LONG_LOWERED)
    scene.replace()
    scene.kill()
    scene.start_processes()
    scene.check()


@version_scene.limited(version_scene.LONGER, version_scene.WITHIN)
def test_a_new_entry_starts_after_all_others_died(scene):
    # Guards against an entry that takes its empty table for complete because
    # it had no process before, though others began streams and died.
    time.sleep(version_scene.CONTROL_MEMORY_S)
    scene.begin([*version_scene.NAMES, version_scene.NEW])
    scene.replace()
    scene.kill()
    scene.start_processes([version_scene.NEW])
    scene.check()


@version_scene.limited(version_scene.LONGER, version_scene.WITHIN)
@pytest.mark.parametrize("domain", version_scene.ENTRIES)
def test_all_entries_of_a_domain_die(scene, domain):
    # Guards against mixed streams where the other domain knows only a part of
    # those that a domain began.
    scene.list_second_version()
    scene.begin()
    scene.leave_second_version()
    scene.kill(version_scene.ENTRIES[domain])
    scene.start_processes(version_scene.ENTRIES[domain])
    scene.check()


@version_scene.limited(version_scene.LONGER, version_scene.WITHIN)
def test_all_entries_die_twice_in_a_row(scene):
    # Guards against entries that die again before they know that they know
    # nothing.
    scene.list_second_version()
    scene.begin()
    scene.leave_second_version()
    for _ in range(2):
        scene.kill()
        for name in version_scene.NAMES:
            scene.running.start_instance(name)
        time.sleep(1.5)
    for name in version_scene.NAMES:
        scene.running.wait_ready(name)
    scene.check()


@version_scene.limited(version_scene.LONGER, version_scene.WITHIN)
def test_entries_and_control_processes_die_together(scene):
    # Guards against control processes that take entries for new ones after
    # they have lost their memory with them.
    scene.begin()
    scene.replace()
    names = [*version_scene.NAMES, *scene.running.controls]
    scene.kill(names)
    scene.start_processes(names)
    scene.check()


def test_all_processes_die_and_a_control_process_loses_its_disk(scene):
    # Guards against a control process that joins anew and says that it knows
    # all open streams.
    scene.begin()
    scene.replace()
    names = [*version_scene.NAMES, *scene.running.controls]
    scene.kill(names)
    shutil.rmtree(scene.running.state_folder("control-b"))
    scene.start_processes(names)
    scene.check()


@version_scene.limited(version_scene.LONGER, version_scene.WITHIN)
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


@version_scene.limited(version_scene.LONGER, version_scene.WITHIN)
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
