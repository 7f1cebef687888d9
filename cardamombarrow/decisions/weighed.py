"""What all choices by cost have in common: failures, probes and homes.

A cost is a time. The plug-ins differ in what it counts (`choice`: until the
last token; `first_event`: until the first event) and whom they weigh.
"""

import abc
import functools
import zlib

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import failures
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["WeighedChoice", "home_among"]


class WeighedChoice(base.Choice):
    """Least cost among the candidates that are weighed."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._failures = failures.Failures()

    @abc.abstractmethod
    def _weighed(
        self, candidates: list[endpoint_module.EndpointState]
    ) -> list[endpoint_module.EndpointState]:
        """Returns the candidates whose cost is worked out."""

    @abc.abstractmethod
    def _home(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> endpoint_module.EndpointState | None:
        """Returns the candidate whose cache should hold the job's prefix."""

    @abc.abstractmethod
    def cost_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
        prefix_there: bool = False,
    ) -> float:
        """Returns what placing a job at an endpoint costs, as a time."""

    def _chosen(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        is_home: bool,
        now_s: float,
    ) -> None:
        """Learns where a job goes, before it is placed."""

    def available(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> bool:
        """Tells whether an endpoint may get a job now.

        On probation it gets one job per probe, and only a job that may run
        again.
        """
        if not self._failures.is_on_probation(state.endpoint):
            return True
        due = self._failures.is_probe_due(state.endpoint, now_s)
        return due and not state.running and job.repeatable

    def choose(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> tuple[endpoint_module.EndpointState, str]:
        """Returns the candidate with the least cost."""
        home = self._home(job, candidates, now_s)
        probe = self._probe(candidates, now_s)
        if probe is not None:
            self._chosen(job, probe, probe is home, now_s)
            return probe, "probe after failures"
        weighed = self._weighed(candidates)
        if home is not None:
            weighed = [home, *weighed]
        cost_s, _, chosen = min(
            (
                self.cost_s(job, state, now_s, state is home),
                position,
                state,
            )
            for position, state in enumerate(weighed)
        )
        self._chosen(job, chosen, chosen is home, now_s)
        prefix = ", home of its prefix" if chosen is home else ""
        return chosen, f"least cost {cost_s:.3f} s{prefix}"

    def _probe(
        self,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> endpoint_module.EndpointState | None:
        for state in candidates:
            if self._failures.is_on_probation(state.endpoint):
                self._failures.record_probe(state.endpoint, now_s)
                return state
        return None

    # -- learning ------------------------------------------------------------

    def on_first_token(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Learns that the endpoint works."""
        self._failures.record_success(state.endpoint, now_s)

    def on_finish(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        outcome: messages.Outcome,
        now_s: float,
    ) -> None:
        """Learns that the endpoint works, or that it failed."""
        if outcome in failures.FAILURES:
            self._failures.record_failure(state.endpoint, now_s)
        elif outcome is messages.Outcome.FAILURE_ANSWERED:
            self._failures.record_failure(
                state.endpoint, now_s, counts_for_probation=False
            )
        elif running.first_token_s is not None and running.tokens > 1:
            self._failures.record_success(state.endpoint, now_s)


def home_among(
    prefix_key: str, candidates: list[endpoint_module.EndpointState]
) -> endpoint_module.EndpointState:
    """Returns the home of a prefix among some endpoints (at least one).

    Rendezvous hashing names it, so all instances agree without a message and
    each cache keeps few prefixes.
    """
    key = zlib.crc32(prefix_key.encode())
    return max(candidates, key=lambda state: _mix(key, state.endpoint))


@functools.lru_cache(maxsize=4_096)
def _endpoint_hash(endpoint: ids.EndpointId) -> int:
    return zlib.crc32(endpoint.encode())


def _mix(key: int, endpoint: ids.EndpointId) -> int:
    """Returns the rendezvous weight of a prefix at an endpoint.

    A plain checksum of both is linear: 12 prefixes were seen to leave one of
    four endpoints without any. The two rounds are those that end the 32-bit
    MurmurHash3 (Appleby, public domain).
    """
    mixed = key ^ _endpoint_hash(endpoint)
    mixed = ((mixed ^ (mixed >> 16)) * 0x85EBCA6B) & 0xFFFFFFFF
    mixed = ((mixed ^ (mixed >> 13)) * 0xC2B2AE35) & 0xFFFFFFFF
    return mixed ^ (mixed >> 16)
