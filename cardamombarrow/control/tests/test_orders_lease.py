"""The lease of orders of a control process whose machine was suspended."""

import types

import pytest

from cardamombarrow.control import core
from cardamombarrow.document import schema
from cardamombarrow.kernel import clock
from cardamombarrow.orders import engines
from cardamombarrow.orders import lease
from cardamombarrow.orders import machine
from cardamombarrow.orders import plan

SUSPENDED_S = 2 * lease.LEASE_S


@pytest.fixture
def suspended_s(monkeypatch):
    """Time for which the machine was suspended: only one clock counts it."""
    now_s = [100.0]
    monkeypatch.setattr(clock.SystemClock, "now_s", lambda self: 100.0)
    monkeypatch.setattr(clock.BootClock, "now_s", lambda self: now_s[0])
    return now_s


@pytest.mark.parametrize("is_suspended", [False, True])
def test_no_order_is_sent_by_a_lease_that_ended_during_a_suspension(
    suspended_s, monkeypatch, is_suspended
):
    # Guards against orders of two holders: another one takes the orders while
    # the machine of this one is suspended.
    sent = []
    monkeypatch.setattr(engines, "send", lambda *args: sent.append(args))
    settings = types.SimpleNamespace(
        instance=types.SimpleNamespace(id="control-a")
    )
    runner = core._orders_runner(settings, None, None)
    holder = machine.Holder("control-a", 1)
    runner._lease = lease.Lease(holder, runner._clock.now_s())
    runner._lease.record_renewal(runner._clock.now_s())
    suspended_s[0] += SUSPENDED_S * is_suspended
    order = plan.Order("10.0.0.9:8000", plan.OrderKind.LOAD, "m")
    service = types.SimpleNamespace(service="desk", orders=schema.Orders.FENCED)
    runner._send(order, service)
    assert len(sent) == (not is_suspended)
