"""Prefill time of each engine: of its service, times its speed if learned.

The speeds of endpoints (`endpoint_speed`) are used only for services for which
the overload controls enable them (`overload`).
"""

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import overload as overload_module
from cardamombarrow.decisions.choosing import endpoint_speed
from cardamombarrow.decisions.choosing import prefill_time
from cardamombarrow.kernel import ids

__all__ = ["EnginePrefill"]

MIN_UNCACHED_SHARE = 0.5
"""Share of a prompt that must not be cached for its prefill time to count."""


class EnginePrefill:
    """Prefill time per token, by service and endpoint.

    Attributes:
        speeds: The learned speeds of the endpoints.
    """

    def __init__(self, overload: overload_module.OverloadControl):
        self.speeds = endpoint_speed.EndpointSpeeds()
        self._overload = overload
        self._prefill_time = prefill_time.PrefillTime()
        self._predictions: dict[ids.RequestId, endpoint_speed.Prediction] = {}

    @property
    def predictions(self) -> int:
        """Number of prompts whose prefill is yet to be observed."""
        return len(self._predictions)

    def service_token_s(self, service: ids.ServiceId) -> float:
        """Returns the prefill time per token of a service."""
        return self._prefill_time.token_s(service)

    def token_s(
        self, state: endpoint_module.EndpointState, now_s: float
    ) -> float:
        """Returns the prefill time per token at an endpoint."""
        token_s = self._prefill_time.token_s(state.service)
        if not self._overload.learns_speeds(state.service):
            return token_s
        return token_s * self.speeds.factor(state.endpoint, now_s)

    def speed(
        self, state: endpoint_module.EndpointState, now_s: float
    ) -> messages.EndpointSpeed | None:
        """Returns the speed of an endpoint; None if it is not learned."""
        if not self._overload.learns_speeds(state.service):
            return None
        return messages.EndpointSpeed(
            self.speeds.factor(state.endpoint, now_s),
            self.speeds.report_age_s(state.endpoint, now_s),
        )

    def count_slow(self, now_s: float) -> int:
        """Counts the endpoints slower than `endpoint_speed.SLOW_FACTOR`."""
        return self.speeds.count_slower(endpoint_speed.SLOW_FACTOR, now_s)

    def is_slow(
        self, service: ids.ServiceId, endpoint: ids.EndpointId, now_s: float
    ) -> bool:
        """Returns whether an endpoint is too slow to be waited for.

        Otherwise long prompts whose affinity endpoint has become slow would be
        sent there alone, whatever the cost of the others.
        """
        if not self._overload.learns_speeds(service):
            return False
        factor = self.speeds.factor(endpoint, now_s)
        return factor > endpoint_speed.SLOW_FACTOR

    def record_placement(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        """Records the predictions for a prompt that finds no other waiting.

        They are also recorded where speeds are not learned yet: the first
        report arrives with the first response, and without that prompt an
        endpoint that is never empty afterwards would not be known as slow.
        """
        self._predictions.pop(job.request_id, None)
        if job.streams and not state.unread:
            self._predictions[job.request_id] = self.speeds.predict(
                state.endpoint, now_s
            )

    def learn(
        self,
        state: endpoint_module.EndpointState,
        job: messages.Job,
        observed_token_s: float,
        now_s: float,
    ) -> None:
        """Updates the prefill time of the service and of the endpoint.

        Where speeds are learned, a prompt that waited for others is left out:
        its time includes the queue and would slow the whole service down. So
        is a mostly cached prompt: if its parts have been evicted, its endpoint
        would look several times as slow.
        """
        if not self._overload.learns_speeds(state.service):
            self._prefill_time.learn(state.service, observed_token_s)
            return
        prediction = self._predictions.pop(job.request_id, None)
        min_uncached = MIN_UNCACHED_SHARE * job.prompt_tokens
        if prediction is None or job.unread_tokens < min_uncached:
            return
        service_token_s = self._prefill_time.token_s(state.service)
        self.speeds.learn(
            state, observed_token_s, service_token_s, now_s, prediction
        )
        self._prefill_time.learn(state.service, observed_token_s)

    def report(
        self,
        state: endpoint_module.EndpointState,
        report: messages.LoadReport,
    ) -> None:
        """Records the work time that an endpoint reports."""
        self.speeds.report(
            state.endpoint,
            state.service,
            report.work_time_factor,
            report.measured_at_s,
        )

    def drop_request(self, request_id: ids.RequestId) -> None:
        """Drops the predictions for a request that has ended."""
        self._predictions.pop(request_id, None)

    def drop_endpoint(self, endpoint: ids.EndpointId) -> None:
        """Drops the speed of an endpoint that no longer exists."""
        self.speeds.forget(endpoint)
