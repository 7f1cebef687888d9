"""Keeps long prompts and short requests on different engines.

Load pattern answered: long prompts among short, lively answers. An engine
reads a prompt in pieces between the tokens of its other requests, so that a
long prompt makes every answer on that engine stutter for as long as it is
read. Sent wherever there is room, a few long prompts make most of the short
answers late, on all engines at once.

Part of the engines, the quiet ones, are kept for short requests, and the
others take the long prompts. Which ones follows from the endpoints alone, by
hash, so that all instances agree without a message. Every domain that has
more than one engine gets a quiet one before any domain gets a second, so that
short requests mostly stay near. The lanes are a preference: the choice weighs
what crossing them costs against what waiting costs.

Short requests make a small part of the reading, but an answer holds its place
for longer than its prompt is read, so `QUIET_SHARE` is more than that part.
"""

from collections import abc
import functools
import zlib

from cardamombarrow.kernel import ids

__all__ = ["QUIET_SHARE", "quiet_endpoints"]

QUIET_SHARE = 0.35

_Places = tuple[tuple[ids.DomainId, ids.EndpointId], ...]


def quiet_endpoints(
    places: abc.Iterable[tuple[ids.DomainId, ids.EndpointId]],
) -> frozenset[ids.EndpointId]:
    """Returns the endpoints that are kept for short requests.

    Args:
        places: Domain and id of every endpoint that takes work.
    """
    return _work_out(tuple(sorted(places)))


@functools.lru_cache(maxsize=64)
def _work_out(places: _Places) -> frozenset[ids.EndpointId]:
    if len(places) < 2:
        return frozenset()
    wanted = min(max(round(QUIET_SHARE * len(places)), 1), len(places) - 1)
    by_domain: dict[ids.DomainId, list[ids.EndpointId]] = {}
    for domain, endpoint in places:
        by_domain.setdefault(domain, []).append(endpoint)
    for group in by_domain.values():
        group.sort(key=_hash)
    # The first of a domain's engines comes before any second one, and the
    # only engine of a domain last of all.
    ranked = sorted(
        (len(group) == 1, place, -len(group), _hash(endpoint), endpoint)
        for group in by_domain.values()
        for place, endpoint in enumerate(group)
    )
    return frozenset(endpoint for *_, endpoint in ranked[:wanted])


def _hash(endpoint: ids.EndpointId) -> int:
    return zlib.crc32(endpoint.encode())
