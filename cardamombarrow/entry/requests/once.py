"""Runs an unrepeatable request at most once, by a claim in the ledger.

The claim is committed by a quorum before any byte of the request is sent. If
this instance crashes afterwards, the claim remains, and a resend is answered
with "outcome unknown" instead of running the request a second time.
"""

from collections import abc
import dataclasses
import time

from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.entry.frontend import incoming
from cardamombarrow.entry.requests import request_handler
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.ledger import client as ledger_client
from cardamombarrow.ledger import machine

__all__ = ["run_once"]

STORED_ANSWER_LIMIT_BYTES = 16_384
"""Larger answers are not stored; a resend is answered with an error that says
that the request ran."""

SETTLE_MARGIN_S = 5.0
"""Time after a request's deadline in which its claim is settled; long enough
for the end of the answer and one attempt to settle."""

IN_FLIGHT_RETRY_S = 1.0
FULL_RETRY_S = 60.0

_REFUSALS = {
    machine.VerdictKind.IN_FLIGHT: (
        errors.ErrorKind.KEY_IN_FLIGHT,
        "a request with this key is in flight",
    ),
    machine.VerdictKind.UNKNOWN: (
        errors.ErrorKind.OUTCOME_UNKNOWN,
        "a request with this key was sent and its outcome is not known",
    ),
    machine.VerdictKind.REUSED: (
        errors.ErrorKind.KEY_REUSED,
        "this key was already used with a different request",
    ),
    machine.VerdictKind.WITHDRAWN: (
        errors.ErrorKind.NO_QUORUM,
        "this attempt was withdrawn",
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
    handler: request_handler.RequestHandler,
    ledger: ledger_client.LedgerClient,
    instance: ids.InstanceId,
) -> request_handler.RelayedAnswer:
    """Claims the request's key, runs the request and records its outcome.

    Raises:
        errors.RouterError: See `request_handler.RequestHandler.run`. Also
            raised if the key is in flight, has an unknown outcome or was used
            with another body.
    """
    if not call.idempotency_key:
        raise errors.RefusedError(
            errors.ErrorKind.KEY_REQUIRED,
            f"unrepeatable requests need the header {incoming.KEY_HEADER}",
        )
    key = ledger_client.ledger_key(call.job.workspace, call.idempotency_key)
    claim = _new_claim(call, instance, handler.left_s())
    verdict = ledger.claim(key, claim)
    logs.decision(
        "claim",
        request_id=call.job.request_id,
        workspace=call.job.workspace,
        verdict=verdict.kind.value,
    )
    if verdict.kind is machine.VerdictKind.ANSWERED:
        return _stored_relay(verdict.claim)
    if verdict.kind is not machine.VerdictKind.RUN:
        raise errors.RefusedError(
            *_REFUSALS[verdict.kind],
            retry_after_s=_RETRY_AFTER_S.get(verdict.kind),
        )
    state = machine.ClaimState.UNKNOWN
    try:
        relay = handler.run()
    except BaseException as error:
        if isinstance(error, errors.RouterError) and error.not_run:
            state = machine.ClaimState.NOT_RUN
        ledger.settle_or_retry(key, dataclasses.replace(claim, state=state))
        raise
    chunks = _relay_and_settle(relay, ledger, key, claim)
    return request_handler.RelayedAnswer(relay.head, chunks)


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


def _stored_relay(claim: machine.Claim) -> request_handler.RelayedAnswer:
    if not claim.status:
        raise errors.RefusedError(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            "the request completed, but its answer was not stored",
        )
    head = endpoints_base.Head(
        claim.status, {"content-type": claim.content_type}
    )
    return request_handler.RelayedAnswer(head, iter([claim.answer]))


def _relay_and_settle(
    relay: request_handler.RelayedAnswer,
    ledger: ledger_client.LedgerClient,
    key: str,
    claim: machine.Claim,
) -> abc.Iterator[bytes]:
    """Relays an answer and settles the claim before the answer's end is sent.

    A caller that has the complete answer may immediately resend the key to
    another entry, and must get the stored answer there. A stream ends only
    after this generator does; for other answers the last chunk is delayed
    until the claim is settled.
    """
    stored = _StoredAnswer()
    delayed = b""
    outcome = dataclasses.replace(claim, state=machine.ClaimState.UNKNOWN)
    try:
        for chunk in relay.chunks:
            stored.add(chunk)
            if relay.head.streams:
                yield chunk
            else:
                if delayed:
                    yield delayed
                delayed = chunk
        outcome.state = machine.ClaimState.ANSWERED
        if stored.complete:
            outcome.status = relay.head.status
            outcome.content_type = relay.head.headers.get("content-type", "")
            outcome.answer = b"".join(stored.chunks)
    finally:
        relay.chunks.close()
        ledger.settle_or_retry(key, outcome)
    if delayed:
        yield delayed


class _StoredAnswer:
    """Collects an answer's chunks while they are small enough to store."""

    def __init__(self):
        self.chunks: list[bytes] = []
        self._size_bytes = 0

    @property
    def complete(self) -> bool:
        """Whether no chunk was dropped."""
        return self._size_bytes <= STORED_ANSWER_LIMIT_BYTES

    def add(self, chunk: bytes) -> None:
        """Adds a chunk; drops all chunks once they exceed the limit."""
        self._size_bytes += len(chunk)
        self.chunks.append(chunk)
        if not self.complete:
            self.chunks.clear()
