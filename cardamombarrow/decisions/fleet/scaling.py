"""Autoscaling: the number of endpoints of a service per failure domain.

Load pattern: demand rises and falls within seconds, bursts are faster than the
start of an endpoint, and a spot endpoint may be reclaimed together with all
spot endpoints of its domain. Without this module a service has a fixed number
of endpoints: too many expensive ones at low load, too few in a burst.

Endpoints first run out of time for reading prompts, then of slots. The number
follows the greater of both demands over the recent past, at a utilisation at
which the generation of an answer is seldom interrupted by another prompt.
After the loss of one domain enough must remain, so the need is spread over the
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
    "StaticScaler",
    "TargetUtilisation",
    "TrendExtrapolation",
    "spread_over_domains",
]

READING_UTILISATION = 0.4
"""Share of an endpoint's time that reading prompts may take."""

SLOT_UTILISATION = 0.5
"""Share of an endpoint's slots that may be used."""

PEAK_HOLD_S = 60.0
"""Time for which a peak counts: longer than the period of load waves, and than
the start of an endpoint until it has read what its predecessor had cached."""

SMOOTHING_S = 2.0
"""Half-life of the smoothed demand: a few long prompts within a second are no
reason for another endpoint."""

TREND_S = 4.0
"""Time over which the trend is measured."""

LOWER_STEP = 2
"""Minimum surplus at which endpoints of a domain are removed: each removed
endpoint loses its cache."""


@dataclasses.dataclass(frozen=True)
class DomainDemand:
    """The demand of a failure domain's callers for a service.

    Attributes:
        reading: Number of endpoints that reading prompts alone keeps busy.
        running: Number of running requests.
    """

    reading: float
    running: float


class Scaler(abc.ABC):
    """Decides on the number of endpoints."""

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
            demand: Current demand; domains without callers are left out.
            present: Number of endpoints that take work, by domain.
            now_s: Monotonic time.
        """


class StaticScaler(Scaler):
    """Keeps the current number of endpoints."""

    def wanted(
        self,
        service: schema.Service,
        demand: collections_abc.Mapping[ids.DomainId, DomainDemand],
        present: collections_abc.Mapping[ids.DomainId, int],
        now_s: float,
    ) -> dict[ids.DomainId, int]:
        """Returns the current numbers; see `Scaler`."""
        return dict(present)


class TargetUtilisation(Scaler):
    """Keeps the endpoints of one service at a target utilisation."""

    def __init__(self):
        self._peaks: dict[ids.DomainId, list[tuple[float, float]]] = {}
        self._smooth: dict[ids.DomainId, float] = {}
        self._seen_s = float("-inf")
        self._wanted: dict[ids.DomainId, int] = {}
        self._demand_since_s: float | None = None

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
        decay = 0.5 ** ((now_s - self._seen_s) / SMOOTHING_S)
        self._seen_s = now_s
        for domain in domains:
            need = _need(service, demand.get(domain))
            before = self._smooth.get(domain, 0.0)
            self._smooth[domain] = decay * before + (1 - decay) * need
            self._add_sample(domain, self._smooth[domain], now_s)
        needs = {domain: self._peak(domain) for domain in domains}
        if self._demand_since_s is None:
            # The initial endpoints were set up on purpose, and discovery may
            # list them one by one.
            for domain, count in present.items():
                before = self._wanted.get(domain, 0)
                self._wanted[domain] = max(count, before)
            if not any(needs.values()):
                return dict(self._wanted)
            self._demand_since_s = now_s
        # The first requests do not show the coming demand yet.
        may_lower = now_s - self._demand_since_s >= PEAK_HOLD_S
        for domain, count in spread_over_domains(needs, scaling).items():
            before = self._wanted.get(domain, 0)
            is_lower = may_lower and count <= before - LOWER_STEP
            if count > before or is_lower:
                self._wanted[domain] = count
        return dict(self._wanted)

    def _add_sample(
        self, domain: ids.DomainId, need: float, now_s: float
    ) -> None:
        """Adds a sample; only a decreasing sequence can still be the peak."""
        samples = self._peaks.setdefault(domain, [])
        while samples and samples[-1][1] <= need:
            samples.pop()
        samples.append((now_s, need))
        while now_s - samples[0][0] > PEAK_HOLD_S:
            del samples[0]

    def _peak(self, domain: ids.DomainId) -> float:
        return self._peaks[domain][0][1]


class TrendExtrapolation(Scaler):
    """Follows the demand predicted for when an ordered endpoint is ready.

    The trend of the last `TREND_S` is extrapolated by the start time.
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
        first_s, before = self._samples[0]
        elapsed_s = max(now_s - first_s, TREND_S / 2)
        ahead = {
            domain: max(
                need + (need - before[domain]) * scaling.boot_s / elapsed_s, 0.0
            )
            for domain, need in needs.items()
        }
        return spread_over_domains(ahead, scaling)


def _need(service: schema.Service, demand: DomainDemand | None) -> float:
    if demand is None:
        return 0.0
    slots = service.slots_per_endpoint * SLOT_UTILISATION
    return max(demand.reading / READING_UTILISATION, demand.running / slots)


def spread_over_domains(
    needs: collections_abc.Mapping[ids.DomainId, float],
    scaling: schema.Scaling,
) -> dict[ids.DomainId, int]:
    """Returns endpoints by domain, enough after the loss of any one domain.

    Args:
        needs: Endpoints needed for the callers of each domain.
        scaling: The bounds of the service.
    """
    total = sum(needs.values())
    count = len(needs)
    reserve = count / (count - 1) if count > 1 else 1.0
    even = total / count
    least = max(scaling.least, 1)
    return {
        # Half is split by callers, half evenly: requests to another domain
        # cost time, and no domain may have too large a share of all endpoints.
        domain: min(
            max(math.ceil(reserve * (need + even) / 2), least), scaling.most
        )
        for domain, need in needs.items()
    }
