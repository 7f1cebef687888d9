"""Separates long prompts and short requests by endpoint.

Load pattern: long prompts among short interactive answers. An engine prefills a
prompt in chunks between the tokens of its other requests, so a long prompt
delays the tokens of every answer on that engine until its prefill ends. Sent to
any endpoint with a free slot, a few long prompts make most of the short answers
late, on all engines at once.

Some of the endpoints form the short-request partition; the others take the long
prompts. The partition is computed from the endpoints alone, by hash, so that
all instances agree without a message. Every domain with more than one endpoint
gets one for short requests before any domain gets a second, so that short
requests mostly stay in their domain. The partition is a preference: the choice
weighs the cost of leaving it against the cost of waiting.

Short requests cause a small share of the prefill, but an answer holds its slot
for longer than the prefill of its prompt takes, so `SHORT_REQUEST_SHARE` is
greater than that share.
"""

from collections import abc
import functools
import zlib

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.choosing import engine_prefill
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["SHORT_REQUEST_SHARE", "LengthPartition", "short_request_endpoints"]

SHORT_REQUEST_SHARE = 0.35

LONG_PREFILL_SHARE = 0.5
"""A prompt is long when its prefill takes more than this share of the shortest
pause that any route of the document allows within an answer."""

DEFAULT_PAUSE_S = 0.2
"""Shortest allowed pause if no route sets one."""

SHORT_REQUEST_PENALTY_S = 0.3
"""Penalty for a short request on an endpoint of the long-prompt partition."""

_DomainEndpoints = tuple[tuple[ids.DomainId, ids.EndpointId], ...]


def short_request_endpoints(
    endpoints: abc.Iterable[tuple[ids.DomainId, ids.EndpointId]],
) -> frozenset[ids.EndpointId]:
    """Returns the endpoints of the short-request partition.

    Args:
        endpoints: Domain and id of every endpoint that accepts new requests.
    """
    return _compute(tuple(sorted(endpoints)))


@functools.lru_cache(maxsize=64)
def _compute(endpoints: _DomainEndpoints) -> frozenset[ids.EndpointId]:
    if len(endpoints) < 2:
        return frozenset()
    count = min(
        max(round(SHORT_REQUEST_SHARE * len(endpoints)), 1), len(endpoints) - 1
    )
    by_domain: dict[ids.DomainId, list[ids.EndpointId]] = {}
    for domain, endpoint in endpoints:
        by_domain.setdefault(domain, []).append(endpoint)
    for group in by_domain.values():
        group.sort(key=_hash)
    # The first endpoint of each domain ranks before any second one; the only
    # endpoint of a domain ranks last.
    ranked = sorted(
        (len(group) == 1, position, -len(group), _hash(endpoint), endpoint)
        for group in by_domain.values()
        for position, endpoint in enumerate(group)
    )
    return frozenset(endpoint for *_, endpoint in ranked[:count])


def _hash(endpoint: ids.EndpointId) -> int:
    return zlib.crc32(endpoint.encode())


class LengthPartition:
    """The partition of each job, and the penalty for leaving it."""

    def __init__(
        self,
        document: schema.Document,
        prefill: engine_prefill.EnginePrefill,
        long_prompt_penalty_share: float,
    ):
        """Initialises the partition.

        Args:
            document: The document in force.
            prefill: Prefill times of the services.
            long_prompt_penalty_share: Penalty for a long prompt on an endpoint
                of the short-request partition, as a share of its target.
        """
        self._prefill = prefill
        self._long_prompt_penalty_share = long_prompt_penalty_share
        self._short_request_endpoints: frozenset[ids.EndpointId] = frozenset()
        self._prepared: tuple[messages.Job | None, bool] = None, False
        self.configure(document)

    def configure(self, document: schema.Document) -> None:
        """Applies the shortest pause of a newer document."""
        pauses_s = [r.longest_pause_s for r in document.routes.values()]
        self._shortest_pause_s = min(
            filter(None, pauses_s), default=DEFAULT_PAUSE_S
        )

    def prepare(self, job: messages.Job) -> None:
        """Caches the length of a job until another one is prepared."""
        self._prepared = job, self._takes_long(job)

    def is_long(self, job: messages.Job) -> bool:
        """Returns whether a job has a long prompt."""
        prepared, is_long = self._prepared
        return is_long if prepared is job else self._takes_long(job)

    def _takes_long(self, job: messages.Job) -> bool:
        prefill_s = job.prompt_tokens * self._prefill.service_token_s(
            job.service
        )
        return prefill_s > LONG_PREFILL_SHARE * self._shortest_pause_s

    def select(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
    ) -> list[endpoint_module.EndpointState]:
        """Returns the candidates in the partition of the job.

        Later penalties refer to the partition of these candidates.
        """
        if not job.prompt_tokens:
            return candidates
        self._short_request_endpoints = short_request_endpoints(
            (state.domain, state.endpoint) for state in candidates
        )
        is_long = self.is_long(job)
        return [
            state
            for state in candidates
            if (state.endpoint in self._short_request_endpoints) is not is_long
        ]

    def penalty_s(
        self, job: messages.Job, state: endpoint_module.EndpointState
    ) -> float:
        """Returns the penalty for an endpoint outside the job's partition."""
        if not job.prompt_tokens or not self._short_request_endpoints:
            return 0.0
        is_for_short = state.endpoint in self._short_request_endpoints
        if self.is_long(job):
            target_s = job.target_first_token_s
            share = self._long_prompt_penalty_share
            return share * target_s if is_for_short else 0.0
        return 0.0 if is_for_short else SHORT_REQUEST_PENALTY_S
