"""Admission of requests while the edition of the document changes."""

import dataclasses
import random

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.document import parsing
from cardamombarrow.entry.requests import gate as gate_module
from cardamombarrow.kernel import ids


def _job(rank: int, workspace: str) -> messages.Job:
    return messages.Job(
        request_id=ids.RequestId("r"),
        workspace=ids.WorkspaceId(workspace),
        class_id=ids.ClassId("marshal-question"),
        service=ids.ServiceId("report-writer"),
        model=ids.ModelId("trail-7b"),
        rank=rank,
        arrived_s=0.0,
        target_first_token_s=1.0,
        deadline_s=2.0,
    )


@pytest.mark.parametrize("rank", [0, 7, 99])
def test_request_of_the_previous_edition_is_admitted(kandula_text, rank):
    # A request is read under one edition. When it enters the gate, the next
    # edition is in force, which has neither its rank nor its workspace. A
    # lookup there ended with an internal error.
    document = parsing.parse(kandula_text)
    later = dataclasses.replace(document, workspaces={})
    gate = gate_module.Gate(16, random.Random(1))
    job = _job(rank, "race-control")
    gate.enter(job, later)
    assert gate.held == 1
    gate.leave(job)
    assert gate.held == 0
