"""Speed of each endpoint relative to its service.

Load pattern: endpoints that share their machines with other work, so that
their speeds differ by more than a factor of two, some for good and some for
seconds. With one prefill time per service, fast endpoints idle while slow ones
are seconds behind.

The factor of an endpoint multiplies the prefill time of its service. It is
learned from prompts that found no other prompt waiting at the endpoint, since
only their time measures the machine and not the queue. Two estimates are kept,
as logarithms:

- `own`: the observed time, whatever the endpoint reported;
- `net`: the observed time divided by the work time reported at the placement.

`net` times the latest report follows a change before any prompt is observed,
but is wrong if the report is. The two are therefore blended. The weight of the
report is its freshness times its accuracy: the reduction of the squared
prediction error by the report, as a share of the squared difference of both
predictions. A report that does not reduce the error has the weight 0. Accuracy
is kept per service, and per endpoint drawn towards its service, because one
endpoint may report false values while the others are right. A constant false
value has no lasting effect: `net` compensates for it.

Without observations the factor returns to 1, so that an endpoint that was slow
is tried again.
"""

import dataclasses
import math

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.kernel import ids

__all__ = ["SLOW_FACTOR", "EndpointSpeeds", "Prediction"]

SLOW_FACTOR = 1.5
"""An endpoint with a larger factor is slow: its cached prefixes are no reason
to wait for it."""

MIN_FACTOR = 0.25
MAX_FACTOR = 8.0
"""Limits of observed, reported and resulting factors. At the upper one the
prefill of a long prompt alone exceeds its target, so that larger values would
not change a decision."""

PRIOR_OBSERVATIONS = 1.0
"""Weight of the factor 1, in observations."""

MAX_OBSERVATIONS = 8.0
"""Upper bound on the weight of the past, in observations: a lasting change of
the speed is followed within about as many prompts."""

OBSERVATION_HALF_LIFE_S = 30.0
"""Half-life of the weight of observations. An endpoint that is avoided because
it was slow gets no prompts that would show a recovery."""

REPORT_HALF_LIFE_S = 2.0
"""Half-life of a reported work time: the shortest target of a long prompt, the
time within which a decision takes effect."""

MIN_FRESHNESS = 0.5
"""Accuracy is learned from reports up to one half-life old."""

PRIOR_EVIDENCE = 0.5
"""Squared difference of the logarithms that proves or disproves reports: about
one prompt at a reported factor of 2."""

EVIDENCE_KEPT_SHARE = 0.95
"""Share of the earlier evidence that is kept with each observation."""

FACTOR_VALID_S = 0.05
"""How long a computed factor is used again. A decision compares up to hundreds
of endpoints; in this time the weights of observations and reports change by
less than 2 %."""

MAX_ENDPOINTS = 1_024
"""Endpoints tracked; slightly more than the target size has."""

_MIN_LOG = math.log(MIN_FACTOR)
_MAX_LOG = math.log(MAX_FACTOR)


def _log_factor(factor: float) -> float | None:
    """Returns the logarithm of a factor within the limits; None if invalid."""
    if not (math.isfinite(factor) and factor > 0.0):
        return None
    return min(max(math.log(factor), _MIN_LOG), _MAX_LOG)


@dataclasses.dataclass(frozen=True, slots=True)
class Prediction:
    """Logarithms of an endpoint's factor, predicted when a prompt was placed.

    Attributes:
        own: From observations alone.
        reported: With the reported work time; None without a fresh report.
        report: The reported work time itself; 0.0 without a fresh report.
    """

    own: float
    reported: float | None = None
    report: float = 0.0


@dataclasses.dataclass(slots=True)
class _Estimate:
    """Moving mean of logarithms, drawn towards 0 by few or old observations."""

    mean: float = 0.0
    observations: float = 0.0
    updated_s: float = 0.0

    def _observations_at(self, now_s: float) -> float:
        elapsed_s = max(now_s - self.updated_s, 0.0)
        return self.observations * 0.5 ** (elapsed_s / OBSERVATION_HALF_LIFE_S)

    def at(self, now_s: float) -> float:
        observations = self._observations_at(now_s)
        return self.mean * observations / (observations + PRIOR_OBSERVATIONS)

    def learn(self, value: float, now_s: float) -> None:
        observations = self._observations_at(now_s) + 1.0
        self.mean += (value - self.mean) / observations
        self.observations = min(observations, MAX_OBSERVATIONS)
        self.updated_s = max(now_s, self.updated_s)


@dataclasses.dataclass(slots=True)
class _Evidence:
    """How much reports reduce the prediction error.

    Attributes:
        error_reduction: Sum of the squared errors without the report, less
            those with it.
        difference: Sum of the squared differences of both predictions.
    """

    error_reduction: float = 0.0
    difference: float = 0.0

    def learn(self, observed: float, prediction: Prediction) -> None:
        if prediction.reported is None:
            return
        own_error = observed - prediction.own
        reported_error = observed - prediction.reported
        difference = prediction.reported - prediction.own
        self.error_reduction *= EVIDENCE_KEPT_SHARE
        self.error_reduction += own_error**2 - reported_error**2
        self.difference *= EVIDENCE_KEPT_SHARE
        self.difference += difference**2

    def accuracy(self, prior: float) -> float:
        """Returns the weight that reports deserve, from 0 to 1."""
        supported = prior * PRIOR_EVIDENCE + self.error_reduction
        share = supported / (PRIOR_EVIDENCE + self.difference)
        return min(max(share, 0.0), 1.0)


