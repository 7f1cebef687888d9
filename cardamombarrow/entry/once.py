"""Runs an unrepeatable request at most once, by a claim in the ledger.

The claim is committed by a quorum before any byte of the request is sent.
If this instance dies afterwards, the claim stands and a resend is told that
the outcome is unknown, instead of running the request a second time.
"""

import base64
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
    claim = machine.Claim(
        body_sha256=call.body_sha256,
        instance=instance,
        attempt=call.job.request_id,
        at_unix_s=time.time(),
    )
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
        raise errors.RefusedError(*_REFUSALS[verdict.kind])
    try:
        relay = request_life.run()
    except errors.RouterError as error:
        state = (
            machine.ClaimState.NOT_RUN
            if error.not_run
            else machine.ClaimState.UNKNOWN
        )
        _settle(ledger, key, dataclasses.replace(claim, state=state))
        raise
    chunks = _recorded(relay, ledger, key, claim)
    return life.Relay(relay.head, chunks)


def _stored(claim: machine.Claim) -> life.Relay:
    if not claim.status:
        raise errors.RefusedError(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            "the request ran to its end; its answer was too large to keep",
        )
    head = endpoints_base.Head(
        claim.status, {"content-type": claim.content_type}
    )
    return life.Relay(head, iter([base64.b64decode(claim.answer)]))


def _recorded(
    relay: life.Relay,
    ledger: ledger_client.LedgerClient,
    key: str,
    claim: machine.Claim,
) -> abc.Iterator[bytes]:
    kept = []
    outcome = dataclasses.replace(claim, state=machine.ClaimState.UNKNOWN)
    try:
        for chunk in relay.chunks:
            kept.append(chunk)
            yield chunk
        outcome = dataclasses.replace(claim, state=machine.ClaimState.ANSWERED)
        answer = b"".join(kept)
        if len(answer) <= STORED_ANSWER_LIMIT_BYTES:
            outcome.status = relay.head.status
            outcome.content_type = relay.head.headers.get("content-type", "")
            outcome.answer = base64.b64encode(answer).decode()
    finally:
        relay.chunks.close()
        _settle(ledger, key, outcome)


def _settle(
    ledger: ledger_client.LedgerClient, key: str, outcome: machine.Claim
) -> None:
    try:
        ledger.settle(key, outcome)
    except errors.UnavailableError as error:
        # The claim stays open, so a resend is never run; it is told that the
        # request is in flight until an operator or a later settle closes it.
        logs.event("claim not settled", "WARNING", key=key, detail=error.detail)
