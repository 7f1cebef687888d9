"""How many endpoints a service needs in each failure domain.

Load pattern: the work swells and ebbs within seconds, bursts come faster than
an endpoint starts, and a cheap endpoint may be reclaimed together with all
cheap ones of its domain. Without this module a service keeps the endpoints it
was set up with: too many of the dear kind in calm, too few in a burst.

Reading prompts is what endpoints run short of first; places come second. The
number follows the greater of both over some seconds back, at a utilisation at
which an answer that is being written is seldom interrupted by another prompt.
One domain's loss must leave enough, so what is needed is spread over the
domains and raised by the share of one.
"""

import abc
import collections
from collections import abc as collections_abc
import dataclasses
import math

from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = [
    "DomainDemand",
    "Scaler",
    "TargetUtilisation",
    "TrendAhead",
    "Unchanged",
    "spread",
]

READING_UTILISATION = 0.4
"""Part of an endpoint's time that reading prompts may take."""

PLACES_UTILISATION = 0.5
"""Part of an endpoint's places that may be taken."""

PEAK_HOLD_S = 60.0
"""How long a peak counts: longer than the waves that traffic comes in, and
than an endpoint's start and the reading of what the one before it kept."""

SMOOTHING_S = 2.0
"""Time after which half of what demand was before counts no more: a few long
prompts within a second are no reason for another endpoint."""

TREND_S = 4.0
"""Time over which a trend is seen."""

LOWER_STEP = 2
"""A domain gives up endpoints only where it has this many too many: each that
goes takes along what it keeps."""


@dataclasses.dataclass(frozen=True)
class DomainDemand:
    """What callers of a failure domain ask of a service.

    Attributes:
        reading: Endpoints kept busy by reading prompts alone.
        running: Requests that run.
    """

    reading: float
    running: float


class Scaler(abc.ABC):
    """Decides how many endpoints there should be."""

    @abc.abstractmethod
    def wanted(
        self,
        service: schema.Service,
        demand: collections_abc.Mapping[ids.DomainId, DomainDemand],
        present: collections_abc.Mapping[ids.DomainId, int],
        now_s: float,
    ) -> dict[ids.DomainId, int]:
        """Returns the endpoints wanted by failure domain.

        Args:
            service: The service, with its bounds.
            demand: What is asked now; domains without callers are left out.
            present: Endpoints that take work, by domain.
            now_s: Monotonic time.
        """


class Unchanged(Scaler):
    """Keeps what is there."""

    def wanted(
        self,
        service: schema.Service,
        demand: collections_abc.Mapping[ids.DomainId, DomainDemand],
        present: collections_abc.Mapping[ids.DomainId, int],
        now_s: float,
    ) -> dict[ids.DomainId, int]:
        """Returns what is there; see `Scaler`."""
        return dict(present)


class TargetUtilisation(Scaler):
    """Keeps endpoints at a share of what they can do; for one service."""

    def __init__(self):
        self._peaks: dict[ids.DomainId, list[tuple[float, float]]] = {}
        self._smooth: dict[ids.DomainId, float] = {}
        self._seen_s = float("-inf")
        self._wanted: dict[ids.DomainId, int] = {}
        self._asked_since_s: float | None = None

    def wanted(
        self,
        service: schema.Service,
        demand: collections_abc.Mapping[ids.DomainId, DomainDemand],
        present: collections_abc.Mapping[ids.DomainId, int],
        now_s: float,
    ) -> dict[ids.DomainId, int]:
        """Returns the endpoints wanted; see `Scaler`."""
        scaling = service.scaling
        assert scaling is not None
        domains = list(scaling.prices)
        kept = 0.5 ** ((now_s - self._seen_s) / SMOOTHING_S)
        self._seen_s = now_s
        for domain in domains:
            need = _need(service, demand.get(domain))
            before = self._smooth.get(domain, 0.0)
            self._smooth[domain] = kept * before + (1 - kept) * need
            self._note(domain, self._smooth[domain], now_s)
        needs = {domain: self._peak(domain) for domain in domains}
        if self._asked_since_s is None:
            # What is there was set up on purpose. It is listed bit by bit.
            for domain, count in present.items():
                before = self._wanted.get(domain, 0)
                self._wanted[domain] = max(count, before)
            if not any(needs.values()):
                return dict(self._wanted)
            self._asked_since_s = now_s
        # The first requests tell nothing yet of how many there will be.
        may_lower = now_s - self._asked_since_s >= PEAK_HOLD_S
        for domain, count in spread(needs, scaling).items():
            before = self._wanted.get(domain, 0)
            is_lower = may_lower and count <= before - LOWER_STEP
            if count > before or is_lower:
                self._wanted[domain] = count
        return dict(self._wanted)

    def _note(self, domain: ids.DomainId, need: float, now_s: float) -> None:
        """Keeps the samples that may still be the peak: a falling row."""
        samples = self._peaks.setdefault(domain, [])
        while samples and samples[-1][1] <= need:
            samples.pop()
        samples.append((now_s, need))
        while now_s - samples[0][0] > PEAK_HOLD_S:
            del samples[0]

    def _peak(self, domain: ids.DomainId) -> float:
        return self._peaks[domain][0][1]


class TrendAhead(Scaler):
    """Follows what demand will be once an ordered endpoint serves.

    The trend of the last `TREND_S` is drawn on by the time of a start.
    """

    def __init__(self):
        self._samples: collections.deque[tuple[float, dict]] = (
            collections.deque()
        )

    def wanted(
        self,
        service: schema.Service,
        demand: collections_abc.Mapping[ids.DomainId, DomainDemand],
        present: collections_abc.Mapping[ids.DomainId, int],
        now_s: float,
    ) -> dict[ids.DomainId, int]:
        """Returns the endpoints wanted; see `Scaler`."""
        scaling = service.scaling
        assert scaling is not None
        needs = {d: _need(service, demand.get(d)) for d in scaling.prices}
        self._samples.append((now_s, needs))
        while now_s - self._samples[0][0] > TREND_S:
            self._samples.popleft()
        if not any(needs.values()):
            return dict(present)
        then_s, before = self._samples[0]
        past_s = max(now_s - then_s, TREND_S / 2)
        ahead = {
            domain: max(
                need + (need - before[domain]) * scaling.boot_s / past_s, 0.0
            )
            for domain, need in needs.items()
        }
        return spread(ahead, scaling)


def _need(service: schema.Service, demand: DomainDemand | None) -> float:
    if demand is None:
        return 0.0
    places = service.slots_per_endpoint * PLACES_UTILISATION
    return max(demand.reading / READING_UTILISATION, demand.running / places)


def spread(
    needs: collections_abc.Mapping[ids.DomainId, float],
    scaling: schema.Scaling,
) -> dict[ids.DomainId, int]:
    """Returns whole endpoints by domain, enough without any one domain.

    Args:
        needs: Endpoints that each domain's callers keep busy.
        scaling: The bounds of the service.
    """
    total = sum(needs.values())
    count = len(needs)
    reserve = count / (count - 1) if count > 1 else 1.0
    even = total / count
    least = max(scaling.least, 1)
    return {
        # Half of it goes by callers, half evenly: work crosses to another
        # domain at a price, and no domain may hold too much of the whole.
        domain: min(
            max(math.ceil(reserve * (need + even) / 2), least), scaling.most
        )
        for domain, need in needs.items()
    }
