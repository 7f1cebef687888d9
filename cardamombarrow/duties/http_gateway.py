"""Calls over HTTP, and the project's own format for them.

``POST /v1/usage`` takes a window and its counts, ``POST /v1/endpoints`` a
service, a domain, a kind and a number. Headers of both name the holder and its
fencing token; a token lower than one seen before is answered with 409.
"""

import abc
import json
import typing

from cardamombarrow.duties import base
from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import registry
from cardamombarrow.orders import machine

__all__ = ["HttpGateway", "OwnGateway"]

TIMEOUT_S = 1.0
"""Answers take some ms; a platform that is down may never answer."""

_BUSY = 429
_CONFLICT = 409


class HttpGateway(base.Gateway):
    """Sends calls as JSON and maps HTTP statuses to outcomes."""

    holder_header: str
    token_header: str

    @abc.abstractmethod
    def request(self, call: base.DutyCall) -> tuple[str, dict[str, typing.Any]]:
        """Returns the path and the body of a call."""

    def send(
        self, url: str, call: base.DutyCall, holder: machine.Holder
    ) -> base.Outcome:
        """Sends one call; see `base.Gateway`."""
        path, body = self.request(call)
        try:
            reply = http_get.fetch(
                url + path,
                timeout_s=TIMEOUT_S,
                method="POST",
                body=json.dumps(body).encode(),
                headers=(
                    "Content-Type: application/json",
                    f"{self.holder_header}: {holder.instance}",
                    f"{self.token_header}: {holder.fencing}",
                ),
            )
        except errors.EndpointError as error:
            if error.kind is errors.ErrorKind.ENDPOINT_UNREACHED:
                return base.Outcome.UNAVAILABLE
            return base.Outcome.UNKNOWN
        return _outcome(reply.status)


def _outcome(status: int) -> base.Outcome:
    if status < 300:
        return base.Outcome.TAKEN
    if status == _CONFLICT:
        return base.Outcome.REFUSED
    if status == _BUSY:
        return base.Outcome.UNAVAILABLE
    if status < 500:
        return base.Outcome.INVALID
    # The platform may have failed after it had carried out the call.
    return base.Outcome.UNKNOWN


@registry.plugin(base.SLOT, "own")
class OwnGateway(HttpGateway):
    """The project's own format."""

    holder_header = "X-Holder"
    token_header = "X-Fencing-Token"

    def request(self, call: base.DutyCall) -> tuple[str, dict[str, typing.Any]]:
        """Returns the path and the body of a call; see `HttpGateway`."""
        if isinstance(call, base.UsageReport):
            return "/v1/usage", {"window": call.window, "counts": call.counts}
        return "/v1/endpoints", {
            "service": call.service,
            "domain": call.domain,
            "spot": call.spot,
            "count": call.count,
        }
