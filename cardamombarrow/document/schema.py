"""Typed content of a valid configuration document."""

import dataclasses
import enum

from cardamombarrow.kernel import ids

__all__ = [
    "ANONYMOUS_WORKSPACE",
    "CallerLimits",
    "Document",
    "Model",
    "Orders",
    "Owner",
    "Policies",
    "RequestClass",
    "Route",
    "Service",
    "ServiceKind",
    "Tier",
    "WeightStore",
    "Workspace",
    "rank_pair",
]


ANONYMOUS_WORKSPACE = ids.WorkspaceId("")
"""The workspace of callers without a key."""


class ServiceKind(enum.Enum):
    """What a service runs on; the value names an ``endpoint-kind`` plug-in."""

    ENGINE = "engine"
    PLAIN = "plain"


class Orders(enum.Enum):
    """Whether a service's engines get load orders, and how they check them.

    `FENCED` engines reject an order with an old fencing token; `UNFENCED` ones
    execute every order.
    """

    NONE = "none"
    FENCED = "fenced"
    UNFENCED = "unfenced"


@dataclasses.dataclass(frozen=True)
class Tier:
    """A sales tier.

    Attributes:
        rank: 0 is served first; unique among tiers.
        reserved_share: Share of each endpoint's slots, 0 to 1, that is
            reserved for the tier under load from higher tiers, so that it
            never starves.
    """

    tier: ids.TierId
    rank: int
    reserved_share: float = 0.1


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """A class of requests with the same service-level targets.

    Attributes:
        tier: The tier that its requests are served in.
        target_first_token_s: Agreed time from arrival to the first byte of
            the answer.
        target_total_s: Time from arrival to the end; also the deadline.
        attainment_share: Agreed share of requests within the target, 0 to 1.
        repeatable: False if a request may run at most once.
        expected_tokens: Initial estimate of an answer's length.
    """

    class_id: ids.ClassId
    tier: ids.TierId
    target_first_token_s: float
    target_total_s: float
    attainment_share: float = 0.95
    repeatable: bool = True
    expected_tokens: int = 200


@dataclasses.dataclass(frozen=True)
class Workspace:
    """A customer's workspace.

    Attributes:
        key_sha256: Hex digests of the accepted caller keys.
        classes: Classes that its callers may use; the first is the default.
        max_in_flight: Most requests in flight per entry; 0 is no limit.
        weight: Weight of its share of the capacity among the workspaces of a
            class.
        rank: Within a tier, its requests are served before those of workspaces
            of a higher rank. Only in documents built from routes.
    """

    workspace: ids.WorkspaceId
    key_sha256: tuple[str, ...]
    classes: tuple[ids.ClassId, ...]
    max_in_flight: int = 0
    weight: float = 1.0
    rank: int | None = None


@dataclasses.dataclass(frozen=True)
class Scaling:
    """How many endpoints of a service may be ordered, and what they cost.

    Attributes:
        least: Minimum of endpoints in a failure domain.
        most: Maximum of endpoints in a failure domain, of all kinds together.
        boot_s: Time from an order until an endpoint serves.
        spot_price: Price of a reclaimable endpoint relative to a regular one;
            0 if there are none.
        prices: Price per endpoint and second by failure domain, all in one
            unit. Endpoints are ordered only in these domains.
    """

    least: int
    most: int
    boot_s: float
    spot_price: float
    prices: dict[ids.DomainId, float]


@dataclasses.dataclass(frozen=True)
class Service:
    """Endpoints that serve the same requests.

    Attributes:
        kind: `engine` for model engines, `plain` for other HTTP services.
        slots_per_endpoint: Most requests an endpoint runs at once.
        orders: `none` sends its engines no orders; `fenced` and `unfenced`
            keep the document's models loaded, on engines that reject an old
            fencing token and on engines that ignore it.
        unrepeatable: Routes, as `METHOD /path`, that run at most once.
        endpoints: Addresses `host:port` by failure domain, one key
            `endpoints.<domain>` for each.
        stall_limit_s: Longest silence within an answer before the endpoint
            is probed.
        max_connections: Connections that an endpoint accepts from all
            instances together; 0 if unknown.
        cache_token_bytes: Size in bytes of a cached token that another engine
            fetches.
        cache_link_mbit_per_s: Throughput of such a transfer in Mbit/s; 0 if
            engines can't fetch from each other.
        scaling: Limits of automatic scaling; None if the number of endpoints
            is managed elsewhere.
    """

    service: ids.ServiceId
    kind: ServiceKind
    slots_per_endpoint: int = 8
    stall_limit_s: float = 10.0
    orders: Orders = Orders.NONE
    unrepeatable: tuple[str, ...] = ()
    max_connections: int = 0
    cache_token_bytes: int = 0
    cache_link_mbit_per_s: float = 0.0
    scaling: Scaling | None = None
    endpoints: dict[ids.DomainId, tuple[ids.EndpointId, ...]] = (
        dataclasses.field(default_factory=dict)
    )


