"""Interface through which an entry delegates placement to the placer."""

import abc

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids
from cardamombarrow.placing import messages as placing_messages

__all__ = ["NoRemotePlacer", "RemotePlacer"]


class RemotePlacer(abc.ABC):
    """The domain's placer, as seen by an entry's broker.

    All methods return immediately and may be called under the broker's lock.
    The result of a question is delivered through `Broker.on_answer` or
    `Broker.fall_back`.
    """

    @abc.abstractmethod
    def is_connected(self) -> bool:
        """Returns whether a placer is connected now."""

    @abc.abstractmethod
    def ask(self, job: messages.Job) -> None:
        """Asks where to send a request."""

    @abc.abstractmethod
    def withdraw(self, request_id: ids.RequestId) -> None:
        """Withdraws a question."""

    @abc.abstractmethod
    def run_started(self, run: placing_messages.Run) -> None:
        """Reports a request that this entry placed by its own decision."""

    @abc.abstractmethod
    def first_token_received(self, request_id: ids.RequestId) -> None:
        """Reports that a request's first event has arrived."""

    @abc.abstractmethod
    def ended(
        self, request_id: ids.RequestId, outcome: messages.Outcome, tokens: int
    ) -> None:
        """Reports that a request's run on its endpoint has ended."""

    @abc.abstractmethod
    def load_reported(
        self, endpoint: ids.EndpointId, report: messages.LoadReport
    ) -> None:
        """Forwards the load report that came with an endpoint's answer."""

    @abc.abstractmethod
    def pause_reported(self, endpoint: ids.EndpointId, pause_s: float) -> None:
        """Reports that an endpoint has asked this entry for a pause."""


class NoRemotePlacer(RemotePlacer):
    """No placer: the entry decides by itself."""

    def is_connected(self) -> bool:
        """Returns False."""
        return False

    def ask(self, job: messages.Job) -> None:
        """Does nothing."""

    def withdraw(self, request_id: ids.RequestId) -> None:
        """Does nothing."""

    def run_started(self, run: placing_messages.Run) -> None:
        """Does nothing."""

    def first_token_received(self, request_id: ids.RequestId) -> None:
        """Does nothing."""

    def ended(
        self, request_id: ids.RequestId, outcome: messages.Outcome, tokens: int
    ) -> None:
        """Does nothing."""

    def load_reported(
        self, endpoint: ids.EndpointId, report: messages.LoadReport
    ) -> None:
        """Does nothing."""

    def pause_reported(self, endpoint: ids.EndpointId, pause_s: float) -> None:
        """Does nothing."""
