"""Prediction of the wait of a job from the prefill ahead of it.

Load pattern: shared prefixes are cold, and prefill is short while slots are
free. Predicted from slots, no request waits, so that none is refused: callers
learn after seconds that they are late, and can't come back at a better time.

The prefill ahead of a job is that of the queued jobs of higher tiers and of the
earlier ones of its own, by the tokens that no endpoint had cached when they
were queued. A shared prefix counts once for all queued jobs that need it: the
others find it cached, or fetch it, once the first has been placed. The sums are
updated when a job enters or leaves the queue, so that no decision iterates over
the waiting jobs.

The rate is that of the endpoints that may take the job, of which this instance
has the part that its own prompts have of the prompts there. Without that part
the placers of six domains that overload the endpoints together would each
predict a sixth of the wait.
"""

import collections
from collections import abc
import dataclasses

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["PrefillForecast"]


@dataclasses.dataclass(frozen=True, slots=True)
class _Queued:
    """A queued job's uncached tokens.

    Attributes:
        own_tokens: Tokens that no other job needs.
        shared_tokens: Tokens of the shared prefix.
    """

    rank: int
    service: ids.ServiceId
    prefix_key: str
    own_tokens: float
    shared_tokens: float


class _Tier:
    """The uncached tokens of the queued jobs of one tier."""

    def __init__(self):
        self.own_tokens = 0.0
        self.shared_tokens = 0.0
        self.jobs = 0
        self._users: collections.Counter[str] = collections.Counter()
        self._prefix_tokens: dict[str, float] = {}

    def add(self, queued: _Queued) -> None:
        """Adds a job's tokens."""
        self.jobs += 1
        self.own_tokens += queued.own_tokens
        key = queued.prefix_key
        self._users[key] += 1
        if queued.shared_tokens > self._prefix_tokens.get(key, 0.0):
            self._set_prefix(key, queued.shared_tokens)

    def remove(self, queued: _Queued, placed: bool) -> None:
        """Removes a job's tokens; `placed` says that its prefix is sent."""
        self.jobs -= 1
        self.own_tokens -= queued.own_tokens
        key = queued.prefix_key
        self._users[key] -= 1
        is_last = not self._users[key]
        if is_last:
            del self._users[key]
        if placed or is_last:
            self._set_prefix(key, 0.0)
        if not self.jobs:
            # Rounding errors of the sums would otherwise add up.
            self.own_tokens = self.shared_tokens = 0.0

    def _set_prefix(self, key: str, tokens: float) -> None:
        self.shared_tokens += tokens - self._prefix_tokens.pop(key, 0.0)
        if tokens:
            self._prefix_tokens[key] = tokens

    @property
    def tokens(self) -> float:
        """Uncached tokens of all jobs together."""
        return self.own_tokens + self.shared_tokens


class PrefillForecast:
    """The prefill of the queued jobs, by service and tier."""

    def __init__(
        self,
        tokens_per_s: abc.Callable[[messages.Job, float], float],
        share_ahead: abc.Callable[[messages.Job, float], float],
    ):
        """Initializes a forecast without jobs.

        Args:
            tokens_per_s: Returns the prefill rate that this instance has for a
                job at the given time.
            share_ahead: Returns the share of the jobs of a job's tier that go
                before it at the given time.
        """
        self._tokens_per_s = tokens_per_s
        self._share_ahead = share_ahead
        self._tiers: dict[tuple[ids.ServiceId, int], _Tier] = {}
        self._queued: dict[ids.RequestId, _Queued] = {}

    def add(self, job: messages.Job, uncached_tokens: float) -> None:
        """Records that a job is queued.

        Args:
            job: The job.
            uncached_tokens: Its tokens that no endpoint has cached.
        """
        shared = sum(part.tokens for part in job.shared_parts)
        own = max(job.prompt_tokens - shared, 0)
        queued = _Queued(
            job.rank,
            job.service,
            job.prefix_key,
            min(own, uncached_tokens),
            max(uncached_tokens - own, 0.0),
        )
        key = job.service, job.rank
        self._tiers.setdefault(key, _Tier()).add(queued)
        self._queued[job.request_id] = queued

    def remove(self, request_id: ids.RequestId, placed: bool) -> None:
        """Records that a job has left the queue, if it was recorded.

        Args:
            request_id: The job.
            placed: Whether it has been placed, and not refused or withdrawn.
        """
        queued = self._queued.pop(request_id, None)
        if queued is not None:
            tier = self._tiers[queued.service, queued.rank]
            tier.remove(queued, placed)

    def tokens_ahead(self, job: messages.Job, now_s: float) -> float:
        """Returns the uncached tokens of the jobs before a job."""
        tokens = 0.0
        for (service, rank), tier in self._tiers.items():
            if service == job.service and rank < job.rank:
                tokens += tier.tokens
        own = self._tiers.get((job.service, job.rank))
        if own is not None and own.jobs:
            tokens += self._share_ahead(job, now_s) * own.tokens
        return tokens

    def wait_s(self, job: messages.Job, now_s: float) -> float:
        """Returns the predicted time until the job's prompt can be sent."""
        tokens = self.tokens_ahead(job, now_s)
        if not tokens:
            return 0.0
        return tokens / max(self._tokens_per_s(job, now_s), 1.0)
