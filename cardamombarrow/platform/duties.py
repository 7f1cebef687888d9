"""The platform's calls of one holder: usage and numbers of servers."""

import json

from cardamombarrow.duties import base
from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import registry
from cardamombarrow.orders import machine

__all__ = ["PlatformGateway"]

TIMEOUT_S = 1.0
"""An answer takes some ms; a platform that is down may take for ever."""

_BUSY = 429
_CONFLICT = 409


@registry.plugin(base.SLOT, "platform")
class PlatformGateway(base.Gateway):
    """``POST /usage`` and ``POST /scaling``."""

    def send(
        self, url: str, call: base.DutyCall, holder: machine.Holder
    ) -> base.Outcome:
        """Sends one call; see `base.Gateway`."""
        path, body = _body(call)
        try:
            reply = http_get.fetch(
                url + path,
                timeout_s=TIMEOUT_S,
                method="POST",
                body=json.dumps(body).encode(),
                headers=(
                    "Content-Type: application/json",
                    f"Duty-Holder: {holder.instance}",
                    f"Fencing-Token: {holder.fencing}",
                ),
            )
        except errors.EndpointError as error:
            if error.kind is errors.ErrorKind.ENDPOINT_UNREACHED:
                return base.Outcome.UNAVAILABLE
            return base.Outcome.UNKNOWN
        return _outcome(reply.status)


def _body(call: base.DutyCall) -> tuple[str, dict]:
    if isinstance(call, base.UsageReport):
        return "/usage", {"windowId": call.window, "counts": call.counts}
    body = {
        "service": call.service,
        "zone": call.domain,
        "desired": call.count,
    }
    if call.spot:
        body["spot"] = True
    return "/scaling", body


def _outcome(status: int) -> base.Outcome:
    if status < 300:
        return base.Outcome.TAKEN
    if status == _CONFLICT:
        return base.Outcome.REFUSED
    if status == _BUSY:
        return base.Outcome.UNAVAILABLE
    if status < 500:
        return base.Outcome.INVALID
    # A failure of the platform may come after the call was taken.
    return base.Outcome.UNKNOWN
