"""The base class of policies for placing jobs in other domains."""

import abc

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.base import policy

__all__ = ["Spill"]


class Spill(policy.Policy):
    """Decides whether a job may leave its failure domain.

    Attributes:
        joins_domains: Whether endpoints of other domains compete with local
            ones by cost, and not only when the local domain has no free slot.
        crosses_domains: Whether a job may leave its domain at all.
    """

    joins_domains = False
    crosses_domains = True

    @abc.abstractmethod
    def allow(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        local: messages.Backlog,
        now_s: float,
    ) -> bool:
        """Returns whether a job may go to an endpoint of another domain."""

    def on_place(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        """Records that a job was placed in another domain."""
