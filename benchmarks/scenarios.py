"""What one run of the driver is given: load, engines, faults."""

import dataclasses

from benchmarks import fake_engine
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["Scenario"]


@dataclasses.dataclass
class Scenario:
    """One run's load and faults.

    Attributes:
        document: Classes, the service and the policies.
        engines: How each endpoint of the document performs.
        works: Callers' requests.
        entry_weights: How the balancer spreads callers over the entries.
        gossip_delay_s: Age of a peer's demand when it arrives.
        cut_from_s: From this moment no gossip arrives, until `cut_until_s`.
        drain_s: Time after the last arrival in which work may still end.
        asked: Whether one instance places the requests of all entries.
        placer_lost_from_s: From this moment it is dark, until
            `placer_lost_until_s`.
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
