"""Builds a document out of routes, for formats that know nothing else.

Such formats name no tiers and no policies. The policies are those that suit
callers that come by route: requests leave their failure domain where their
own has no room, and share one budget of retries.
"""

import dataclasses

from cardamombarrow.document import rules
from cardamombarrow.document import schema
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = [
    "LAST_RANK",
    "PLAIN_SLOTS",
    "POLICIES",
    "Parts",
    "build",
    "expected_tokens",
    "pair_rank",
    "rank_parts",
    "tier_id",
]

LAST_RANK = 9
"""Rank of requests for which none is given."""

PLAIN_SLOTS = 8
"""Slots of a plain service's endpoint until discovery tells them."""

STREAM_TOKENS = 40
"""Events of a stream, until some were seen."""

RESERVED_SHARE = 0.01
"""Reserved share of a lower tier. Engines have far more slots than prompts that
they read at once: with a tenth of the slots a lower tier was owed every next
prompt, and an urgent one waited 3.3 s behind a burst instead of 0.8 s."""

POLICIES = schema.Policies(
    choice="first-event", spill="weighed", preemption="never", retry="window"
)


@dataclasses.dataclass(frozen=True)
class Parts:
    """What a format has read.

    Attributes:
        ranks: Rank of each class's requests.
        open_to_all: Whether no request needs a key.
    """

    services: list[schema.Service]
    routes: list[schema.Route]
    classes: list[schema.RequestClass]
    ranks: dict[ids.ClassId, int]
    workspaces: list[schema.Workspace]
    open_to_all: bool
    limits: schema.CallerLimits


def expected_tokens(streams: bool) -> int:
    """Returns the first guess of an answer's length.

    An answer that does not stream is short. Guessed as long as a stream, one
    that had to be sent again was given up with half of its time left.
    """
    return STREAM_TOKENS if streams else 1


def tier_id(rank: int) -> ids.TierId:
    """Returns the name of the tier of a rank."""
    return ids.TierId(f"rank-{rank}")


def build(parts: Parts) -> schema.Document:
    """Returns the document.

    Raises:
        errors.ConfigError: With every mistake found.
    """
    mistakes = [
        *_twice("service", [each.service for each in parts.services]),
        *_twice("route", [each.route for each in parts.routes]),
        *_twice("workspace", [each.workspace for each in parts.workspaces]),
    ]
    routes = parts.routes
    if parts.open_to_all:
        routes = [dataclasses.replace(each, anonymous=True) for each in routes]
    anybody = schema.Workspace(schema.ANYBODY, (), ())
    document = schema.Document(
        tiers=_tiers(parts),
        classes={each.class_id: each for each in parts.classes},
        workspaces={
            each.workspace: each for each in (anybody, *parts.workspaces)
        },
        services={each.service: each for each in parts.services},
        models={},
        owners={},
        policies=POLICIES,
        routes={each.route: each for each in routes},
        limits=parts.limits,
        rank_order=_order(parts),
    )
    mistakes += [
        f"[{section}]: {reason}"
        for section, reason in rules.route_violations(document)
    ]
    if mistakes:
        raise errors.ConfigError(mistakes)
    return document


def _twice(kind: str, names: list[str]) -> list[str]:
    seen: set[str] = set()
    mistakes = []
    for name in names:
        if name in seen:
            mistakes.append(f"{kind} {name!r} stands twice")
        seen.add(name)
    return mistakes


def _tiers(parts: Parts) -> dict[ids.TierId, schema.Tier]:
    """Returns the tiers of the classes, and one for each rank beside them."""
    ranks = set(parts.ranks.values()) | set(_order(parts).values())
    lower = max(len(ranks) - 1, 1)
    reserved = min(RESERVED_SHARE, rules.MOST_RESERVED_SHARE / lower)
    return {
        tier_id(rank): schema.Tier(tier_id(rank), rank, reserved)
        for rank in sorted(ranks)
    }


def _order(parts: Parts) -> dict[tuple[int, int], int]:
    """Returns the rank of each pair of a workspace's and a class's rank."""
    workspaces = [schema.Workspace(schema.ANYBODY, (), ()), *parts.workspaces]
    pairs = {
        schema.rank_pair(workspace, rank)
        for workspace in workspaces
        for rank in parts.ranks.values()
    }
    return {pair: pair_rank(pair) for pair in pairs}


def pair_rank(pair: tuple[int, int]) -> int:
    """Returns the rank of a pair that `schema.rank_pair` returns.

    It follows from the pair alone. Entries are on different editions for some
    seconds, and requests outlive an edition. Were it the pair's place among
    those of the edition, one more workspace rank would give the same pair
    another rank, and an engine would put back a request for one that is less
    urgent.
    """
    first, second = (min(rank, LAST_RANK) for rank in pair)
    return first * (LAST_RANK + 1) + second


def rank_parts(rank: int) -> tuple[int, int]:
    """Returns the pair of a rank that `pair_rank` gave."""
    return divmod(rank, LAST_RANK + 1)
