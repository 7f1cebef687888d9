"""Reads what an instance reports of itself."""

import typing

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import json_text

__all__ = ["fetch"]


def fetch(url: str, timeout_s: float, mistake: str) -> dict[str, typing.Any]:
    """Reads a JSON object.

    Args:
        url: Where it is served.
        timeout_s: Time for the answer.
        mistake: Detail of the error if the answer is no such object.

    Raises:
        errors.EndpointError: There is no answer, or it is another one.
    """
    reply = http_get.fetch(url, timeout_s=timeout_s)
    try:
        content = json_text.load(reply.body)
    except ValueError:
        content = None
    if reply.status != 200 or not isinstance(content, dict):
        raise errors.EndpointError(
            errors.ErrorKind.ENDPOINT_FAILED, mistake, sent=True
        )
    return content
