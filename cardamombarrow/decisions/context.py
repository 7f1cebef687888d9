"""What every policy is built from."""

import dataclasses
import random

from cardamombarrow.decisions import fleet as fleet_module
from cardamombarrow.decisions import rate_limits as rate_limits_module
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["PolicyContext", "RetryBounds"]


@dataclasses.dataclass(frozen=True)
class RetryBounds:
    """What all instances together may send again to one service.

    Attributes:
        share: Part of the requests of a window that may be sent again.
        slack: Requests of a window that may be sent again besides.
        window_s: Any span of this length counts.
    """

    share: float = 0.1
    slack: float = 20.0
    window_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class PolicyContext:
    """What a policy is built from.

    Attributes:
        rng: The only source of randomness, so that a run can be repeated.
        retries: Bounds on retries, over all instances.
        fleet: How many instances share what is bounded over all; one for all
            policies of an instance.
        rate_limits: What endpoints state of the rate that they take; one for
            all dispatchers of an instance.
        whole_domain: Whether the decisions are made for all instances of the
            domain, and not only for one that shares it with others.
    """

    document: schema.Document
    instance: ids.InstanceId
    domain: ids.DomainId
    rng: random.Random
    retries: RetryBounds = dataclasses.field(default_factory=RetryBounds)
    fleet: fleet_module.FleetPart = dataclasses.field(
        default_factory=fleet_module.FleetPart
    )
    rate_limits: rate_limits_module.RateLimits = dataclasses.field(
        default_factory=rate_limits_module.RateLimits
    )
    whole_domain: bool = False
