"""Tests of the planned orders, against a simulated platform."""

import dataclasses

import pytest

from cardamombarrow.discovery import base as discovery
from cardamombarrow.document import schema
from cardamombarrow.duties import base
from cardamombarrow.duties import order_planner as order_planner_module
from cardamombarrow.kernel import ids

_DOMAINS = [ids.DomainId(name) for name in ("north", "south", "west")]
_SCALING = schema.Scaling(
    least=1,
    most=10,
    boot_s=4.0,
    spot_price=0.2,
    prices=dict.fromkeys(_DOMAINS, 1.0),
)
_SERVICE = schema.Service(
    ids.ServiceId("writer"), schema.ServiceKind.ENGINE, scaling=_SCALING
)


class _Platform:
    """Carries out orders after the start time; may lack spot endpoints."""

    def __init__(self, regular=5):
        self.now_s = 0.0
        self.counts = {(d, False): regular for d in _DOMAINS}
        self.pending = []
        self.without_spot_capacity = set()
        self.silent = False
        self.planner = order_planner_module.OrderPlanner()
        self.sent = []

    def take(self, call):
        if self.silent:
            return base.Outcome.UNKNOWN
        key = call.domain, call.spot
        more = call.count > self.counts.get(key, 0)
        if call.spot and call.domain in self.without_spot_capacity and more:
            return base.Outcome.REFUSED
        late_s = _SCALING.boot_s if more else 0.0
        self.pending.append((self.now_s + late_s, key, call.count))
        return base.Outcome.TAKEN

    def fleets(self):
        return {
            domain: order_planner_module.Fleet(
                self.counts.get((domain, True), 0),
                self.counts.get((domain, False), 0),
            )
            for domain in _DOMAINS
        }

    def total(self, domain):
        fleet = self.fleets()[domain]
        return fleet.spot + fleet.regular

    def run(self, wanted, duration_s):
        end_s = self.now_s + duration_s
        wanted = dict.fromkeys(_DOMAINS, wanted)
        while self.now_s < end_s:
            due = [each for each in self.pending if each[0] <= self.now_s]
            self.pending = [p for p in self.pending if p not in due]
            for _, key, count in due:
                self.counts[key] = count
            for order in self.planner.due_orders(
                _SERVICE, wanted, self.fleets(), self.now_s
            ):
                outcome = self.take(order.call)
                self.sent.append(order)
                self.planner.record(order, outcome, self.now_s)
            self.now_s += 0.5


@pytest.fixture
def platform():
    return _Platform()


def test_spot_endpoints_replace_regular_ones_once_they_serve(platform):
    # Guards against a service that has no endpoints while new ones start.
    for _ in range(40):
        platform.run(5, 0.5)
        assert all(platform.total(domain) >= 5 for domain in _DOMAINS)
    assert platform.counts[_DOMAINS[0], True] == 5
    assert platform.counts[_DOMAINS[0], False] == 0
    before = len(platform.sent)
    platform.run(5, 60)
    assert len(platform.sent) == before


def test_a_reclaimed_domain_gets_regular_endpoints_without_spot_capacity(
    platform,
):
    # Guards against a domain that stays empty after a reclaim.
    platform.run(5, 30)
    platform.without_spot_capacity.add(_DOMAINS[0])
    platform.counts[_DOMAINS[0], True] = 0
    platform.run(5, 6)
    assert platform.counts[_DOMAINS[0], False] == 5
    platform.without_spot_capacity.clear()
    platform.run(5, 30)
    assert platform.counts[_DOMAINS[0], True] == 5
    assert platform.counts[_DOMAINS[0], False] == 0


