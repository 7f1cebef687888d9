"""Configurations whose lists are empty or short, in force one after another."""

import contextlib
import itertools
import json
import random
import time
from unittest import mock

import hypothesis
from hypothesis import strategies

from cardamombarrow.decisions import messages
from cardamombarrow.document import machine
from cardamombarrow.document import schema
from cardamombarrow.endpoints import plain
from cardamombarrow.entry.documents import in_force
from cardamombarrow.entry.documents import parts
from cardamombarrow.entry.frontend import routes as routes_module
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.entry.requests import gate as gate_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.orders import plan as orders_plan
from cardamombarrow.peers.gossip import bridge
from cardamombarrow.platform import configuration
from cardamombarrow.resumption import core as resumption

_SERVICES = ("letters", "shop")
_ENDPOINTS = tuple(
    messages.KnownEndpoint(
        ids.EndpointId(f"i-{number}@127.0.0.1:{number}"),
        ids.ServiceId(service),
        ids.DomainId("a"),
        4,
        ids.SoftwareVersion("v1"),
    )
    for number, service in enumerate(_SERVICES, 1)
)
_NUMBERS = itertools.count(1)

_services = strategies.lists(
    strategies.sampled_from(_SERVICES), unique=True, max_size=2
)
_tenants = strategies.none() | strategies.lists(
    strategies.sampled_from(("clinic", "school")), unique=True
)
_routes = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("letter", "question", "order")),
        strategies.sampled_from(_SERVICES),
        strategies.sampled_from(("streaming", "idempotent", "non_idempotent")),
        strategies.sampled_from((0, 1, 9, 65_536)),
    ),
    unique_by=lambda each: each[0],
)


@strategies.composite
def _configurations(draw, make):
    """Draws a configuration; one that names unknown services is invalid."""
    services = draw(_services)
    tenants = draw(_tenants)
    changes = {
        "services": [
            make["service"](name) if name == "letters" else {"name": name}
            for name in services
        ],
        "routes": [
            make["route"](name, service=service, routeKind=kind, priority=rank)
            for name, service, kind, rank in draw(_routes)
        ],
        "tenants": [
            {
                "name": name,
                "apiKeys": draw(strategies.sampled_from(([], [name]))),
            }
            for name in tenants or ()
        ],
    }
    raw = json.loads(make["configuration"](**changes))
    if tenants is None:
        del raw["tenants"]
    if draw(strategies.booleans()):
        del raw["limits"]
    return json.dumps(raw)


def _jobs(document):
    """Yields a request of each route and workspace."""
    for route in document.routes.values():
        request_class = document.classes[route.class_id]
        for workspace in document.workspaces.values():
            now_s = time.monotonic()
            yield messages.Job(
                request_id=ids.RequestId(f"r{next(_NUMBERS)}"),
                workspace=workspace.workspace,
                class_id=route.class_id,
                service=routes_module.draw_service(route, 0.5),
                model=ids.ModelId("m"),
                rank=document.rank_of(route.class_id, workspace),
                arrived_s=now_s,
                target_first_token_s=request_class.target_first_token_s,
                deadline_s=now_s + request_class.target_total_s,
                repeatable=request_class.repeatable,
                streams=route.streams,
            )


class _Entry(contextlib.AbstractContextManager):
    """The parts of an entry that a document is applied to."""

    def __init__(self, documents):
        self.documents = documents
        self._clock = clock.SystemClock()
        self._broker = broker_module.Broker(
            documents.current().document,
            ids.InstanceId("entry-1"),
            ids.DomainId("a"),
            self._clock,
        )
        membership = bridge.GossipBridge(
            ids.InstanceId("entry-1"),
            ids.DomainId("a"),
            dict.fromkeys(schema.ServiceKind, plain.PlainKind()),
            self._broker,
            self._clock,
        )
        membership.attach(mock.Mock(), mock.Mock())
        origins = resumption.StreamOrigins(self._clock)
        for part in parts.parts(self._broker, membership, origins):
            documents.add_part(part)
        self._gate = gate_module.Gate(16, random.Random(1))
        self._brokers = (self._broker, self._broker.for_domain())
        self._broker.start()
        for broker in self._brokers:
            broker.set_discovered(_ENDPOINTS)
        self._tickets = []

    def __exit__(self, *_):
        self._broker.stop()

    def submit(self, jobs):
        """Submits requests, also those of documents that are not in force."""
        for job in jobs:
            self._gate.enter(job, self.documents.current().document)
            with contextlib.suppress(errors.RefusedError):
                for broker in self._brokers:
                    self._tickets.append((broker, broker.submit(job)))
            self._gate.leave(job)

    def check(self):
        """Reads and ends everything that was submitted."""
        for broker in self._brokers:
            broker.views()
            broker.set_instances(2)
        for service in _SERVICES:
            self._broker.less_urgent_start_age_s(
                ids.ServiceId(service), ids.ClassId("letter")
            )
        for broker, ticket in self._tickets:
            broker.withdraw(ticket)
        self._tickets.clear()


@hypothesis.settings(deadline=None, max_examples=60)
@hypothesis.given(data=strategies.data())
def test_entries_apply_each_configuration_that_control_accepts(make, data):
    # Guards against a configuration that is acknowledged and ends entries or
    # stays unapplied, as it has no routes, services, tenants or keys.
    texts = data.draw(strategies.lists(_configurations(make), min_size=1))
    state = machine.DocumentState("", 0)
    documents = in_force.DocumentInForce()
    entry = None
    jobs = []
    with contextlib.ExitStack() as stack:
        for number, text in enumerate(texts):
            edition = machine.Edition(number, text, configuration.NAME)
            answer = state.apply_edition(edition)
            if answer.status is machine.EditionStatus.INVALID:
                continue
            assert documents.offer(answer.revision, text, configuration.NAME)
            if entry is None:
                entry = stack.enter_context(_Entry(documents))
            document = documents.current().document
            jobs.extend(_jobs(document))
            entry.submit(jobs)
            entry.check()
            for service in document.services.values():
                orders_plan.wanted_artifacts(document, service)


def test_a_first_configuration_without_routes_is_applied(make):
    # Guards against entries that end as they start while no route exists.
    text = make["configuration"](routes=[], services=[], tenants=[])
    documents = in_force.DocumentInForce()
    documents.offer(ids.Revision(1), text, configuration.NAME)
    with _Entry(documents) as entry:
        entry.check()
        later = make["configuration"](version=8)
        assert documents.offer(ids.Revision(2), later, configuration.NAME)
        entry.submit(_jobs(documents.current().document))
        entry.check()
