"""Conversion between the placement messages and protobuf.

Times are sent relative to the moment of sending, because the clocks of
instances differ.
"""

from collections import abc

from cardamombarrow.decisions import messages
from cardamombarrow.gossip import rows
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.peers.placing import placing_pb2
from cardamombarrow.placing import messages as placing_messages

__all__ = [
    "answers_from_wire",
    "answers_to_wire",
    "job_from_wire",
    "job_to_wire",
    "loads_from_wire",
    "loads_to_wire",
    "outcome_from_wire",
    "run_from_wire",
    "run_to_wire",
]


_MAX_MS = 2**31 - 1
"""Longest time that all fields of messages hold."""

_MAX_COUNT = 2**32 - 1


def _ms(time_s: float) -> int:
    return round(min(max(time_s * 1_000, -_MAX_MS), _MAX_MS))


def _count(number: int) -> int:
    """Returns a number that a caller states, cut to the range of a field."""
    return min(number, _MAX_COUNT)


def job_to_wire(job: messages.Job, now_s: float) -> placing_pb2.PlacingJob:
    """Converts a request."""
    return placing_pb2.PlacingJob(
        request_id=job.request_id,
        workspace=job.workspace,
        class_id=job.class_id,
        service=job.service,
        model=job.model,
        rank=job.rank,
        age_ms=_ms(now_s - job.arrived_s),
        left_ms=_ms(job.deadline_s - now_s),
        target_first_token_ms=_ms(job.target_first_token_s),
        prompt_tokens=_count(job.prompt_tokens),
        max_tokens=_count(job.max_tokens),
        prefix_key=job.prefix_key,
        parts=[part.part for part in job.parts],
        part_tokens=[_count(part.tokens) for part in job.parts],
        fingerprint=job.fingerprint or "",
        repeatable=job.repeatable,
        attempts=job.attempts,
        tried=job.tried,
        may_have_run=job.may_have_run,
        runs=job.runs,
        max_runs=job.max_runs,
        plain=not job.streams,
        required_software=job.required_software,
    )


def job_from_wire(wire: placing_pb2.PlacingJob, now_s: float) -> messages.Job:
    """Converts it back."""
    parts = zip(wire.parts, wire.part_tokens, strict=False)
    return messages.Job(
        request_id=ids.RequestId(wire.request_id),
        workspace=ids.WorkspaceId(wire.workspace),
        class_id=ids.ClassId(wire.class_id),
        service=ids.ServiceId(wire.service),
        model=ids.ModelId(wire.model),
        rank=wire.rank,
        arrived_s=now_s - wire.age_ms / 1_000,
        target_first_token_s=wire.target_first_token_ms / 1_000,
        deadline_s=now_s + wire.left_ms / 1_000,
        prompt_tokens=wire.prompt_tokens,
        max_tokens=wire.max_tokens,
        prefix_key=wire.prefix_key,
        parts=tuple(messages.PromptPart(*part) for part in parts),
        fingerprint=ids.Fingerprint(wire.fingerprint) or None,
        repeatable=wire.repeatable,
        attempts=wire.attempts,
        tried=tuple(map(ids.EndpointId, wire.tried)),
        may_have_run=wire.may_have_run,
        runs=wire.runs,
        max_runs=wire.max_runs,
        streams=not wire.plain,
        required_software=ids.SoftwareVersion(wire.required_software)
        if wire.HasField("required_software")
        else None,
    )


def run_to_wire(
    run: placing_messages.Run, now_s: float
) -> placing_pb2.PlacedRun:
    """Converts a request that runs on an endpoint."""
    return placing_pb2.PlacedRun(
        job=job_to_wire(run.job, now_s),
        endpoint=run.endpoint,
        placed_ago_ms=_ms(max(now_s - run.placed_s, 0.0)),
        begun=run.begun,
        unread_tokens=run.job.unread_tokens,
    )


def run_from_wire(
    wire: placing_pb2.PlacedRun, now_s: float
) -> placing_messages.Run:
    """Converts it back."""
    job = job_from_wire(wire.job, now_s)
    job.unread_tokens = wire.unread_tokens
    return placing_messages.Run(
        job,
        ids.EndpointId(wire.endpoint),
        now_s - wire.placed_ago_ms / 1_000,
        wire.begun,
    )


def outcome_from_wire(value: str) -> messages.Outcome:
    """Converts the outcome of a run; an unknown one becomes `FAILED`."""
    try:
        return messages.Outcome(value)
    except ValueError:
        return messages.Outcome.FAILED


def loads_to_wire(
    instance: ids.InstanceId,
    loads: abc.Mapping[ids.EndpointId, messages.PeerLoad],
) -> placing_pb2.LoadNews:
    """Converts the loads that a placer has on endpoints."""
    news = placing_pb2.LoadNews(instance=instance)
    for endpoint, load in loads.items():
        news.loads.add(
            endpoint=rows.endpoint_hash(endpoint),
            ranks=load.ranks,
            unread=load.unread,
            unread_tokens=round(load.unread_tokens),
        )
    return news


