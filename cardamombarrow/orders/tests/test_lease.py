"""Tests of the holder of orders and its lease."""

import hypothesis
from hypothesis import strategies

from cardamombarrow.kernel import ids
from cardamombarrow.orders import lease
from cardamombarrow.orders import machine

_A, _B = ids.InstanceId("control-a"), ids.InstanceId("control-b")


def test_each_new_holder_has_a_higher_token():
    state = machine.HolderState()
    first, second = state.take(_A), state.take(_B)
    assert second.fencing > first.fencing
    assert not state.renew(first)
    assert state.renew(second)


def test_a_restarted_holder_takes_a_new_token():
    state = machine.HolderState()
    assert state.take(_A).fencing < state.take(_A).fencing


@hypothesis.given(
    renewals=strategies.lists(strategies.floats(0, 100), min_size=1),
    answer_s=strategies.floats(0, 10),
    sent_after_s=strategies.floats(0, 40),
    speed=strategies.floats(0.995, 1.005),
)
def test_two_holders_never_send_at_once(
    renewals, answer_s, sent_after_s, speed
):
    # Control A is cut off after its last renewal without noticing it, and B
    # takes over. An engine that checks no token must not get orders of both.
    requested_s = max(renewals)
    old = lease.Lease(machine.Holder(_A, 1), acquired_s=0.0)
    old.record_renewal(requested_s)
    # B can have taken over only after A had requested its last renewal.
    acquired_s = requested_s + answer_s
    new = lease.Lease(machine.Holder(_B, 2), acquired_s * speed)
    now_s = acquired_s + sent_after_s
    new.record_renewal(now_s * speed)
    if new.may_send(now_s * speed, checks_token=False):
        latest_s = now_s - lease.SEND_TIMEOUT_S
        assert not old.may_send(latest_s, checks_token=False)


def test_a_holder_that_cannot_renew_stops():
    held = lease.Lease(machine.Holder(_A, 1), acquired_s=0.0)
    held.record_renewal(100.0)
    assert held.may_send(101.0, checks_token=True)
    assert not held.may_send(100.0 + lease.LEASE_S, checks_token=True)
