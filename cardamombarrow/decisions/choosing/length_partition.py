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

from cardamombarrow.kernel import ids

__all__ = ["SHORT_REQUEST_SHARE", "short_request_endpoints"]

SHORT_REQUEST_SHARE = 0.35

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
