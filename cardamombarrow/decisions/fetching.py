"""Whether an engine fetches a prompt's beginning from another one.

Load pattern answered: a beginning that many requests share, sent to an engine
that has not read it because the one that has it is busy. Reading takes the
engine's time, and with it that of all requests on it; to fetch it takes the
link's. Without this module every such request has it read once more.

A part is fetched where the transfer is faster than reading: the bytes a token
and the pace of the link are told by the document, the pace of reading is
learnt. A fetch begins with a round trip between the two engines, which a
request that is in a hurry can't wait for, so it may take part of a target at
most, and nothing is fetched that is read in less.

It does not decide where a request goes. Weighed there, beginnings drew
requests nowhere, and the load went wherever it could: three times as much was
moved, and long prompts made the short answers on all engines stutter.

`FAR_START_S` is a connection and a question over 30 ms each way. `WAIT_SHARE`
lets every class wait for that but those whose target is so short that it
matters.
"""

import typing

from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = [
    "LEAST_TOKENS",
    "WAIT_SHARE",
    "Source",
    "fetch_token_s",
    "source_for",
]

NEAR_START_S = 0.002
FAR_START_S = 0.065
"""Time until a transfer begins, within a domain and between two."""

WAIT_SHARE = 0.12
"""Part of its target that a request waits for a transfer to begin."""

LEAST_TOKENS = 256
"""What is shorter is read."""


class Source(typing.NamedTuple):
    """What another engine keeps of a prompt's beginning.

    Attributes:
        tokens: How much of it, without a gap.
        is_near: Whether it stands in the domain of the one that fetches.
        endpoint: The engine.
    """

    tokens: int
    is_near: bool
    endpoint: ids.EndpointId


def fetch_token_s(service: schema.Service | None) -> float | None:
    """Returns the time to fetch a token; None where engines can't fetch.

    Args:
        service: The engines' service; None where it is not known.
    """
    if service is None or service.cache_link_mbit_per_s <= 0.0:
        return None
    bits = 8.0 * service.cache_token_bytes
    return bits / (1e6 * service.cache_link_mbit_per_s)


def source_for(
    kept_tokens: int, sources: list[Source], target_s: float
) -> Source | None:
    """Returns where an engine should fetch from; None to read.

    Args:
        kept_tokens: What of the beginning it keeps itself.
        sources: What other engines keep; the one with most is taken, of
            equal ones one that is near.
        target_s: Time to the first event that was promised.
    """
    if not sources:
        return None
    source = max(sources)
    start_s = NEAR_START_S if source.is_near else FAR_START_S
    if source.tokens - kept_tokens < LEAST_TOKENS:
        return None
    return source if start_s <= WAIT_SHARE * target_s else None