@dataclasses.dataclass(frozen=True)
class Model:
    """A model that callers name.

    Attributes:
        service: The service whose endpoints run it.
        versions: Traffic weight by version, for a rollout.
    """

    model: ids.ModelId
    service: ids.ServiceId
    versions: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Route:
    """The services and the class for requests of one host and path prefix.

    Attributes:
        host: Lower case, without a port.
        path_prefix: Begins and ends with a slash; the longest prefix of a
            request's path applies.
        services: Traffic weight by service.
        max_attempts: Most endpoints that may run one request.
        anonymous: Whether callers need no key.
        resumable: Whether an interrupted stream may be resumed on another
            endpoint.
        streams: Whether its answers are streams of events.
        longest_pause_s: Pause between two events of a stream above which the
            answer counts as late; 0 is no limit.
    """

    route: ids.RouteId
    host: str
    path_prefix: str
    class_id: ids.ClassId
    services: dict[ids.ServiceId, float]
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    streams: bool = False
    longest_pause_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    Attributes:
        header_bytes: Request line and header fields together.
        header_timeout_s: Longest time from the first byte to the last header
            field.
        idle_timeout_s: Longest silence of an open connection.
    """

    header_bytes: int = 65_536
    body_bytes: int = 4_000_000
    header_timeout_s: float = 30.0
    idle_timeout_s: float = 30.0


@dataclasses.dataclass(frozen=True)
class Owner:
    """A team that may edit some sections.

    Attributes:
        token_sha256: Hex digest of the team's operator token.
        sections: Kinds of sections, such as `tier`; `*` is all.
    """

    owner: ids.OwnerId
    token_sha256: str
    sections: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Policies:
    """Which decision plug-in runs in each slot.

    Attributes:
        queue: Which request is served next.
        admission: Which requests are queued and which are rejected.
        limits: How many requests an endpoint runs at once.
        choice: Which endpoint a request is sent to.
        shares: How instances split an endpoint's slots.
        retry: When a failed request is retried and when a rejected caller
            should retry.
        quarantine: Which requests are blocked because they crash endpoints.
        spill: When a request may leave its failure domain.
        preemption: Which running request is preempted.
        estimate: The expected length of an answer.
    """

    queue: str = "tiered"
    admission: str = "predicted-wait"
    limits: str = "fixed"
    choice: str = "two-candidates"
    shares: str = "demand"
    retry: str = "budget"
    quarantine: str = "crashes"
    spill: str = "never"
    preemption: str = "least-progress"
    estimate: str = "quantile"


@dataclasses.dataclass(frozen=True)
class WeightStore:
    """The store that engines load weights from.

    Attributes:
        loads_per_minute: Loads that all engines together may start per
            minute.
    """

    loads_per_minute: float = 6.0


def rank_pair(workspace: Workspace, rank: int) -> tuple[int, int]:
    """Returns the ranks that order requests: tier first, then workspace.

    Args:
        workspace: The workspace of the requests.
        rank: The rank of their class's tier.
    """
    return rank, rank if workspace.rank is None else workspace.rank


@dataclasses.dataclass(frozen=True)
class Document:
    """A valid document without dangling references.

    Attributes:
        rank_order: Combined rank by the pair that `rank_pair` returns; empty
            if the tier alone decides.
        ranks_per_priority: Consecutive ranks that endpoints can't tell apart.
    """

    tiers: dict[ids.TierId, Tier]
    classes: dict[ids.ClassId, RequestClass]
    workspaces: dict[ids.WorkspaceId, Workspace]
    services: dict[ids.ServiceId, Service]
    models: dict[ids.ModelId, Model]
    owners: dict[ids.OwnerId, Owner]
    policies: Policies
    weight_store: WeightStore = dataclasses.field(default_factory=WeightStore)
    routes: dict[ids.RouteId, Route] = dataclasses.field(default_factory=dict)
    limits: CallerLimits = dataclasses.field(default_factory=CallerLimits)
    rank_order: dict[tuple[int, int], int] = dataclasses.field(
        default_factory=dict
    )
    ranks_per_priority: int = 1

    def rank_of(self, class_id: ids.ClassId, workspace: Workspace) -> int:
        """Returns the rank of a workspace's requests of a class."""
        rank = self.tier_of(class_id).rank
        return self.rank_order.get(rank_pair(workspace, rank), rank)

    def last_equal_rank(self, rank: int) -> int:
        """Returns the highest rank with the same priority at endpoints."""
        first = rank - rank % self.ranks_per_priority
        return first + self.ranks_per_priority - 1

    def tier_of(self, class_id: ids.ClassId) -> Tier:
        """Returns the tier of a class."""
        return self.tiers[self.classes[class_id].tier]
