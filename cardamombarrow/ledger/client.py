"""Client of the ledger, used by entries."""

import abc
from collections import abc as collections_abc
from concurrent import futures
import time

from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.ledger import machine
from cardamombarrow.peers.control import codec
from cardamombarrow.peers.control import control_pb2

__all__ = ["LedgerClient", "RemoteLedger", "ledger_key"]

CLAIM_TIMEOUT_S = 3.0
"""Timeout of a claim, after which the request is refused without a run."""

SETTLE_TIMEOUT_S = 1.5
"""Timeout of one attempt to settle, which delays the end of the answer."""

REPLY_GRACE_S = 0.5
"""Time to wait for the reply after the timeout of the command."""

Propose = collections_abc.Callable[
    [control_pb2.Command, float], futures.Future[control_pb2.Reply]
]


def ledger_key(workspace: ids.WorkspaceId, idempotency_key: str) -> str:
    """Returns the key of a claim, unique across workspaces."""
    return f"{workspace}/{idempotency_key}"


class LedgerClient(abc.ABC):
    """Claims and settles unrepeatable requests."""

    @abc.abstractmethod
    def claim(self, key: str, claim: machine.Claim) -> machine.Verdict:
        """Claims a key for one run.

        Raises:
            errors.UnavailableError: No quorum; the request must not be sent.
                The claim may still be committed later, so it must be settled
                as not run.
        """

    @abc.abstractmethod
    def settle(self, key: str, outcome: machine.Claim) -> bool:
        """Records the outcome of the claimed request.

        Raises:
            errors.UnavailableError: No quorum; the claim stays open.
        """

    def settle_or_retry(self, key: str, outcome: machine.Claim) -> None:
        """Settles a claim now, or later if there is no quorum."""
        self.settle(key, outcome)


class RemoteLedger(LedgerClient):
    """Client of the ledger on the control processes."""

    def __init__(self, propose: Propose):
        self._propose = propose

    def claim(self, key: str, claim: machine.Claim) -> machine.Verdict:
        """See `LedgerClient.claim`."""
        command = control_pb2.Command(
            claim=control_pb2.ClaimCommand(
                key=key, claim=codec.claim_to_wire(claim)
            )
        )
        reply = self._send(command, CLAIM_TIMEOUT_S)
        return codec.verdict_from_wire(reply.claim)

    def settle(self, key: str, outcome: machine.Claim) -> bool:
        """See `LedgerClient.settle`."""
        command = control_pb2.Command(
            settle=control_pb2.SettleCommand(
                key=key,
                attempt=outcome.attempt,
                outcome=codec.claim_to_wire(outcome),
            )
        )
        return self._send(command, SETTLE_TIMEOUT_S).settle.settled

    def _send(
        self, command: control_pb2.Command, timeout_s: float
    ) -> control_pb2.Reply:
        deadline_s = time.monotonic() + timeout_s + REPLY_GRACE_S
        future = self._propose(command, timeout_s)
        try:
            reply = future.result(timeout=deadline_s - time.monotonic())
        except futures.TimeoutError:
            future.cancel()
            raise errors.UnavailableError(
                errors.ErrorKind.NO_QUORUM,
                "no control process answered in time",
            ) from None
        return codec.raise_failure(reply)
