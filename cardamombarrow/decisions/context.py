"""The configuration and shared state passed to every policy."""

import dataclasses
import math
import random

from cardamombarrow.decisions import overload as overload_module
from cardamombarrow.decisions.fleet import fleet_share as fleet_module
from cardamombarrow.decisions.limiting import rate_limits as rate_limits_module
from cardamombarrow.decisions.limiting import rejections as rejections_module
from cardamombarrow.decisions.limiting import (
    restrictions as restrictions_module,
)
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["PolicyContext", "RetryBounds"]


@dataclasses.dataclass(frozen=True)
class RetryBounds:
    """Bounds on the retries of all instances together to one service.

    Attributes:
        share: Retries allowed in a window, as a share of its requests.
        slack: Retries allowed in a window in addition.
        window_s: Length of the sliding window, in seconds.
    """

    share: float = 0.1
    slack: float = 20.0
    window_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class PolicyContext:
    """The configuration and shared state passed to every policy.

    Attributes:
        rng: The only source of randomness, so that runs are reproducible.
        retries: Bounds on retries, over all instances.
        fleet: This instance's part of bounds over all instances; shared by
            all policies of an instance.
        rate_limits: The rate limits that endpoints state; shared by all
            dispatchers of an instance.
        rejection_limits: The limits on rejections that endpoints state; shared
            by all dispatchers of an instance.
        restrictions: The pauses and departures that endpoints state.
        overload: For which services the overload controls are enabled; shared
            by all dispatchers of an instance.
        started_s: When this instance started; a previous process with its id
            may have used its parts of bounds until then.
        whole_domain: Whether the decisions are made for all instances of the
            domain, and not only for one of several that share it.
    """

    document: schema.Document
    instance: ids.InstanceId
    domain: ids.DomainId
    rng: random.Random
    retries: RetryBounds = dataclasses.field(default_factory=RetryBounds)
    fleet: fleet_module.FleetShare = dataclasses.field(
        default_factory=fleet_module.FleetShare
    )
    rate_limits: rate_limits_module.RateLimits = dataclasses.field(
        default_factory=rate_limits_module.RateLimits
    )
    rejection_limits: rejections_module.RejectionLimits = dataclasses.field(
        default_factory=rejections_module.RejectionLimits
    )
    restrictions: restrictions_module.Restrictions = dataclasses.field(
        default_factory=restrictions_module.Restrictions
    )
    overload: overload_module.OverloadControl = dataclasses.field(
        default_factory=overload_module.OverloadControl
    )
    started_s: float = -math.inf
    whole_domain: bool = False
