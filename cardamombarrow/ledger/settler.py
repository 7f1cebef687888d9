"""Retries settlements that failed because there was no quorum.

Requests with the key of an unsettled claim are refused, first as in flight and
later with an unknown outcome, although the entry knows the outcome. So the
entry retries the settlement.
"""

import collections
import dataclasses
import threading
import time

from cardamombarrow.kernel import background
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs
from cardamombarrow.ledger import client
from cardamombarrow.ledger import machine

__all__ = ["Settler"]

RETRY_S = 1.0
"""Interval of retries while there is no quorum."""

GIVE_UP_S = 3_600.0
"""Time after which a settlement is dropped: partitions between regions may last
an hour."""

MAX_PENDING = 10_000
"""Maximum number of pending settlements; beyond it the oldest is dropped."""


@dataclasses.dataclass(frozen=True)
class _PendingSettlement:
    """A settlement that is to be retried."""

    key: str
    outcome: machine.Claim
    queued_s: float


class Settler(client.LedgerClient, lifecycle.Part):
    """A ledger client that retries settlements until they succeed."""

    def __init__(self, ledger: client.LedgerClient):
        self._ledger = ledger
        self._pending: collections.deque[_PendingSettlement] = (
            collections.deque(maxlen=MAX_PENDING)
        )
        self._stop = threading.Event()
        self._thread = background.supervised_thread(self._run, "settler")

    def claim(self, key: str, claim: machine.Claim) -> machine.Verdict:
        """See `client.LedgerClient.claim`."""
        try:
            return self._ledger.claim(key, claim)
        except errors.UnavailableError:
            # The claim may still be committed once there is a quorum again.
            # The caller gets the error that nothing ran, so the ledger must
            # record the same.
            self._retry_later(
                key,
                dataclasses.replace(claim, state=machine.ClaimState.NOT_RUN),
            )
            raise

    def settle(self, key: str, outcome: machine.Claim) -> bool:
        """See `client.LedgerClient.settle`."""
        return self._ledger.settle(key, outcome)

    def settle_or_retry(self, key: str, outcome: machine.Claim) -> None:
        """Settles a claim now, or later if there is no quorum."""
        try:
            self._ledger.settle(key, outcome)
        except errors.UnavailableError as error:
            logs.event(
                "claim not settled yet", "WARNING", key=key, detail=error.detail
            )
            self._retry_later(key, outcome)

    def _retry_later(self, key: str, outcome: machine.Claim) -> None:
        self._pending.append(_PendingSettlement(key, outcome, time.monotonic()))

    def start(self) -> None:
        """Starts retrying."""
        self._thread.start()

    def stop(self) -> None:
        """Tries each pending settlement once more and stops."""
        self._stop.set()
        self._thread.join()
        self._retry_all()
        for item in self._pending:
            logs.event("claim left unsettled", "ERROR", key=item.key)

    def _run(self) -> None:
        while not self._stop.wait(RETRY_S):
            self._retry_all()

    def _retry_all(self) -> None:
        while self._pending:
            item = self._pending[0]
            try:
                self._ledger.settle(item.key, item.outcome)
                logs.event("claim settled later", key=item.key)
            except errors.UnavailableError:
                if time.monotonic() - item.queued_s < GIVE_UP_S:
                    return
                logs.event("claim left unsettled", "ERROR", key=item.key)
            if self._pending and self._pending[0] is item:
                self._pending.popleft()
