"""How many requests an entry holds at once, by tier and by workspace.

Each request keeps a thread from its first byte to its last, and most of that
time it waits. Without a bound a flood of one low tier's requests, all waiting
in the queue, takes every thread; a higher tier's request then can't even be
read, so no decision about it can be made. The bound is trunk reservation: a
tier may enter while the requests held, of whatever tier, are under its share
of the threads. The lowest tier has the smallest share, so it is refused first
and the threads above it are left for the higher tiers.
"""

import collections
import random
import threading

from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = ["HIGHEST_SHARE", "LOWEST_SHARE", "Gate"]

LOWEST_SHARE = 0.5
"""Share of the threads up to which the lowest tier may enter."""

HIGHEST_SHARE = 0.9
"""The same for the highest tier; the rest reads and refuses requests."""

RETRY_AFTER_S = (1.0, 3.0)
"""Bounds between which refused callers' return is spread evenly."""


class Gate:
    """Counts the requests that are held, and refuses those over a bound."""

    def __init__(self, connections: int, rng: random.Random):
        self._connections = connections
        self._rng = rng
        self._lock = threading.Lock()
        self._held = 0
        self._by_workspace: collections.Counter[ids.WorkspaceId] = (
            collections.Counter()
        )

    @property
    def held(self) -> int:
        """Requests that are held now."""
        return self._held

    def enter(self, job: messages.Job, document: schema.Document) -> None:
        """Lets a request in; `leave` must follow.

        Raises:
            errors.RefusedError: The tier's or the workspace's bound is met.
        """
        bound = self._bound(job.rank, document)
        workspace = document.workspaces.get(job.workspace)
        most = workspace.max_in_flight if workspace else 0
        with self._lock:
            if self._held >= bound:
                raise self._refusal(
                    errors.ErrorKind.OVERLOADED,
                    f"{self._held} requests are held; the tier enters under "
                    f"{bound}",
                )
            own = self._by_workspace[job.workspace]
            if most and own >= most:
                raise self._refusal(
                    errors.ErrorKind.WORKSPACE_LIMIT,
                    f"{own} requests of the workspace are held",
                )
            self._held += 1
            self._by_workspace[job.workspace] += 1

    def leave(self, job: messages.Job) -> None:
        """Counts a request out."""
        with self._lock:
            self._held -= 1
            self._by_workspace[job.workspace] -= 1
            if not self._by_workspace[job.workspace]:
                del self._by_workspace[job.workspace]

    def _bound(self, rank: int, document: schema.Document) -> int:
        # The rank may be one of the edition before, which has gone out of
        # force since the request was read: it is not looked up.
        ranks = {tier.rank for tier in document.tiers.values()}
        above = sum(each < rank for each in ranks) / max(1, len(ranks) - 1)
        share = HIGHEST_SHARE - (HIGHEST_SHARE - LOWEST_SHARE) * min(above, 1.0)
        return max(1, int(share * self._connections))

    def _refusal(
        self, kind: errors.ErrorKind, detail: str
    ) -> errors.RefusedError:
        return errors.RefusedError(
            kind, detail, retry_after_s=self._rng.uniform(*RETRY_AFTER_S)
        )
