"""Tests of the agreed time of day."""

import pytest

from cardamombarrow.kernel import clock
from cardamombarrow.metering import agreed_time

TRUE_S = 1_700_000_000.0


class _Wall:
    def __init__(self, boot):
        self._boot = boot
        self.jump_s = 0.0

    def __call__(self):
        return TRUE_S + self._boot.now_s() + self.jump_s


@pytest.fixture
def boot():
    return clock.ManualClock(50.0)


@pytest.fixture
def wall(boot):
    return _Wall(boot)


@pytest.mark.parametrize("jump_s", [2.4, -2.4])
@pytest.mark.parametrize("peers", [2, 4, 5])
def test_a_clock_that_jumps_does_not_change_the_time(boot, wall, jump_s, peers):
    # Guards against usage that is billed in the wrong window.
    poll = agreed_time.PeerClocks(boot, wall)
    wall.jump_s = jump_s
    for number in range(peers):
        requested_s = boot.now_s()
        boot.advance(0.06)
        poll.add_sample(f"c{number}", TRUE_S + boot.now_s() - 0.03, requested_s)
    assert poll.unix_s() == pytest.approx(TRUE_S + boot.now_s(), abs=0.01)


def test_without_samples_the_own_clock_is_used(boot, wall):
    poll = agreed_time.PeerClocks(boot, wall)
    poll.add_sample("c1", TRUE_S, boot.now_s())
    boot.advance(agreed_time.SAMPLE_TTL_S + 1)
    assert poll.unix_s() == pytest.approx(wall())


def test_an_entry_uses_the_time_of_the_control_process(boot, wall):
    time = agreed_time.AgreedTime(boot, wall)
    assert not time.is_agreed
    assert time.unix_s() == wall()
    time.synchronize(TRUE_S + boot.now_s())
    wall.jump_s = 2.4
    boot.advance(3.0)
    assert time.is_agreed
    assert time.unix_s() == pytest.approx(TRUE_S + boot.now_s())
