"""The base class of policies that split an endpoint's slots."""

import abc
from collections import abc as collections_abc

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.base import policy

__all__ = ["Shares"]


class Shares(policy.Policy):
    """Splits an endpoint's slots among the instances of a domain."""

    @abc.abstractmethod
    def share(
        self,
        state: endpoint_module.EndpointState,
        limit: int,
        own: messages.PeerDemand,
        peers: collections_abc.Sequence[messages.PeerDemand],
        now_s: float,
    ) -> int:
        """Returns this instance's slots out of `limit`."""
