"""Conversion of placement messages to the wire format and back."""

import dataclasses

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.peers.placing import codec as placing_codec
from cardamombarrow.peers.placing import placing_pb2
from cardamombarrow.placing import messages as placing_messages

_ID = ids.RequestId("r1")
_ENGINE = ids.EndpointId("10.1.0.1:80#i-1")

_JOB = messages.Job(
    request_id=_ID,
    workspace=ids.WorkspaceId("w"),
    class_id=ids.ClassId("c"),
    service=ids.ServiceId("s"),
    model=ids.ModelId("m"),
    rank=11,
    arrived_s=100.0,
    target_first_token_s=0.5,
    deadline_s=112.0,
    prompt_tokens=1_460,
    max_tokens=80,
    prefix_key="a/b",
    parts=(messages.PromptPart("a", 800), messages.PromptPart("b", 660)),
    fingerprint=ids.Fingerprint("f" * 32),
    repeatable=False,
    attempts=1,
    tried=(ids.EndpointId("10.1.0.2:80"),),
    may_have_run=True,
    runs=1,
    max_runs=2,
)


def _answers(*answers):
    wire = placing_codec.answers_to_wire(answers)
    parsed = placing_pb2.PlacingReply.FromString(wire.SerializeToString())
    return list(placing_codec.answers_from_wire(parsed))


def test_the_times_of_a_request_are_converted_to_the_other_clock():
    # The clocks of two machines are a day apart. With absolute times, every
    # deadline would have passed or be a day away.
    sent = placing_codec.job_to_wire(_JOB, 100.25)
    parsed = placing_pb2.PlacingJob.FromString(sent.SerializeToString())
    job = placing_codec.job_from_wire(parsed, 86_500.25)
    assert job.arrived_s == 86_500.0
    assert job.deadline_s == 86_512.0
    times = {"arrived_s": 100.0, "deadline_s": 112.0}
    assert dataclasses.replace(job, **times) == _JOB


def test_a_run_survives_the_conversion():
    job = dataclasses.replace(_JOB, unread_tokens=512.0)
    run = placing_messages.Run(job, _ENGINE, 100.5, True)
    sent = placing_codec.run_to_wire(run, 101.0)
    back = placing_codec.run_from_wire(sent, 101.0)
    assert back == run


@pytest.mark.parametrize(
    "answer",
    [
        placing_messages.Queued(_ID),
        placing_messages.Answer(
            messages.Placement(_ID, _ENGINE, 0.25, (), "why"), 8.0, 40.0
        ),
        placing_messages.Answer(
            messages.Placement(
                _ID,
                _ENGINE,
                0.25,
                (),
                "why",
                fetch=messages.Fetch(ids.EndpointId("e"), 9, 0.5),
            )
        ),
        placing_messages.Answer(
            messages.Refusal(_ID, errors.ErrorKind.OVERLOADED, "full", 1.5)
        ),
        placing_messages.Answer(
            messages.Refusal(_ID, errors.ErrorKind.QUARANTINED, "bad", None)
        ),
        placing_messages.Answer(
            messages.Refusal(
                _ID,
                errors.ErrorKind.OVERLOADED,
                "full",
                1.5,
                7,
                errors.RefusalCheck.ADMISSION,
                0.25,
            )
        ),
        placing_messages.Answer(
            messages.Preemption(_ID, ids.EndpointId(""), 0, True, "gives way")
        ),
    ],
)
def test_an_answer_survives_the_conversion(answer):
    assert _answers(answer) == [answer]


def test_an_unknown_refusal_kind_does_not_refuse_the_caller():
    # A newer placer sends an error kind that this entry does not know. If the
    # entry passed it on or raised, the caller would lose an answer that the
    # entry can still give.
    reply = placing_pb2.PlacingReply()
    reply.refused.add(request_id=_ID, kind="of tomorrow", detail="")
    answer = next(placing_codec.answers_from_wire(reply))
    assert answer.decision.kind is errors.ErrorKind.NOT_READY


def test_an_unknown_outcome_is_a_failure():
    read = placing_codec.outcome_from_wire
    assert read("done") is messages.Outcome.DONE
    assert read("of tomorrow") is messages.Outcome.FAILED


def test_a_plain_call_stays_plain():
    # Guards against a placer that waits for the first event of a plain call.
    job = dataclasses.replace(_JOB, streams=False)
    sent = placing_codec.job_to_wire(job, 100.25)
    assert not placing_codec.job_from_wire(sent, 100.25).streams
