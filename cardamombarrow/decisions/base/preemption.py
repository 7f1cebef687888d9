"""The base class of preemption policies."""

import abc

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.base import policy

__all__ = ["PreemptionPolicy"]


class PreemptionPolicy(policy.Policy):
    """Selects a running request to preempt for a waiting one."""

    def preemption_check_s(self, job: messages.Job) -> float | None:
        """Returns when a waiting job may need a preemption, or None."""
        return None

    @abc.abstractmethod
    def victim(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> messages.Running | None:
        """Returns the request to cancel for `job`, or None.

        Args:
            job: A waiting job without a free slot.
            states: The endpoints of its service and domain.
            now_s: The time.
        """

    def on_finish(
        self, running: messages.Running, outcome: messages.Outcome
    ) -> None:
        """Handles the end of a request."""
