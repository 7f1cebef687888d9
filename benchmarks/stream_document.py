"""Documents of scenarios whose classes are streams on one service."""

from collections import abc
import dataclasses

from cardamombarrow.document import from_routes
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["Stream", "build"]


@dataclasses.dataclass(frozen=True)
class Stream:
    """One class of streamed requests.

    Attributes:
        shared_tokens: Mean length of the shared prefix.
        own_tokens: Mean length of the rest of the prompt.
        answer_tokens: Mean length of the answer.
        target_s: Target time to the first event.
        deadline_s: Time after which the caller has no use for an answer.
        pause_s: Longest allowed pause within an answer.
    """

    class_id: ids.ClassId
    rank: int
    shared_tokens: int
    own_tokens: int
    answer_tokens: int
    target_s: float
    deadline_s: float
    pause_s: float


def build(
    streams: abc.Sequence[Stream],
    service: schema.Service,
    workspaces: int,
    policies: schema.Policies = from_routes.POLICIES,
) -> schema.Document:
    """Returns a document with a tier for each stream and equal workspaces."""
    classes = {each.class_id: _request_class(each) for each in streams}
    tiers = [_tier(each.rank) for each in streams]
    routes = [_route(each, service.service) for each in streams]
    names = [ids.WorkspaceId(f"w{n}") for n in range(workspaces)]
    return schema.Document(
        {each.tier: each for each in tiers},
        classes,
        {name: schema.Workspace(name, (), tuple(classes)) for name in names},
        {service.service: service},
        {},
        {},
        policies,
        routes={each.route: each for each in routes},
    )


def _tier(rank: int) -> schema.Tier:
    share = from_routes.RESERVED_SHARE if rank else 0.0
    return schema.Tier(from_routes.tier_id(rank), rank, share)


def _request_class(stream: Stream) -> schema.RequestClass:
    return schema.RequestClass(
        stream.class_id,
        from_routes.tier_id(stream.rank),
        stream.target_s,
        stream.deadline_s,
        expected_tokens=stream.answer_tokens,
    )


def _route(stream: Stream, service: ids.ServiceId) -> schema.Route:
    return schema.Route(
        route=ids.RouteId(stream.class_id),
        host="router.example",
        path_prefix=f"/{stream.class_id}/",
        class_id=stream.class_id,
        services={service: 1.0},
        max_attempts=2,
        anonymous=True,
        resumable=False,
        streams=True,
        longest_pause_s=stream.pause_s,
    )
