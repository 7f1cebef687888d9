"""Processes that act on what they knew before they stood still.

With `ALL_PAUSES` in the environment each kind of process is stopped for each
time while each group of changes happens; some of these cases fail.
"""

import collections
import os
import random

import pytest

from cardamombarrow.platform.tests import pause_scene

pytestmark = pytest.mark.process

Change = pause_scene.Change
Process = pause_scene.Process

PAUSES_S = (0.5, 2.0, 5.0, 13.0)
"""Shorter than any time-out, than most, than a confirmation of a document is
valid, and than any time after which an instance counts as gone."""

GROUPS = {
    "configuration": (
        Change.ROUTE_MOVED,
        Change.ROUTE_REMOVED,
        Change.KEY_REVOKED,
    ),
    "endpoints": (Change.ENDPOINT_ENDED, Change.ADDRESS_REUSED),
    "version": (Change.VERSION_JOINED,),
    "replaced": (Change.REPLACED,),
}
EACH = [
    (process, pause_s, name)
    for pause_s in PAUSES_S
    for process in Process
    for name in GROUPS
]
SOME = [
    (Process.PLACER, 2.0, "endpoints"),
    (Process.ENTRY, 0.5, "endpoints"),
    (Process.ENTRY, 6.0, "configuration"),
    (Process.LEADER, 2.0, "configuration"),
    (Process.FOLLOWER, 0.5, "replaced"),
    (Process.PLACER, 0.5, "configuration"),
]


@pytest.fixture(scope="module")
def scene(tmp_path_factory):
    with pause_scene.Scene(tmp_path_factory.mktemp("pauses")) as started:
        yield started


@pytest.mark.parametrize(
    ("process", "pause_s", "group"),
    EACH if "ALL_PAUSES" in os.environ else SOME,
    ids=lambda each: getattr(each, "name", str(each)).lower(),
)
def test_a_process_that_stood_still_acts_on_no_stale_state(
    scene, process, pause_s, group
):
    # Guards against processes that handle what waited in their sockets by a
    # state whose age they do not check.
    rng = random.Random(f"{process.name} {pause_s} {group}")
    case = scene.play(process, pause_s, GROUPS[group], rng)
    counts = collections.Counter(each.name for each in case.faults)
    print(pause_scene.summary(case), dict(counts))
    assert case.sent or case.streams
    assert not counts
