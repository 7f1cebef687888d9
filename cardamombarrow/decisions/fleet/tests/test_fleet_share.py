"""Tests of the parts of a bound over all instances."""

import dataclasses
import random

import pytest

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import fleet_share as fleet
from cardamombarrow.decisions.tests import test_plain_calls
from cardamombarrow.kernel import ids

_SERVER = ids.EndpointId("one-1")


def _part(*counts):
    part = fleet.FleetShare()
    for count in counts:
        part.update_instances(count)
    return part


@pytest.mark.parametrize("count", [1, 2, 7, 80])
@pytest.mark.parametrize("bound", [100, 360, 520])
def test_parts_of_all_instances_stay_within_the_bound(count, bound):
    parts = [_part(*[count] * 300).integer_part_of(bound) for _ in range(count)]
    assert 0 < sum(parts) <= max(bound, count)


def test_part_does_not_grow_during_a_partition():
    # A partition separates the halves of eighty instances for some seconds,
    # and both go on. Parts that grew at once would double the connections to
    # an endpoint, which resets those above its bound.
    before = _part(80).part_of(520)
    assert _part(80, *[40] * 5).part_of(520) < 1.06 * before
    assert 2 * 40 * _part(80, *[40] * 20).integer_part_of(520) <= 520


def _dispatcher(domain, max_connections):
    document = test_plain_calls.document()
    service = dataclasses.replace(
        document.services[ids.ServiceId("bookings")],
        max_connections=max_connections,
    )
    document = dataclasses.replace(
        document, services={service.service: service}
    )
    context = context_module.PolicyContext(
        document, ids.InstanceId(domain), ids.DomainId(domain), random.Random(1)
    )
    dispatcher = core.Dispatcher(context, 0.0)
    found = messages.KnownEndpoint(_SERVER, service.service, "one", 6)
    dispatcher.set_discovered((found,), 0.0)
    return dispatcher


@pytest.mark.parametrize("count", [7, 80])
def test_instances_of_all_domains_respect_max_connections(count):
    # Slots are split among the instances of one domain. In a burst instances
    # of other domains also send to the endpoint, each up to all its slots, and
    # it resets connections with requests on them.
    most = 2 * count
    in_flight = 0
    for number in range(count):
        dispatcher = _dispatcher(f"domain-{number}", most)
        dispatcher.set_instances(count)
        dispatcher.refresh_shares(1.0)
        for call in range(6):
            job = test_plain_calls.call(f"{number}-{call}", 1.0)
            dispatcher.offer(job, 1.0)
        in_flight += len(list(dispatcher.place(1.0)))
    assert count <= in_flight <= most
