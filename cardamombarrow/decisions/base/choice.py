"""The base class of policies that select an endpoint."""

import abc
from collections import abc as collections_abc
import math

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.base import policy
from cardamombarrow.kernel import ids

__all__ = ["Choice"]


class Choice(policy.Policy):
    """Selects the endpoint of a job.

    Attributes:
        engine_preempts: Whether a full endpoint may be sent a more urgent job,
            because its engine preempts a less urgent one by itself.
    """

    engine_preempts = False

    def prepare(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> list[endpoint_module.EndpointState]:
        """Prepares for `available` calls on the endpoints of a service.

        Returns:
            The endpoints for which `available` may return True.
        """
        return states

    def is_on_probation(self, state: endpoint_module.EndpointState) -> bool:
        """Returns whether an endpoint gets probes only, after failures."""
        return False

    def probe_wait_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> float:
        """Returns the time until an endpoint on probation may get a job."""
        return 0.0

    def recheck_after_s(self, job: messages.Job) -> float | None:
        """Returns the wait after which `available` may change, or None."""
        return None

    def available(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> bool:
        """Returns whether an endpoint with a free slot may get the job."""
        return True

    @abc.abstractmethod
    def choose(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> tuple[endpoint_module.EndpointState, str]:
        """Returns one of the candidates (never empty) and the reason."""

    def expected_first_token_s(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> float:
        """Returns the least time to the first token of a job placed now.

        Args:
            job: The job.
            states: The endpoints that could take it.
            now_s: Current time.
        """
        return 0.0

    def uncached_tokens(self, job: messages.Job, now_s: float) -> float:
        """Returns the prompt tokens of a job that no endpoint has cached."""
        return 0.0

    def prefill_ahead_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> float:
        """Returns the prefill at an endpoint that would precede a job."""
        return 0.0

    def prefill_tokens_per_s(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> float:
        """Returns the prefill rate that this instance has for a job.

        Args:
            job: The job.
            states: The endpoints that could take it.
            now_s: Current time.
        """
        return math.inf

    def on_remote_placement(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        """Records that another instance placed a job on an endpoint."""

    def fetch(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> messages.Fetch | None:
        """Returns where the endpoint fetches the prompt's prefix from."""
        return None

    def on_report(
        self,
        state: endpoint_module.EndpointState,
        report: messages.LoadReport,
    ) -> None:
        """Handles a load report of an endpoint."""

    def on_reachable(self, endpoint: ids.EndpointId) -> None:
        """Handles the end of a time in which no endpoint could be reached."""

    def speed(
        self, state: endpoint_module.EndpointState, now_s: float
    ) -> messages.EndpointSpeed | None:
        """Returns the speed of an endpoint; None if it is not learned."""
        return None

    def count_slow_endpoints(self, now_s: float) -> int:
        """Counts the endpoints that are known to be slow."""
        return 0

    def on_endpoint_removed(self, endpoint: ids.EndpointId) -> None:
        """Handles the removal of an endpoint."""

    def take_announcements(
        self, now_s: float
    ) -> list[messages.CacheAnnouncement]:
        """Returns changes in the engines' caches for other instances."""
        return []

    def merge_announcements(
        self,
        news: collections_abc.Iterable[messages.CacheAnnouncement],
        now_s: float,
    ) -> None:
        """Applies changes in engines' caches from other instances."""

    def on_first_token(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Handles the first token of a request."""

    def on_finish(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        outcome: messages.Outcome,
        now_s: float,
    ) -> None:
        """Handles the end of a request."""
