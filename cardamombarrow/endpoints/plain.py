"""Plain HTTP services beside the engines."""

from cardamombarrow.decisions import messages
from cardamombarrow.endpoints import base
from cardamombarrow.endpoints import engine
from cardamombarrow.endpoints import transfer
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["PlainKind"]


@registry.plugin("endpoint-kind", "plain")
class PlainKind(base.EndpointKind):
    """A service whose answers are passed on as they are."""

    def open(self, call: base.OutgoingCall) -> base.Exchange:
        """Prepares a request to the service."""
        headers = [
            ("Content-Type", call.content_type),
            ("X-Request-Id", call.request_id),
        ]
        return transfer.HttpExchange(call, headers, self.probe)

    def poll(
        self, endpoint: ids.EndpointId, timeout_s: float
    ) -> messages.LoadReport | None:
        """Reads ``/metrics``, as engines offer it."""
        return engine.EngineKind().poll(endpoint, timeout_s)

    def not_started(self, head: base.Head) -> bool:
        """Never: a service may answer 503 to what it ran in part."""
        return False

    def failed(self, head: base.Head) -> bool:
        """Never: the service's answers are its callers' to read."""
        return False

    def count_tokens(self, chunk: bytes) -> int:
        """Counts nothing: there are no tokens."""
        return 0

    def is_whole(self, head: base.Head, tail: bytes) -> bool:
        """HTTP framing alone tells, and the transfer has checked it."""
        return True
