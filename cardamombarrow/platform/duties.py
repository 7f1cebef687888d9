"""Usage reports and orders of servers, in the platform's HTTP format."""

import typing

from cardamombarrow.duties import base
from cardamombarrow.duties import http_gateway
from cardamombarrow.kernel import registry

__all__ = ["PlatformGateway"]


@registry.plugin(base.SLOT, "platform")
class PlatformGateway(http_gateway.HttpGateway):
    """``POST /usage`` and ``POST /scaling``."""

    holder_header = "Duty-Holder"
    token_header = "Fencing-Token"

    def request(self, call: base.DutyCall) -> tuple[str, dict[str, typing.Any]]:
        """Returns the path and the body of a call; see `HttpGateway`."""
        if isinstance(call, base.UsageReport):
            return "/usage", {"windowId": call.window, "counts": call.counts}
        body: dict[str, typing.Any] = {
            "service": call.service,
            "zone": call.domain,
            "desired": call.count,
        }
        if call.spot:
            body["spot"] = True
        return "/scaling", body
