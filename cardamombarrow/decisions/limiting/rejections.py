"""Limits on rejections that endpoints state in their answers.

Load pattern: an endpoint has room for few waiting requests, and one that has to
reject more than some requests a second for want of room falls over, with all
that runs on it. The limit holds for the sum over all instances, none of which
sees the rejections of the others.

While an endpoint states such a limit, it gets requests only if its last report
shows room, and none for a while after each rejection. The pause is shared
inside a failure domain. Domains pause independently; it is long enough for
them to stay within the limit together.
"""

import collections
import dataclasses
import math
import threading

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["RejectionLimits"]

STATEMENT_S = 30.0
"""How long a limit holds after the last answer that states it."""

FALL_S = 3.0
"""Time after a rejection in which the endpoint's end is attributed to it."""

PAUSE_FACTOR = 2.0
"""Requests that may be on their way to an endpoint when it rejects one."""

MAX_REPORT_AGE_S = 2.0
"""Maximum age of a load report that shows whether there is room."""

USED_SHARE = 0.8
"""Share of an endpoint's slots that is used while it limits its rejections."""

PAUSE_MIN_S = 0.5
PAUSE_MAX_S = 5.0

MAX_ENDPOINTS = 4_096


@dataclasses.dataclass(slots=True)
class _State:
    per_s: float
    stated_s: float
    rejected_s: float | None = None


class RejectionLimits:
    """Limits by endpoint; thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._by_endpoint: collections.OrderedDict[ids.EndpointId, _State] = (
            collections.OrderedDict()
        )

    def update(
        self,
        endpoint: ids.EndpointId,
        limit: messages.RejectionLimit,
        now_s: float,
    ) -> bool:
        """Records what an answer states; returns whether that changed."""
        if limit.per_s is None and endpoint not in self._by_endpoint:
            return False
        with self._lock:
            known = self._by_endpoint.pop(endpoint, None)
            if limit.per_s is None:
                return known is not None
            rejected_s = known.rejected_s if known else None
            self._by_endpoint[endpoint] = _State(limit.per_s, now_s, rejected_s)
            if len(self._by_endpoint) > MAX_ENDPOINTS:
                self._by_endpoint.popitem(last=False)
            return known is None or known.per_s != limit.per_s

    def is_stated(self, endpoint: ids.EndpointId, now_s: float) -> bool:
        """Returns whether an endpoint limits its rejections."""
        return self._stated(endpoint, now_s) is not None

    def _stated(self, endpoint: ids.EndpointId, now_s: float) -> _State | None:
        """Returns the state of an endpoint whose limit still holds."""
        state = self._by_endpoint.get(endpoint)
        if state is None or now_s - state.stated_s >= STATEMENT_S:
            return None
        return state

    def reject(
        self, endpoint: ids.EndpointId, parties: int, now_s: float
    ) -> float:
        """Records a rejection for want of room.

        Args:
            endpoint: The endpoint.
            parties: Instances or domains that pause independently.
            now_s: The time.

        Returns:
            Time for which the endpoint is to get no request, in seconds; 0 if
            it states no limit.
        """
        with self._lock:
            state = self._stated(endpoint, now_s)
            if state is None:
                return 0.0
            state.rejected_s = now_s
            if state.per_s <= 0.0:
                return PAUSE_MAX_S
            pause_s = PAUSE_FACTOR * max(1, parties) / state.per_s
            return min(max(pause_s, PAUSE_MIN_S), PAUSE_MAX_S)

    def has_room(
        self, state: endpoint_module.EndpointState, now_s: float
    ) -> bool:
        """Returns whether an endpoint takes a request without rejecting it.

        Nothing is left to wait at an endpoint that limits its rejections, and
        slots are kept for what other instances place at the same time.
        """
        if not self._by_endpoint or not self.is_stated(state.endpoint, now_s):
            return True
        report = state.report
        if report is None or now_s - report.measured_at_s > MAX_REPORT_AGE_S:
            # The answer to this request will contain a new report.
            return not state.running
        slots = max(1, int(USED_SHARE * state.configured_slots))
        return report.waiting == 0 and state.in_flight < slots

    def limit_per_s(self, endpoint: ids.EndpointId, now_s: float) -> float:
        """Returns the limit of an endpoint; infinity if it states none."""
        state = self._stated(endpoint, now_s)
        return math.inf if state is None else state.per_s

    def may_have_fallen(self, endpoint: ids.EndpointId, now_s: float) -> bool:
        """Returns whether rejections may be why an endpoint has ended."""
        state = self._by_endpoint.get(endpoint)
        if state is None or state.rejected_s is None:
            return False
        return now_s - state.rejected_s < FALL_S

    def count(self, now_s: float) -> int:
        """Counts the endpoints that limit their rejections."""
        with self._lock:
            return sum(
                now_s - state.stated_s < STATEMENT_S
                for state in self._by_endpoint.values()
            )
