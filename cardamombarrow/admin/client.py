"""The client of the administration API."""

import json
import typing
import urllib.parse

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import json_text
from cardamombarrow.log import membership

__all__ = ["AdminClient"]

TIMEOUT_S = 8.0


class AdminClient:
    """Calls the control processes in turn until one answers."""

    def __init__(self, urls: list[str], token: str, ca_file: str = ""):
        self._urls = urls
        self._ca_file = ca_file
        self._headers = (
            f"Authorization: Bearer {token}",
            "Content-Type: application/json",
        )

    def get(self, path: str, **query: str) -> dict[str, typing.Any]:
        """Reads one resource.

        Raises:
            errors.RouterError: No control process returned it.
        """
        if query:
            path = f"{path}?{urllib.parse.urlencode(query)}"
        return self._send("GET", path, None, ok=(200,))

    def edit(self, edit: dict[str, typing.Any]) -> dict[str, typing.Any]:
        """Sends an edit; the answer's ``status`` is its outcome.

        An edit whose answer is lost is resent to the next control process with
        the same edit id, so it is not applied twice.
        """
        body = json.dumps(edit).encode()
        return self._send("POST", "/v1/edits", body, ok=(200, 403, 409, 422))

    def push(self, number: int, text: str) -> dict[str, typing.Any]:
        """Sends an edition: a whole document with the operator's number."""
        body = json.dumps({"number": number, "text": text}).encode()
        return self._send("PUT", "/v1/editions", body, ok=(200, 422))

    def change_member(
        self, kind: membership.ChangeKind, member: str
    ) -> dict[str, typing.Any]:
        """Requests a change of the log's members; see `log.membership`.

        Raises:
            errors.RouterError: It was rejected, or there is no quorum.
        """
        body = json.dumps({"change": kind.value, "member": member}).encode()
        return self._send("POST", "/v1/members", body, ok=(200,))

    def _send(
        self, method: str, path: str, body: bytes | None, ok: tuple[int, ...]
    ) -> dict[str, typing.Any]:
        failure: errors.RouterError | None = None
        for url in self._urls:
            try:
                reply = http_get.fetch(
                    url + path,
                    timeout_s=TIMEOUT_S,
                    method=method,
                    body=body,
                    headers=self._headers,
                    ca_file=self._ca_file,
                )
                return _read(url, reply, ok)
            except errors.EndpointError as error:
                failure = error
            except errors.RouterError as error:
                failure = error
                if reply.status < 500:
                    break
        raise failure or errors.RouterError(
            errors.ErrorKind.BAD_REQUEST, "give at least one --url"
        )


def _read(
    url: str, reply: http_get.Reply, ok: tuple[int, ...]
) -> dict[str, typing.Any]:
    """Returns the content of an answer.

    Raises:
        errors.EndpointError: It is not the answer of a control process.
        errors.RouterError: It tells of an error.
    """
    try:
        content = json_text.load(reply.body)
        if not isinstance(content, dict):
            raise TypeError("no object")
        if reply.status in ok and "error" not in content:
            return content
        told = content["error"]
        kind, message = errors.ErrorKind(told["code"]), str(told["message"])
    except (KeyError, TypeError, ValueError):
        raise errors.EndpointError(
            errors.ErrorKind.ENDPOINT_FAILED,
            f"{url} gave no answer of a control process",
            sent=True,
        ) from None
    raise errors.RouterError(kind, message)
