"""Who decides where an entry's requests go, if not the entry alone."""

import abc

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids
from cardamombarrow.placing import messages as placing_messages

__all__ = ["Asking", "NobodyAsked"]


class Asking(abc.ABC):
    """The way to the placer of the domain.

    All methods return at once and may be called under the broker's lock. What
    becomes of a question reaches the broker by `Broker.on_answer` or
    `Broker.fall_back`.
    """

    @abc.abstractmethod
    def takes(self) -> bool:
        """Tells whether a question would reach a placer now."""

    @abc.abstractmethod
    def ask(self, job: messages.Job) -> None:
        """Asks where a request goes."""

    @abc.abstractmethod
    def withdraw(self, request_id: ids.RequestId) -> None:
        """Takes a question back."""

    @abc.abstractmethod
    def ran(self, run: placing_messages.Run) -> None:
        """Tells of a request that this entry has sent by its own decision."""

    @abc.abstractmethod
    def began(self, request_id: ids.RequestId) -> None:
        """Tells that a request's first event came."""

    @abc.abstractmethod
    def ended(
        self, request_id: ids.RequestId, outcome: messages.Outcome, tokens: int
    ) -> None:
        """Tells that a request has left its endpoint."""

    @abc.abstractmethod
    def loaded(
        self, endpoint: ids.EndpointId, report: messages.LoadReport
    ) -> None:
        """Tells what an answer said of its endpoint's load."""


class NobodyAsked(Asking):
    """The entry decides by itself."""

    def takes(self) -> bool:
        """Takes no question."""
        return False

    def ask(self, job: messages.Job) -> None:
        """Does nothing."""

    def withdraw(self, request_id: ids.RequestId) -> None:
        """Does nothing."""

    def ran(self, run: placing_messages.Run) -> None:
        """Does nothing."""

    def began(self, request_id: ids.RequestId) -> None:
        """Does nothing."""

    def ended(
        self, request_id: ids.RequestId, outcome: messages.Outcome, tokens: int
    ) -> None:
        """Does nothing."""

    def loaded(
        self, endpoint: ids.EndpointId, report: messages.LoadReport
    ) -> None:
        """Does nothing."""
