"""The entry's side of the ledger."""

import abc
from collections import abc as collections_abc
from concurrent import futures
import time

from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.ledger import machine
from cardamombarrow.peers import codec
from cardamombarrow.peers import control_pb2

__all__ = ["LedgerClient", "RemoteLedger", "ledger_key"]

CLAIM_TIMEOUT_S = 3.0
"""Longest wait for a claim; after it the request is refused, not run."""

Propose = collections_abc.Callable[
    [control_pb2.Command, float], futures.Future[control_pb2.Reply]
]


def ledger_key(workspace: ids.WorkspaceId, idempotency_key: str) -> str:
    """Returns the key of a claim; keys of two workspaces never meet."""
    return f"{workspace}/{idempotency_key}"


class LedgerClient(abc.ABC):
    """Claims and settles unrepeatable requests."""

    @abc.abstractmethod
    def claim(self, key: str, claim: machine.Claim) -> machine.Verdict:
        """Claims a key for one run.

        Raises:
            errors.UnavailableError: No quorum; nothing may be sent.
        """

    @abc.abstractmethod
    def settle(self, key: str, outcome: machine.Claim) -> bool:
        """Records how the claimed request ended.

        Raises:
            errors.UnavailableError: No quorum; the claim stays open.
        """


class RemoteLedger(LedgerClient):
    """The ledger on the control processes."""

    def __init__(self, propose: Propose):
        self._propose = propose

    def claim(self, key: str, claim: machine.Claim) -> machine.Verdict:
        """See `LedgerClient.claim`."""
        command = control_pb2.Command(
            claim=control_pb2.ClaimCommand(
                key=key, claim=codec.claim_to_wire(claim)
            )
        )
        return codec.verdict_from_wire(self._ask(command).claim)

    def settle(self, key: str, outcome: machine.Claim) -> bool:
        """See `LedgerClient.settle`."""
        command = control_pb2.Command(
            settle=control_pb2.SettleCommand(
                key=key,
                attempt=outcome.attempt,
                outcome=codec.claim_to_wire(outcome),
            )
        )
        return self._ask(command).settle.settled

    def _ask(self, command: control_pb2.Command) -> control_pb2.Reply:
        deadline_s = time.monotonic() + CLAIM_TIMEOUT_S
        future = self._propose(command, CLAIM_TIMEOUT_S)
        try:
            reply = future.result(timeout=deadline_s - time.monotonic() + 0.5)
        except futures.TimeoutError:
            raise errors.UnavailableError(
                errors.ErrorKind.NO_QUORUM, "no control answered in time"
            ) from None
        return codec.raise_failure(reply)
