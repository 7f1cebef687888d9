"""Limits the concurrent requests of an entry, by tier and by workspace.

Each request occupies a thread from its first byte to its last, and waits most
of that time. Without a bound, a flood of low-tier requests in the queue would
take every thread, and a higher tier's request could not even be read. The
bound is trunk reservation: a tier's request is admitted while the number of
requests held, of all tiers, is below the tier's share of the threads. The
lowest tier has the smallest share, so it is refused first and the remaining
threads are left to the higher tiers.
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
"""Share of the threads up to which the lowest tier is admitted."""

HIGHEST_SHARE = 0.9
"""The same for the highest tier; the remaining threads only read and refuse
requests."""

RETRY_AFTER_S = (1.0, 3.0)
"""Bounds of the uniformly distributed retry delay of refused callers."""


class Gate:
    """Counts concurrent requests and refuses those over a bound."""

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
        """The number of requests held now."""
        return self._held

    def enter(self, job: messages.Job, document: schema.Document) -> None:
        """Admits a request; `leave` must be called at its end.

        Raises:
            errors.RefusedError: The tier's or the workspace's bound is reached.
        """
        bound = self._bound(job.rank, document)
        workspace = document.workspaces.get(job.workspace)
        limit = workspace.max_in_flight if workspace else 0
        with self._lock:
            if self._held >= bound:
                raise self._refusal(
                    errors.ErrorKind.OVERLOADED,
                    errors.RefusalCheck.HELD_REQUESTS,
                    f"{self._held} requests are held; the tier's limit is "
                    f"{bound}",
                )
            in_flight = self._by_workspace[job.workspace]
            if limit and in_flight >= limit:
                raise self._refusal(
                    errors.ErrorKind.WORKSPACE_LIMIT,
                    errors.RefusalCheck.WORKSPACE_LIMIT,
                    f"{in_flight} requests of the workspace are held",
                )
            self._held += 1
            self._by_workspace[job.workspace] += 1

    def leave(self, job: messages.Job) -> None:
        """Removes a request from the counts."""
        with self._lock:
            self._held -= 1
            self._by_workspace[job.workspace] -= 1
            if not self._by_workspace[job.workspace]:
                del self._by_workspace[job.workspace]

    def _bound(self, rank: int, document: schema.Document) -> int:
        # The rank may belong to an edition that was replaced since the request
        # was read, so it can't be looked up in this document.
        ranks = {tier.rank for tier in document.tiers.values()}
        above = sum(each < rank for each in ranks) / max(1, len(ranks) - 1)
        share = HIGHEST_SHARE - (HIGHEST_SHARE - LOWEST_SHARE) * min(above, 1.0)
        return max(1, int(share * self._connections))

    def _refusal(
        self, kind: errors.ErrorKind, check: errors.RefusalCheck, detail: str
    ) -> errors.RefusedError:
        return errors.RefusedError(
            kind,
            detail,
            retry_after_s=self._rng.uniform(*RETRY_AFTER_S),
            check=check,
        )
