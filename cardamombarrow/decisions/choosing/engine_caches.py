"""Cached parts of the prompt that is being placed, by engine.

`cache_directory` stores which engines hold which parts. This module queries it
for one job and all engines that the job could go to: how many prompt tokens
each engine would have to prefill, and where the chosen one fetches missing
parts from (`fetching`).
"""

from collections import abc

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.choosing import cache_directory
from cardamombarrow.decisions.choosing import fetching
from cardamombarrow.kernel import ids

__all__ = ["UNREPORTED_CACHED_SHARE", "EngineCaches"]

UNREPORTED_CACHED_SHARE = 0.5
"""Share of a prefix without known holders that is assumed to be cached at its
affinity endpoint, so that the first requests with this prefix go to the same
endpoint."""


class EngineCaches:
    """State of the engines' caches with respect to the current job."""

    def __init__(self):
        self.directory = cache_directory.KeptParts()
        self._cached_tokens: dict[ids.EndpointId, int] = {}
        self._domains: dict[ids.EndpointId, ids.DomainId] = {}

    def prepare(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> None:
        """Sets the current job and its possible endpoints."""
        cached_tokens = self.directory.cached_prefix_tokens(job, now_s)
        self._domains = {state.endpoint: state.domain for state in states}
        self._cached_tokens = {
            endpoint: tokens
            for endpoint, tokens in cached_tokens.items()
            if endpoint in self._domains
        }

    def uncached_tokens(
        self, job: messages.Job, endpoint: ids.EndpointId, has_affinity: bool
    ) -> float:
        """Returns the prompt tokens that are not in an engine's cache."""
        own_tokens = float(self._cached_tokens.get(endpoint, 0))
        if has_affinity:
            reported = max(self._cached_tokens.values(), default=0)
            unreported = max(_shared_tokens(job) - reported, 0)
            own_tokens += UNREPORTED_CACHED_SHARE * unreported
        return max(job.prompt_tokens - own_tokens, 0.0)

    def fetch(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        affinity: ids.EndpointId | None,
        is_usable: abc.Callable[[ids.EndpointId], bool],
        now_s: float,
    ) -> messages.Fetch | None:
        """Returns where the chosen engine fetches cached parts from.

        Args:
            job: The job, which `prepare` has set.
            state: The chosen engine.
            affinity: Affinity endpoint of the prompt's prefix.
            is_usable: Returns whether an engine may be the source. A fetch
                from an unresponsive engine would block.
            now_s: Current time.
        """
        cached_tokens = self._cached_tokens
        own_tokens = cached_tokens.get(state.endpoint, 0)
        sources = [
            fetching.FetchSource(
                tokens, self._domains.get(endpoint) == state.domain, endpoint
            )
            for endpoint, tokens in self._holders(job, affinity).items()
            if endpoint != state.endpoint and is_usable(endpoint)
        ]
        target_s = job.target_first_token_s
        source = fetching.select_source(own_tokens, sources, target_s)
        if source is None:
            return None
        key = cache_directory.part_key(job.parts[0].part)
        last_used_s = self.directory.last_used_s(key, source.endpoint)
        return messages.Fetch(
            source.endpoint,
            source.tokens - own_tokens if cached_tokens else 0,
            None if last_used_s is None else now_s - last_used_s,
        )

    def _holders(
        self, job: messages.Job, affinity: ids.EndpointId | None
    ) -> dict[ids.EndpointId, int]:
        """Returns the cached prefix tokens by engine that may hold any."""
        if self._cached_tokens or affinity is None:
            return self._cached_tokens
        # No holder is known, but requests sent to the affinity endpoint
        # within the last second or two may not have been reported yet.
        return {affinity: _shared_tokens(job)}

    def record_sent(
        self, job: messages.Job, endpoint: ids.EndpointId, now_s: float
    ) -> None:
        """Records that a job's prompt is sent to an engine."""
        for key in _keys(job.parts):
            self.directory.record(key, endpoint, now_s)

    def record_prefilled(
        self, job: messages.Job, endpoint: ids.EndpointId, now_s: float
    ) -> None:
        """Queues a prefilled prompt for announcement to other instances."""
        for key in _keys(job.shared_parts):
            self.directory.announce(key, endpoint, now_s)

    def remove_sent(self, job: messages.Job, endpoint: ids.EndpointId) -> None:
        """Drops the parts of a job that did not reach its engine."""
        for key in _keys(job.parts):
            self.directory.remove(key, endpoint)


def _shared_tokens(job: messages.Job) -> int:
    return sum(part.tokens for part in job.shared_parts)


def _keys(parts: abc.Iterable[messages.PromptPart]) -> abc.Iterator[int]:
    return (cache_directory.part_key(part.part) for part in parts)
