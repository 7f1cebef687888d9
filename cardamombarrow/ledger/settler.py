"""Settles claims later, when there was no quorum to settle them at once.

A claim that is never settled keeps its key refused: first as under way, then
as of unknown outcome, although the entry knows how the request ended. So the
entry that holds it goes on trying for a while.
"""

import collections
import dataclasses
import threading
import time

from cardamombarrow.kernel import errors
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs
from cardamombarrow.ledger import client
from cardamombarrow.ledger import machine

__all__ = ["Settler"]

RETRY_S = 1.0
"""Time between two tries while there is no quorum."""

GIVE_UP_S = 3_600.0
"""How long one settlement is tried: regions lose each other for an hour."""

WAITING_LIMIT = 10_000
"""Most settlements that wait; the oldest is given up beyond it."""


@dataclasses.dataclass(frozen=True)
class _Waiting:
    """A settlement that is still to be made."""

    key: str
    outcome: machine.Claim
    since_s: float


class Settler(client.LedgerClient, lifecycle.Part):
    """A ledger whose settlements are repeated until they are made."""

    def __init__(self, ledger: client.LedgerClient):
        self._ledger = ledger
        self._waiting: collections.deque[_Waiting] = collections.deque(
            maxlen=WAITING_LIMIT
        )
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="settler", daemon=True
        )

    def claim(self, key: str, claim: machine.Claim) -> machine.Verdict:
        """See `client.LedgerClient.claim`."""
        try:
            return self._ledger.claim(key, claim)
        except errors.UnavailableError:
            # The claim may be committed once there is a quorum again. The
            # caller is told that nothing ran, so the ledger must say so too.
            self._later(
                key,
                dataclasses.replace(claim, state=machine.ClaimState.NOT_RUN),
            )
            raise

    def settle(self, key: str, outcome: machine.Claim) -> bool:
        """See `client.LedgerClient.settle`."""
        return self._ledger.settle(key, outcome)

    def record(self, key: str, outcome: machine.Claim) -> None:
        """Settles now or, while there is no quorum, later."""
        try:
            self._ledger.settle(key, outcome)
        except errors.UnavailableError as error:
            logs.event(
                "claim not settled yet", "WARNING", key=key, detail=error.detail
            )
            self._later(key, outcome)

    def _later(self, key: str, outcome: machine.Claim) -> None:
        self._waiting.append(_Waiting(key, outcome, time.monotonic()))

    def start(self) -> None:
        """Starts repeating."""
        self._thread.start()

    def stop(self) -> None:
        """Tries each waiting settlement once more and ends."""
        self._stop.set()
        self._thread.join()
        self._try_all()
        for item in self._waiting:
            logs.event("claim left unsettled", "ERROR", key=item.key)

    def _run(self) -> None:
        while not self._stop.wait(RETRY_S):
            self._try_all()

    def _try_all(self) -> None:
        while self._waiting:
            item = self._waiting[0]
            try:
                self._ledger.settle(item.key, item.outcome)
                logs.event("claim settled later", key=item.key)
            except errors.UnavailableError:
                if time.monotonic() - item.since_s < GIVE_UP_S:
                    return
                logs.event("claim left unsettled", "ERROR", key=item.key)
            if self._waiting and self._waiting[0] is item:
                self._waiting.popleft()
