"""Whether an engine fetches a cached prefix from another engine.

Load pattern: a prefix that many requests share, sent to an engine that does not
hold it because the engine that does is busy. A prefill takes compute time,
which delays all requests on the engine; a fetch takes bandwidth. Without this
module every such request has the prefix prefilled again.

A part is fetched if the transfer is faster than the prefill: the document sets
the bytes per token and the link rate, the prefill time is learned. A fetch
starts with a round trip between the two engines, which may take at most a share
of the request's target; prefixes that prefill in less time are not fetched.

The fetch does not affect where a request is sent. When the choice took it into
account, prefixes no longer attracted requests and the load spread to any free
engine: three times as much data was transferred, and long prompts delayed the
short answers on all engines.

`REMOTE_START_S` is a connection setup and a request over 30 ms each way.
`WAIT_SHARE` excludes only the classes with targets too short for that wait.
"""

import typing

from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = [
    "MIN_FETCH_TOKENS",
    "WAIT_SHARE",
    "FetchSource",
    "fetch_token_s",
    "select_source",
]

LOCAL_START_S = 0.002
REMOTE_START_S = 0.065
"""Time until a transfer starts, within a domain and between domains."""

WAIT_SHARE = 0.12
"""Share of its target that a request waits for a transfer to start."""

MIN_FETCH_TOKENS = 256
"""Shorter prefixes are prefilled."""


class FetchSource(typing.NamedTuple):
    """An engine that holds a prefix of a prompt.

    Attributes:
        tokens: Length of the prefix that it holds.
        is_local: Whether it is in the domain of the fetching engine.
        endpoint: The engine.
    """

    tokens: int
    is_local: bool
    endpoint: ids.EndpointId


def fetch_token_s(service: schema.Service | None) -> float | None:
    """Returns the transfer time per token; None if engines can't fetch.

    Args:
        service: The engines' service; None if it is unknown.
    """
    if service is None or service.cache_link_mbit_per_s <= 0.0:
        return None
    bits = 8.0 * service.cache_token_bytes
    return bits / (1e6 * service.cache_link_mbit_per_s)


def select_source(
    own_tokens: int, sources: list[FetchSource], target_s: float
) -> FetchSource | None:
    """Returns the engine to fetch from; None to prefill instead.

    Args:
        own_tokens: Length of the prefix that the engine itself holds.
        sources: Other engines that hold a prefix. The longest prefix is
            preferred, then one in the same domain.
        target_s: Target time to first token.
    """
    if not sources:
        return None
    source = max(sources)
    start_s = LOCAL_START_S if source.is_local else REMOTE_START_S
    if source.tokens - own_tokens < MIN_FETCH_TOKENS:
        return None
    return source if start_s <= WAIT_SHARE * target_s else None
