"""The base class of policies that limit requests of an endpoint."""

import abc

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.base import policy

__all__ = ["Limits"]


class Limits(policy.Policy):
    """Limits the concurrent requests of an endpoint."""

    @abc.abstractmethod
    def limit(self, state: endpoint_module.EndpointState, now_s: float) -> int:
        """Returns the limit over all instances."""

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
