"""Reserved shares of tiers if each failure domain has a placer of its own."""

import dataclasses
import itertools
import math
import random

import pytest

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.document import from_routes
from cardamombarrow.kernel import ids
from cardamombarrow.platform import configuration

SERVICE = ids.ServiceId("letters")
SLOTS = 64
ENDPOINTS_PER_DOMAIN = 5
URGENT = ids.ClassId("summary")
LETTER = ids.ClassId("letter")
WORKSPACE = ids.WorkspaceId("clinic")
WAITED_S = 2.0


def _document(make, domains):
    routes = [
        make["route"](
            name, priority=rank, latencyGoalMs=30_000, timeoutMs=90_000
        )
        for name, rank in ((URGENT, 1), (LETTER, 2))
    ]
    text = make["configuration"](routes=routes)
    document = configuration.ConfigurationFormat().parse(text)
    endpoints = {
        ids.DomainId(f"d{domain}"): tuple(
            ids.EndpointId(f"10.{domain}.0.{n}:8000")
            for n in range(ENDPOINTS_PER_DOMAIN)
        )
        for domain in range(domains)
    }
    service = dataclasses.replace(
        document.services[SERVICE],
        max_connections=0,
        slots_per_endpoint=SLOTS,
        endpoints=endpoints,
    )
    return dataclasses.replace(document, services={SERVICE: service})


def _placer(document):
    context = context_module.PolicyContext(
        document,
        ids.InstanceId("entry-0"),
        ids.DomainId("d0"),
        random.Random(0),
        whole_domain=True,
    )
    placer = core.Dispatcher(context, 0.0)
    placer.refresh_shares(0.0)
    return placer


def _offer(document, placer, numbers, class_id, count, now_s):
    for _ in range(count):
        job = messages.Job(
            request_id=ids.RequestId(f"r{next(numbers)}"),
            workspace=WORKSPACE,
            class_id=class_id,
            service=SERVICE,
            model=ids.ModelId("m"),
            rank=document.rank_of(class_id, document.workspaces[WORKSPACE]),
            arrived_s=now_s,
            target_first_token_s=30.0,
            deadline_s=now_s + 90.0,
            prompt_tokens=10_000,
        )
        assert placer.offer(job, now_s) is None


@pytest.mark.parametrize("domains", [1, 2, 6])
def test_each_placer_reserves_only_its_part_of_the_slots_of_all_domains(
    make, domains
):
    # Guards against long prompts that every placer sends ahead of urgent ones
    # because each reserves a share of the slots of all domains.
    document = _document(make, domains)
    placer = _placer(document)
    numbers = itertools.count()
    running = []
    while True:
        _offer(document, placer, numbers, URGENT, 1, 0.0)
        placed = list(placer.place(0.0))
        if not placed:
            break
        running += placed
    _offer(document, placer, numbers, LETTER, 60, 0.0)
    _offer(document, placer, numbers, URGENT, 60, 0.0)
    assert list(placer.place(0.0)) == []
    assert list(placer.place(WAITED_S)) == []
    for placement in running[:40]:
        placer.first_token(placement.request_id, WAITED_S)
    placements = list(placer.place(WAITED_S))
    urgent_waiting = {
        job.request_id
        for job in placer.waiting_jobs()
        if job.class_id == URGENT
    }
    assert urgent_waiting
    classes = {run.job.request_id: run.job.class_id for run in placer.runs()}
    letters = sum(classes[p.request_id] == LETTER for p in placements)
    own_slots = ENDPOINTS_PER_DOMAIN * SLOTS
    assert letters <= math.ceil(from_routes.RESERVED_SHARE * own_slots)
