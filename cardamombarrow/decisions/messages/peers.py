"""What instances tell one another of their load and of caches."""

import bisect
import dataclasses

from cardamombarrow.kernel import ids

__all__ = ["CacheAnnouncement", "PeerDemand", "PeerLoad"]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDemand:
    """The demand of another instance of the domain, from gossip.

    Attributes:
        demand_tokens_per_s: Arriving work by service.
        in_flight: Requests of that instance by endpoint.
        seen_at_s: When it was received, on this instance's clock.
    """

    instance: ids.InstanceId
    demand_tokens_per_s: dict[ids.ServiceId, float]
    in_flight: dict[ids.EndpointId, int]
    seen_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """The requests of another deciding instance on an endpoint.

    Attributes:
        ranks: The rank of each request, in ascending order.
        unread: Number of these requests without a first event.
        unread_tokens: Prompt tokens that the endpoint is expected to read for
            the requests without a first event.
        seen_at_s: When it was received, on this instance's clock.
    """

    ranks: tuple[int, ...]
    unread: int
    unread_tokens: float
    seen_at_s: float

    def count_up_to(self, last_rank: int) -> int:
        """Counts the requests up to a rank."""
        return bisect.bisect_right(self.ranks, last_rank)


@dataclasses.dataclass(frozen=True, slots=True)
class CacheAnnouncement:
    """Prompt parts that an engine has cached, sent to other instances.

    Attributes:
        parts: Keys of the parts in the cache directory.
        age_s: Longest time since one of them was read or used.
    """

    endpoint: ids.EndpointId
    parts: tuple[int, ...]
    age_s: float