def loads_from_wire(
    news: placing_pb2.LoadNews,
    known: abc.Mapping[int, ids.EndpointId],
    now_s: float,
) -> dict[ids.EndpointId, messages.PeerLoad]:
    """Converts loads back; leaves out endpoints that are not known here."""
    return {
        known[load.endpoint]: messages.PeerLoad(
            tuple(sorted(load.ranks)),
            load.unread,
            float(load.unread_tokens),
            now_s,
        )
        for load in news.loads
        if load.endpoint in known
    }


def answers_to_wire(
    answers: abc.Iterable[placing_messages.Answer | placing_messages.Queued],
) -> placing_pb2.PlacingReply:
    """Converts a batch of answers."""
    reply = placing_pb2.PlacingReply()
    for answer in answers:
        if isinstance(answer, placing_messages.Queued):
            reply.waiting.append(answer.request_id)
        elif isinstance(answer.decision, messages.Placement):
            reply.placed.append(_placed_to_wire(answer, answer.decision))
        elif isinstance(answer.decision, messages.Refusal):
            reply.refused.append(_refused_to_wire(answer.decision))
        else:
            reply.yields.append(
                placing_pb2.YieldAnswer(
                    request_id=answer.request_id,
                    reason=answer.decision.reason,
                    requeue=answer.decision.requeue,
                )
            )
    return reply


def _placed_to_wire(
    answer: placing_messages.Answer, placed: messages.Placement
) -> placing_pb2.PlacedAnswer:
    wire = placing_pb2.PlacedAnswer(
        request_id=placed.request_id,
        endpoint=placed.endpoint,
        reason=placed.reason,
        wait_ms=_ms(placed.wait_s),
        unread_tokens=answer.unread_tokens,
        expected_tokens=answer.expected_tokens,
    )
    if placed.fetch is not None:
        wire.fetch_source = placed.fetch.source
        wire.fetch_tokens = placed.fetch.tokens
        if placed.fetch.age_s is not None:
            wire.fetch_age_ms = max(_ms(placed.fetch.age_s), 1)
    return wire


def _refused_to_wire(refusal: messages.Refusal) -> placing_pb2.RefusedAnswer:
    return placing_pb2.RefusedAnswer(
        request_id=refusal.request_id,
        kind=refusal.kind.value,
        detail=refusal.detail,
        retry_after_ms=_ms(refusal.retry_after_s or 0.0),
        check=refusal.check.value,
        less_urgent_running=refusal.less_urgent_running,
        less_urgent_start_age_ms=None
        if refusal.less_urgent_start_age_s is None
        else _ms(refusal.less_urgent_start_age_s),
    )


def answers_from_wire(
    wire: placing_pb2.PlacingReply,
) -> abc.Iterator[placing_messages.Answer | placing_messages.Queued]:
    """Yields the answers of a batch.

    An unknown error kind, from another version, becomes `NOT_READY`, so that
    the entry decides by itself.
    """
    for request_id in wire.waiting:
        yield placing_messages.Queued(ids.RequestId(request_id))
    for placed in wire.placed:
        yield _placed_from_wire(placed)
    for refused in wire.refused:
        yield placing_messages.Answer(_refused_from_wire(refused))
    for each in wire.yields:
        yield placing_messages.Answer(
            messages.Preemption(
                request_id=ids.RequestId(each.request_id),
                endpoint=ids.EndpointId(""),
                wasted_tokens=0,
                requeue=each.requeue,
                reason=each.reason,
            )
        )


def _placed_from_wire(
    wire: placing_pb2.PlacedAnswer,
) -> placing_messages.Answer:
    fetch = None
    if wire.fetch_source:
        age_s = wire.fetch_age_ms / 1_000 if wire.fetch_age_ms else None
        fetch = messages.Fetch(
            ids.EndpointId(wire.fetch_source), wire.fetch_tokens, age_s
        )
    placement = messages.Placement(
        request_id=ids.RequestId(wire.request_id),
        endpoint=ids.EndpointId(wire.endpoint),
        wait_s=wire.wait_ms / 1_000,
        candidates=(),
        reason=wire.reason,
        fetch=fetch,
    )
    return placing_messages.Answer(
        placement, wire.unread_tokens, wire.expected_tokens
    )


def _refused_from_wire(wire: placing_pb2.RefusedAnswer) -> messages.Refusal:
    try:
        kind = errors.ErrorKind(wire.kind)
    except ValueError:
        kind = errors.ErrorKind.NOT_READY
    retry_after_s = wire.retry_after_ms / 1_000
    age_s = None
    if wire.HasField("less_urgent_start_age_ms"):
        age_s = wire.less_urgent_start_age_ms / 1_000
    return messages.Refusal(
        ids.RequestId(wire.request_id),
        kind,
        wire.detail,
        retry_after_s or None,
        wire.less_urgent_running,
        _check_from_wire(wire.check),
        age_s,
    )


def _check_from_wire(value: str) -> errors.RefusalCheck:
    try:
        return errors.RefusalCheck(value)
    except ValueError:
        return errors.RefusalCheck.UNKNOWN
