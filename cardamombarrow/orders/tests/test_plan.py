"""Tests of rollouts in steps, within the weight store's rate."""

import pytest

from cardamombarrow.document import parsing
from cardamombarrow.document import text
from cardamombarrow.kernel import ids
from cardamombarrow.orders import plan


@pytest.fixture
def document(kandula_text):
    old = text.replace(
        kandula_text,
        {"model:trail-7b": "service = report-writer\nversions = v1:1, v2:0"},
    )
    return parsing.parse(old.replace("[service:report-writer]\n", _WITH_ORDERS))


_WITH_ORDERS = "[service:report-writer]\norders = fenced\n"


def _observed(document, **loaded):
    service = document.services[ids.ServiceId("report-writer")]
    endpoints = [e for group in service.endpoints.values() for e in group]
    default = loaded.pop("default", ("v1",))
    return {
        endpoint: plan.Observed(frozenset(default), frozenset())
        for endpoint in endpoints
    }


def test_few_endpoints_of_a_service_load_at_a_time(document):
    # Guards against an order to all five engines at once to load the new
    # version: none would serve for minutes.
    rate = plan.LoadRate(600)
    orders = list(
        plan.next_orders(document, _observed(document), rate, now_s=60.0)
    )
    assert [order.kind for order in orders] == [plan.OrderKind.LOAD]
    assert orders[0].artifact == "v2"


def test_loads_stay_within_the_rate_of_the_weight_store(document):
    rate = plan.LoadRate(6)
    taken = [rate.take(second) for second in range(31)]
    assert sum(taken) == 4  # one at once, then one in ten seconds


def test_an_engine_unloads_only_when_it_has_loaded_all_wanted(document):
    observed = _observed(document, default=("v0", "v1"))
    first = next(iter(observed))
    observed[first] = plan.Observed(frozenset({"v0", "v1", "v2"}), frozenset())
    rate = plan.LoadRate(600)
    orders = list(plan.next_orders(document, observed, rate, now_s=60.0))
    unloads = [o for o in orders if o.kind is plan.OrderKind.UNLOAD]
    assert unloads == [plan.Order(first, plan.OrderKind.UNLOAD, "v0")]


def test_a_service_without_orders_gets_none(kandula_text):
    document = parsing.parse(kandula_text)
    observed = _observed(document, default=())
    rate = plan.LoadRate(600)
    assert not list(plan.next_orders(document, observed, rate, 60.0))
