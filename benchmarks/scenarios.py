"""Input of one run of the driver: load, engines and faults."""

import dataclasses
import enum

from benchmarks import fake_engine
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["PauseScope", "Scenario"]


class PauseScope(enum.Enum):
    """Who leaves out an endpoint that has asked one entry for a pause."""

    NOBODY = "nobody"
    ENTRY = "the entry"
    DOMAIN = "the entry and its placer"


@dataclasses.dataclass
class Scenario:
    """One run's load and faults.

    Attributes:
        document: Classes, the service and the policies.
        engines: Settings of each endpoint's engine.
        works: Requests of the callers.
        entry_weights: Weights by which requests are spread over the entries.
        gossip_delay_s: Delay of gossip between entries.
        cut_from_s: Start of the time in which no gossip is sent; it ends at
            `cut_until_s`.
        drain_s: Time after `duration_s` in which requests may still end.
        asked: Whether a placer places the requests of all entries.
        placer_lost_from_s: Start of the time in which the placer is
            unreachable; it ends at `placer_lost_until_s`.
        pause_scope: Who leaves out an endpoint that asks for a pause.
        overload: Whether requests are ordered by prefill.
        learns_speeds: Whether speeds are learned without reports, too.
        caller_tries: Most times a caller sends a request that is refused with a
            retry time.
        retry_share: Most time until a retry, as a share of the time that the
            caller has left; callers give up a request that should wait longer.
            None for any time.
    """

    document: schema.Document
    engines: dict[ids.EndpointId, fake_engine.EngineSettings]
    works: list[fake_engine.Work]
    duration_s: float
    entry_weights: tuple[float, ...] = (1.0, 1.0)
    gossip_delay_s: float = 0.2
    cut_from_s: float = float("inf")
    cut_until_s: float = float("inf")
    drain_s: float = 30.0
    asked: bool = False
    placer_lost_from_s: float = float("inf")
    placer_lost_until_s: float = float("inf")
    pause_scope: PauseScope = PauseScope.DOMAIN
    overload: bool = False
    learns_speeds: bool = False
    caller_tries: int = 4
    retry_share: float | None = None