def test_a_full_domain_returns_to_spot_endpoints():
    # Guards against regular endpoints that stay because they leave no room for
    # the spot endpoints that are available again.
    platform = _Platform()
    platform.run(10, 40)
    assert platform.counts[_DOMAINS[0], True] == 10
    platform.without_spot_capacity.add(_DOMAINS[0])
    platform.counts[_DOMAINS[0], True] = 0
    platform.run(10, 8)
    assert platform.counts[_DOMAINS[0], False] == 8
    platform.without_spot_capacity.clear()
    for _ in range(120):
        platform.run(10, 0.5)
        assert platform.total(_DOMAINS[0]) >= 10 - 2 * 2
    assert platform.counts[_DOMAINS[0], True] == 10
    assert platform.counts[_DOMAINS[0], False] == 0


def test_a_second_reclaim_is_handled_like_the_first(platform):
    platform.run(5, 30)
    for _ in range(2):
        platform.counts[_DOMAINS[0], True] = 0
        platform.run(5, 30)
        assert platform.counts[_DOMAINS[0], True] == 5


def test_an_order_without_an_answer_is_sent_again_with_the_same_token(
    platform,
):
    platform.silent = True
    platform.run(5, 3)
    assert len(platform.sent) > 3
    assert not any(order.contradicts for order in platform.sent)


def test_another_number_after_no_answer_needs_a_newer_token(platform):
    # Guards against an old order that is carried out after a newer one.
    platform.silent = True
    platform.run(5, 0.5)
    platform.run(3, 2)
    changed = [
        order
        for order in platform.sent
        if order.call.spot and order.call.count == 3
    ]
    assert changed and changed[0].contradicts


def test_an_unanswered_call_may_be_carried_out_after_its_retry(platform):
    # Guards against an order that is undone seconds later by the first attempt
    # of the previous order.
    platform.silent = True
    platform.run(5, 1.0)
    platform.silent = False
    platform.run(5, 12)
    before = len(platform.sent)
    platform.run(3, 2)
    spot = [each for each in platform.sent[before:] if each.call.spot]
    assert spot[0].contradicts
    before = len(platform.sent)
    platform.run(4, 2)
    spot = [each for each in platform.sent[before:] if each.call.spot]
    assert not spot[0].contradicts


def test_an_order_undone_by_a_late_one_is_sent_once_more(platform):
    platform.run(5, 30)
    before = len(platform.sent)
    platform.counts[_DOMAINS[0], True] = 2
    platform.run(5, 30)
    again = platform.sent[before:]
    assert again[0].contradicts
    assert platform.counts[_DOMAINS[0], True] == 5


def test_both_kinds_together_stay_within_the_maximum():
    platform = _Platform(regular=8)
    platform.run(10, 0.5)
    spot = [order.call for order in platform.sent if order.call.spot]
    assert {call.count for call in spot} == {2}
    platform.run(10, 60)
    assert {platform.total(domain) for domain in _DOMAINS} == {10}


def test_without_spot_endpoints_regular_ones_are_ordered(platform):
    scaling = dataclasses.replace(_SCALING, spot_price=0.0)
    service = dataclasses.replace(_SERVICE, scaling=scaling)
    wanted = {_DOMAINS[0]: 7}
    orders = list(
        platform.planner.due_orders(service, wanted, platform.fleets(), 0.0)
    )
    assert [order.call.count for order in orders] == [7]
    assert not orders[0].call.spot


def test_only_live_endpoints_of_the_service_are_counted():
    def listed(service, state, spot):
        return discovery.ListedEndpoint(
            ids.EndpointId("10.0.0.1:1"),
            state,
            ids.ServiceId(service),
            _DOMAINS[0],
            8,
            spot,
        )

    live, leaving = discovery.ListedState.LIVE, discovery.ListedState.LEAVING
    items = [
        listed("writer", live, True),
        listed("writer", live, False),
        listed("writer", leaving, True),
        listed("desk", live, False),
    ]
    fleets = order_planner_module.count_endpoints(items, _SERVICE.service)
    assert fleets == {_DOMAINS[0]: order_planner_module.Fleet(1, 1)}
