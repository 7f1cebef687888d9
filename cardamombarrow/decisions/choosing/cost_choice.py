"""Base of the choices that compare costs: failures, probes and cache affinity.

A cost is a time. The plug-ins differ in the cost (`choice`: time until the
last token; `first_event`: time until the first token) and in the candidates
that they compare.
"""

import abc
import functools
import zlib

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import failures
from cardamombarrow.kernel import ids

__all__ = ["LowestCostChoice", "affinity_endpoint"]


class LowestCostChoice(base.Choice):
    """Lowest cost among the candidates that a subclass compares."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._failures = failures.Failures()

    @abc.abstractmethod
    def _compared_candidates(
        self, candidates: list[endpoint_module.EndpointState]
    ) -> list[endpoint_module.EndpointState]:
        """Returns the candidates whose cost is computed."""

    @abc.abstractmethod
    def _affinity_endpoint(
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
        is_prefix_cached: bool = False,
    ) -> float:
        """Returns the cost of placing a job at an endpoint, as a time."""

    def _record_choice(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        has_affinity: bool,
        now_s: float,
    ) -> None:
        """Records the chosen endpoint, before the job is placed."""

    def is_on_probation(self, state: endpoint_module.EndpointState) -> bool:
        """Returns whether an endpoint gets probes only, after failures."""
        return self._failures.is_on_probation(state.endpoint)

    def probe_wait_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> float:
        """Returns the time until an endpoint on probation may get a job."""
        if not self.is_on_probation(state):
            return 0.0
        return self._failures.probe_wait_s(
            state.endpoint, now_s, repeatable=job.repeatable
        )

    def available(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> bool:
        """Returns whether an endpoint may get a job now.

        An endpoint on probation gets one job per probe, preferably one that may
        be repeated.
        """
        if not self.is_on_probation(state):
            return True
        due = self._failures.is_probe_due(
            state.endpoint, now_s, repeatable=job.repeatable
        )
        return due and not state.running

    def choose(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> tuple[endpoint_module.EndpointState, str]:
        """Returns the candidate with the lowest cost."""
        affinity = self._affinity_endpoint(job, candidates, now_s)
        probe = self._probe(candidates, now_s)
        if probe is not None:
            self._record_choice(job, probe, probe is affinity, now_s)
            return probe, "probe after failures"
        compared = self._compared_candidates(candidates)
        if affinity is not None:
            compared = [affinity, *compared]
        cost_s, _, chosen = min(
            (
                self.cost_s(job, state, now_s, state is affinity),
                position,
                state,
            )
            for position, state in enumerate(compared)
        )
        self._record_choice(job, chosen, chosen is affinity, now_s)
        prefix = ", prefix affinity" if chosen is affinity else ""
        return chosen, f"least cost {cost_s:.3f} s{prefix}"

    def _probe(
        self,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> endpoint_module.EndpointState | None:
        for state in candidates:
            if self.is_on_probation(state):
                self._failures.record_probe(state.endpoint, now_s)
                return state
        return None

    # -- learning ------------------------------------------------------------

    def on_reachable(self, endpoint: ids.EndpointId) -> None:
        """Drops the endpoint's failures, which were those of the path."""
        self._failures.forget(endpoint)

    def on_first_token(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Records that the endpoint works."""
        self._failures.record_success(state.endpoint, now_s)

    def on_finish(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        outcome: messages.Outcome,
        now_s: float,
    ) -> None:
        """Records that the endpoint works or has failed."""
        if outcome in failures.FAILURES:
            self._failures.record_failure(state.endpoint, now_s)
        elif outcome is messages.Outcome.FAILURE_ANSWERED:
            self._failures.record_failure(
                state.endpoint, now_s, counts_for_probation=False
            )
        elif running.first_token_s is not None and running.tokens > 1:
            self._failures.record_success(state.endpoint, now_s)


def affinity_endpoint(
    prefix_key: str, candidates: list[endpoint_module.EndpointState]
) -> endpoint_module.EndpointState:
    """Returns the affinity endpoint of a prefix among at least one candidate.

    Rendezvous hashing selects it, so all instances agree without a message and
    each cache holds few prefixes.
    """
    key = zlib.crc32(prefix_key.encode())
    return max(candidates, key=lambda state: _mix(key, state.endpoint))


@functools.lru_cache(maxsize=4_096)
def _endpoint_hash(endpoint: ids.EndpointId) -> int:
    return zlib.crc32(endpoint.encode())


def _mix(key: int, endpoint: ids.EndpointId) -> int:
    """Returns the rendezvous weight of a prefix at an endpoint.

    A plain checksum of both is linear: with 12 prefixes, one of four endpoints
    got none. The two mixing rounds are the finalizer of the 32-bit MurmurHash3
    (Appleby, public domain).
    """
    mixed = key ^ _endpoint_hash(endpoint)
    mixed = ((mixed ^ (mixed >> 16)) * 0x85EBCA6B) & 0xFFFFFFFF
    mixed = ((mixed ^ (mixed >> 13)) * 0xC2B2AE35) & 0xFFFFFFFF
    return mixed ^ (mixed >> 16)
