"""Fixtures for jobs, documents and dispatchers."""

from collections import abc
import dataclasses
import itertools
import random

import pytest

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.limiting import restrictions
from cardamombarrow.document import parsing
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

NewJob = abc.Callable[..., messages.Job]
NewDispatcher = abc.Callable[..., core.Dispatcher]

_TEXT = """
[tier:family]
rank = 0
[tier:arranger]
rank = 1
[tier:letter]
rank = 2

[class:chat]
tier = family
target_first_token_s = 0.92
target_total_s = 20
expected_tokens = 80
[class:summary]
tier = arranger
target_first_token_s = 4
target_total_s = 60
expected_tokens = 250
[class:letter]
tier = letter
target_first_token_s = 30
target_total_s = 300
expected_tokens = 500

[workspace:one]
key_sha256 = {one}
classes = chat, summary, letter
[workspace:two]
key_sha256 = {two}
classes = chat, summary, letter
[workspace:limited]
key_sha256 = {three}
classes = chat
max_in_flight = 2

[service:models]
kind = engine
slots_per_endpoint = 8
endpoints.osu = 10.0.0.1:80, 10.0.0.2:80
endpoints.adum = 10.0.1.1:80

[policies]

[owner:operations]
token_sha256 = {one}
sections = *
"""


@pytest.fixture(scope="session")
def document() -> schema.Document:
    """Three tiers; one service with two local endpoints and a remote one."""
    digests = {
        "one": "a" * 64,
        "two": "b" * 64,
        "three": "c" * 64,
    }
    return parsing.parse(_TEXT.format(**digests))


@pytest.fixture(scope="session")
def new_job(document) -> NewJob:
    """Returns a factory of jobs."""
    numbers = itertools.count()

    def make(
        class_id: str = "chat", arrived_s: float = 0.0, **fields: object
    ) -> messages.Job:
        of_class = document.classes[ids.ClassId(class_id)]
        job = messages.Job(
            request_id=ids.RequestId(f"r{next(numbers)}"),
            workspace=ids.WorkspaceId("one"),
            class_id=of_class.class_id,
            service=ids.ServiceId("models"),
            model=ids.ModelId("m"),
            rank=document.tier_of(of_class.class_id).rank,
            arrived_s=arrived_s,
            target_first_token_s=of_class.target_first_token_s,
            deadline_s=arrived_s + of_class.target_total_s,
            expected_tokens=float(of_class.expected_tokens),
        )
        for name, value in fields.items():
            setattr(job, name, value)
        return job

    return make


@pytest.fixture(scope="session")
def context(document) -> context_module.PolicyContext:
    """Context of the policies under test."""
    return context_module.PolicyContext(
        document,
        ids.InstanceId("entry-1"),
        ids.DomainId("osu"),
        random.Random(1),
    )


@pytest.fixture(scope="session")
def new_dispatcher(context) -> NewDispatcher:
    """Returns a factory of dispatchers with given slots and policies."""

    def make(slots: int = 8, **policies: str) -> core.Dispatcher:
        document = context.document
        services = {
            name: dataclasses.replace(service, slots_per_endpoint=slots)
            for name, service in document.services.items()
        }
        changed = dataclasses.replace(
            document,
            services=services,
            policies=dataclasses.replace(document.policies, **policies),
        )
        return core.Dispatcher(
            dataclasses.replace(
                context,
                document=changed,
                rng=random.Random(1),
                restrictions=restrictions.Restrictions(),
            ),
            0.0,
        )

    return make
