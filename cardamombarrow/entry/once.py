"""Runs an unrepeatable request at most once, by a claim in the ledger.

The claim is committed by a quorum before any byte of the request is sent.
If this instance dies afterwards, the claim stands and a resend is told that
the outcome is unknown, instead of running the request a second time.
"""

from collections import abc
import dataclasses
import time

from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.entry import incoming
from cardamombarrow.entry import life
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.ledger import client as ledger_client
from cardamombarrow.ledger import machine

__all__ = ["run_once"]

STORED_ANSWER_LIMIT_BYTES = 16_384
"""Larger answers are not stored; a resend is told that it did run."""

SETTLE_MARGIN_S = 5.0
"""Time after a request's deadline in which its claim is settled: the answer's
end and a try to settle fit in it."""

IN_FLIGHT_RETRY_S = 1.0
FULL_RETRY_S = 60.0

_REFUSALS = {
    machine.VerdictKind.IN_FLIGHT: (
        errors.ErrorKind.KEY_IN_FLIGHT,
        "a request with this key is under way",
    ),
    machine.VerdictKind.UNKNOWN: (
        errors.ErrorKind.OUTCOME_UNKNOWN,
        "a request with this key was sent and its outcome is not known",
    ),
    machine.VerdictKind.REUSED: (
        errors.ErrorKind.KEY_REUSED,
        "this key was used with another request",
    ),
    machine.VerdictKind.WITHDRAWN: (
        errors.ErrorKind.NO_QUORUM,
        "this attempt was given up",
    ),
    machine.VerdictKind.FULL: (
        errors.ErrorKind.OVERLOADED,
        "the ledger has no room for another key",
    ),
}

_RETRY_AFTER_S = {
    machine.VerdictKind.IN_FLIGHT: IN_FLIGHT_RETRY_S,
    machine.VerdictKind.FULL: FULL_RETRY_S,
}


def run_once(
    call: incoming.IncomingCall,
    request_life: life.Life,
    ledger: ledger_client.LedgerClient,
    instance: ids.InstanceId,
) -> life.Relay:
    """Claims the request's key, runs it, and records how it ended.

    Raises:
        errors.RouterError: See `life.Life.run`; besides, the key may be in
            flight, of unknown outcome, or used with another body.
    """
    if not call.idempotency_key:
        raise errors.RefusedError(
            errors.ErrorKind.KEY_REQUIRED,
            f"unrepeatable requests need the header {incoming.KEY_HEADER}",
        )
    key = ledger_client.ledger_key(call.job.workspace, call.idempotency_key)
    claim = _new_claim(call, instance, request_life.left_s())
    verdict = ledger.claim(key, claim)
    logs.decision(
        "claim",
        request_id=call.job.request_id,
        workspace=call.job.workspace,
        verdict=verdict.kind.value,
    )
    if verdict.kind is machine.VerdictKind.ANSWERED:
        return _stored(verdict.claim)
    if verdict.kind is not machine.VerdictKind.RUN:
        raise errors.RefusedError(
            *_REFUSALS[verdict.kind],
            retry_after_s=_RETRY_AFTER_S.get(verdict.kind),
        )
    state = machine.ClaimState.UNKNOWN
    try:
        relay = request_life.run()
    except BaseException as error:
        if isinstance(error, errors.RouterError) and error.not_run:
            state = machine.ClaimState.NOT_RUN
        ledger.settle_or_retry(key, dataclasses.replace(claim, state=state))
        raise
    chunks = _recorded(relay, ledger, key, claim)
    return life.Relay(relay.head, chunks)


def _new_claim(
    call: incoming.IncomingCall, instance: ids.InstanceId, left_s: float
) -> machine.Claim:
    now_unix_s = time.time()
    return machine.Claim(
        body_sha256=call.body_sha256,
        instance=instance,
        attempt=call.job.request_id,
        at_unix_s=now_unix_s,
        deadline_unix_s=now_unix_s + left_s + SETTLE_MARGIN_S,
    )


def _stored(claim: machine.Claim) -> life.Relay:
    if not claim.status:
        raise errors.RefusedError(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            "the request ran to its end; its answer was not kept",
        )
    head = endpoints_base.Head(
        claim.status, {"content-type": claim.content_type}
    )
    return life.Relay(head, iter([claim.answer]))


def _recorded(
    relay: life.Relay,
    ledger: ledger_client.LedgerClient,
    key: str,
    claim: machine.Claim,
) -> abc.Iterator[bytes]:
    """Relays an answer and settles the claim before its end is out.

    A caller who has the whole answer may send the key again at once, through
    another entry, and must find the answer there. A stream ends only after
    this generator; of any other answer the last chunk is held back.
    """
    kept = _Kept()
    held = b""
    outcome = dataclasses.replace(claim, state=machine.ClaimState.UNKNOWN)
    try:
        for chunk in relay.chunks:
            kept.add(chunk)
            if relay.head.streams:
                yield chunk
            else:
                if held:
                    yield held
                held = chunk
        outcome.state = machine.ClaimState.ANSWERED
        if kept.whole:
            outcome.status = relay.head.status
            outcome.content_type = relay.head.headers.get("content-type", "")
            outcome.answer = b"".join(kept.chunks)
    finally:
        relay.chunks.close()
        ledger.settle_or_retry(key, outcome)
    if held:
        yield held


class _Kept:
    """The answer so far, as long as it is small enough to store."""

    def __init__(self):
        self.chunks: list[bytes] = []
        self._size_bytes = 0

    @property
    def whole(self) -> bool:
        """Whether nothing was left out."""
        return self._size_bytes <= STORED_ANSWER_LIMIT_BYTES

    def add(self, chunk: bytes) -> None:
        """Keeps a chunk, or drops all once they are too large."""
        self._size_bytes += len(chunk)
        self.chunks.append(chunk)
        if not self.whole:
            self.chunks.clear()
