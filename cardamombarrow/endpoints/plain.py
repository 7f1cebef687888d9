"""Plain HTTP services, which are not engines."""

from cardamombarrow.decisions import messages
from cardamombarrow.endpoints import base
from cardamombarrow.endpoints import engine
from cardamombarrow.endpoints import transfer
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["PlainKind"]


@registry.plugin("endpoint-kind", "plain")
class PlainKind(base.EndpointKind):
    """A service whose answers are relayed unchanged."""

    def open(self, call: base.OutgoingCall) -> base.Exchange:
        """Prepares a request to the service."""
        headers = [
            ("Content-Type", call.content_type),
            ("X-Request-Id", call.request_id),
        ]
        return transfer.HttpExchange(call, lambda: headers, self.probe)

    def poll(
        self, endpoint: ids.EndpointId, timeout_s: float
    ) -> messages.LoadReport | None:
        """Reads ``/metrics``, in the format of engines."""
        return engine.EngineKind().poll(endpoint, timeout_s)

    def not_started(self, head: base.Head) -> bool:
        """Returns False: a service may answer 503 to a partly run request."""
        return False

    def is_failure(self, head: base.Head) -> bool:
        """Returns False: all answers of a service are for its callers."""
        return False

    def count_tokens(self, chunk: bytes) -> int:
        """Returns 0: answers of plain services have no tokens."""
        return 0
