"""Builds a document from routes, for formats without tiers and policies.

The policies are fixed: requests leave their failure domain if it has no free
capacity, and all requests share one retry budget.
"""

import dataclasses

from cardamombarrow.document import rules
from cardamombarrow.document import schema
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = [
    "DEFAULT_PLAIN_SLOTS",
    "LAST_RANK",
    "POLICIES",
    "ParsedRoutes",
    "build",
    "combined_rank",
    "expected_tokens",
    "split_rank",
    "tier_id",
]

LAST_RANK = 9
"""The lowest-priority rank, used if none is given."""

DEFAULT_PLAIN_SLOTS = 8
"""Slots of a plain service's endpoint until discovery reports them."""

STREAM_TOKENS = 40
"""Initial estimate of the events of a stream."""

RESERVED_SHARE = 0.01
"""Reserved share of a lower tier. Engines have far more slots than prompts that
they prefill at once: with a tenth of the slots reserved, a lower tier was
entitled to every next prefill, and an urgent prompt waited 3.3 s behind a burst
instead of 0.8 s."""

POLICIES = schema.Policies(
    choice="first-event", spill="weighed", preemption="never", retry="window"
)


@dataclasses.dataclass(frozen=True)
class ParsedRoutes:
    """The parsed content of a document in another format.

    Attributes:
        ranks: Rank of each class's requests.
        allow_anonymous: Whether requests need no key.
    """

    services: list[schema.Service]
    routes: list[schema.Route]
    classes: list[schema.RequestClass]
    ranks: dict[ids.ClassId, int]
    workspaces: list[schema.Workspace]
    allow_anonymous: bool
    limits: schema.CallerLimits


def expected_tokens(streams: bool) -> int:
    """Returns the initial estimate of an answer's length.

    An answer that is not streamed is short. With the estimate of a stream, a
    request that needed a retry failed with half of its time left.
    """
    return STREAM_TOKENS if streams else 1


def tier_id(rank: int) -> ids.TierId:
    """Returns the name of the tier of a rank."""
    return ids.TierId(f"rank-{rank}")


def build(parts: ParsedRoutes) -> schema.Document:
    """Returns the document.

    Raises:
        errors.ConfigError: With every mistake found.
    """
    mistakes = [
        *_duplicates("service", [each.service for each in parts.services]),
        *_duplicates("route", [each.route for each in parts.routes]),
        *_duplicates(
            "workspace", [each.workspace for each in parts.workspaces]
        ),
    ]
    routes = parts.routes
    if parts.allow_anonymous:
        routes = [dataclasses.replace(each, anonymous=True) for each in routes]
    anonymous_workspace = schema.Workspace(schema.ANONYMOUS_WORKSPACE, (), ())
    document = schema.Document(
        tiers=_tiers(parts),
        classes={each.class_id: each for each in parts.classes},
        workspaces={
            each.workspace: each
            for each in (anonymous_workspace, *parts.workspaces)
        },
        services={each.service: each for each in parts.services},
        models={},
        owners={},
        policies=POLICIES,
        routes={each.route: each for each in routes},
        limits=parts.limits,
        rank_order=_combined_ranks(parts),
        ranks_per_priority=LAST_RANK + 1,
    )
    mistakes += [
        f"[{section}]: {reason}"
        for section, reason in rules.route_violations(document)
    ]
    if mistakes:
        raise errors.ConfigError(mistakes)
    return document


def _duplicates(kind: str, names: list[str]) -> list[str]:
    seen: set[str] = set()
    mistakes = []
    for name in names:
        if name in seen:
            mistakes.append(f"{kind} {name!r} is repeated")
        seen.add(name)
    return mistakes


def _tiers(parts: ParsedRoutes) -> dict[ids.TierId, schema.Tier]:
    """Returns one tier for each rank of a class and each combined rank."""
    ranks = set(parts.ranks.values()) | set(_combined_ranks(parts).values())
    lower = max(len(ranks) - 1, 1)
    reserved = min(RESERVED_SHARE, rules.MAX_RESERVED_SHARE / lower)
    return {
        tier_id(rank): schema.Tier(tier_id(rank), rank, reserved)
        for rank in sorted(ranks)
    }


def _combined_ranks(parts: ParsedRoutes) -> dict[tuple[int, int], int]:
    """Returns the combined rank of each workspace rank and class rank."""
    workspaces = [
        schema.Workspace(schema.ANONYMOUS_WORKSPACE, (), ()),
        *parts.workspaces,
    ]
    pairs = {
        schema.rank_pair(workspace, rank)
        for workspace in workspaces
        for rank in parts.ranks.values()
    }
    return {pair: combined_rank(pair) for pair in pairs}


def combined_rank(pair: tuple[int, int]) -> int:
    """Returns the combined rank of a pair that `schema.rank_pair` returns.

    The result depends only on the pair. Entries use different editions for
    some seconds, and requests outlive an edition. If the rank were the pair's
    position among those of the edition, adding a workspace rank would change
    it, and an engine would preempt a request for a less urgent one.
    """
    first, second = (min(rank, LAST_RANK) for rank in pair)
    return first * (LAST_RANK + 1) + second


def split_rank(rank: int) -> tuple[int, int]:
    """Returns the pair of a rank that `combined_rank` returned."""
    return divmod(rank, LAST_RANK + 1)