@dataclasses.dataclass(slots=True)
class _EndpointSpeed:
    """What is known about one endpoint.

    Attributes:
        report: Logarithm of the latest reported work time; None without one.
        reported_s: When it was measured.
        factor: The factor when last computed.
        factor_at_s: When it was last computed; infinite if it has to be
            computed again.
    """

    service: ids.ServiceId
    own: _Estimate = dataclasses.field(default_factory=_Estimate)
    net: _Estimate = dataclasses.field(default_factory=_Estimate)
    evidence: _Evidence = dataclasses.field(default_factory=_Evidence)
    report: float | None = None
    reported_s: float = -math.inf
    factor: float = 1.0
    factor_at_s: float = math.inf

    def freshness(self, now_s: float) -> float:
        if self.report is None:
            return 0.0
        age_s = max(now_s - self.reported_s, 0.0)
        return 0.5 ** (age_s / REPORT_HALF_LIFE_S)

    def predict(self, now_s: float) -> Prediction:
        own = self.own.at(now_s)
        if self.report is None or self.freshness(now_s) < MIN_FRESHNESS:
            return Prediction(own)
        reported = self.net.at(now_s) + self.report
        return Prediction(own, reported, self.report)


class EndpointSpeeds:
    """Factors on the prefill time, by endpoint."""

    def __init__(self) -> None:
        self._speeds: dict[ids.EndpointId, _EndpointSpeed] = {}
        self._evidence: dict[ids.ServiceId, _Evidence] = {}

    def factor(self, endpoint: ids.EndpointId, now_s: float) -> float:
        """Returns the factor on the prefill time of the service."""
        speed = self._speeds.get(endpoint)
        if speed is None:
            return 1.0
        if not 0.0 <= now_s - speed.factor_at_s < FACTOR_VALID_S:
            speed.factor = self._compute_factor(speed, now_s)
            speed.factor_at_s = now_s
        return speed.factor

    def _compute_factor(self, speed: _EndpointSpeed, now_s: float) -> float:
        own = speed.own.at(now_s)
        weight = self._report_weight(speed, now_s)
        if weight and speed.report is not None:
            reported = speed.net.at(now_s) + speed.report
            own += weight * (reported - own)
        return min(max(math.exp(own), MIN_FACTOR), MAX_FACTOR)

    def _report_weight(self, speed: _EndpointSpeed, now_s: float) -> float:
        service = self._evidence.get(speed.service)
        service_accuracy = 0.0 if service is None else service.accuracy(0.0)
        accuracy = speed.evidence.accuracy(service_accuracy)
        return accuracy * speed.freshness(now_s)

    def report_age_s(
        self, endpoint: ids.EndpointId, now_s: float
    ) -> float | None:
        """Returns the age of the latest reported work time; None without."""
        speed = self._speeds.get(endpoint)
        if speed is None or speed.report is None:
            return None
        return max(now_s - speed.reported_s, 0.0)

    def count_slower(self, factor: float, now_s: float) -> int:
        """Counts the endpoints with a larger factor."""
        return sum(
            self.factor(endpoint, now_s) > factor for endpoint in self._speeds
        )

    def predict(self, endpoint: ids.EndpointId, now_s: float) -> Prediction:
        """Returns the predictions for a prompt that is placed now."""
        speed = self._speeds.get(endpoint)
        return Prediction(0.0) if speed is None else speed.predict(now_s)

    def learn(
        self,
        state: endpoint_module.EndpointState,
        observed_token_s: float,
        service_token_s: float,
        now_s: float,
        prediction: Prediction | None = None,
    ) -> None:
        """Learns from a prompt that found no other one waiting.

        Args:
            state: The endpoint that prefilled it.
            observed_token_s: Its prefill time per token.
            service_token_s: Prefill time per token of the service.
            now_s: The time of its first token.
            prediction: The predictions when it was placed; None for those of
                now.
        """
        if not (service_token_s > 0.0 and math.isfinite(now_s)):
            return
        observed = _log_factor(observed_token_s / service_token_s)
        if observed is None:
            return
        speed = self._speed(state.endpoint, state.service)
        if prediction is None:
            prediction = speed.predict(now_s)
        evidence = self._evidence.setdefault(state.service, _Evidence())
        evidence.learn(observed, prediction)
        speed.evidence.learn(observed, prediction)
        speed.factor_at_s = math.inf
        speed.own.learn(observed, now_s)
        if prediction.reported is not None or speed.report is None:
            speed.net.learn(observed - prediction.report, now_s)

    def report(
        self,
        endpoint: ids.EndpointId,
        service: ids.ServiceId,
        work_time_factor: float | None,
        now_s: float,
    ) -> None:
        """Records a reported work time; an invalid one is ignored.

        A report without a work time leaves the earlier one in force: other
        instances pass on the numbers of requests only.
        """
        if work_time_factor is None or not math.isfinite(now_s):
            return
        report = _log_factor(work_time_factor)
        if report is None:
            return
        speed = self._speed(endpoint, service)
        if now_s >= speed.reported_s:
            speed.factor_at_s = math.inf
            speed.report = report
            speed.reported_s = now_s

    def forget(self, endpoint: ids.EndpointId) -> None:
        """Drops an endpoint that no longer exists."""
        self._speeds.pop(endpoint, None)

    def _speed(
        self, endpoint: ids.EndpointId, service: ids.ServiceId
    ) -> _EndpointSpeed:
        speed = self._speeds.get(endpoint)
        if speed is None:
            speed = self._speeds[endpoint] = _EndpointSpeed(service)
            if len(self._speeds) > MAX_ENDPOINTS:
                del self._speeds[next(iter(self._speeds))]
        return speed
