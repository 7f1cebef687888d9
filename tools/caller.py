"""A small client of an entry, for tests, demo and benchmarks."""

import dataclasses
import hashlib
from http import client
import json
import typing

from cardamombarrow.endpoints import http_get

__all__ = [
    "CallerAnswer",
    "answer_content",
    "begin_and_leave",
    "complete",
    "completion_body",
    "expected_content",
    "service",
]


@dataclasses.dataclass(frozen=True)
class CallerAnswer:
    """A complete answer.

    Attributes:
        sent: The body of the request.
        error: The error object of the answer or of its last event, or None.
    """

    status: int
    body: bytes
    sent: bytes = b""

    @property
    def error(self) -> dict[str, typing.Any] | None:
        """The error object in the answer."""
        if b"event: error" in self.body:
            last = self.body.rpartition(b"data: ")[2]
            return json.loads(last)["error"]
        if self.status >= 400:
            return json.loads(self.body).get("error")
        return None


def completion_body(
    model: str, prompt: str, stream: bool, tokens: int
) -> bytes:
    """Returns the body of a completion request."""
    content = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "stream": stream,
        "standin_tokens": tokens,
    }
    return json.dumps(content).encode()


def complete(
    url: str,
    workspace: str,
    *,
    model: str,
    request_class: str = "",
    prompt: str = "",
    stream: bool = True,
    tokens: int = 5,
    timeout_s: float = 20.0,
) -> CallerAnswer:
    """Requests one completion and reads the complete answer."""
    headers = [
        f"Authorization: Bearer {workspace}-key",
        "Content-Type: application/json",
    ]
    if request_class:
        headers.append(f"X-Request-Class: {request_class}")
    sent = completion_body(model, prompt, stream, tokens)
    reply = http_get.fetch(
        url + "/v1/chat/completions",
        timeout_s=timeout_s,
        method="POST",
        headers=tuple(headers),
        body=sent,
    )
    return CallerAnswer(reply.status, reply.body, sent)


def begin_and_leave(
    url: str, workspace: str, *, model: str, tokens: int
) -> None:
    """Requests a stream, and closes the connection after its first bytes."""
    connection = client.HTTPConnection(url.removeprefix("http://"))
    connection.request(
        "POST",
        "/v1/chat/completions",
        completion_body(model, "", True, tokens),
        {"Authorization": f"Bearer {workspace}-key"},
    )
    connection.getresponse().read(1)
    connection.close()


def service(
    url: str,
    workspace: str,
    path: str,
    *,
    body: bytes = b"",
    key: str = "",
    method: str = "POST",
    timeout_s: float = 20.0,
) -> CallerAnswer:
    """Calls a plain service, ``<service>/<path>``."""
    headers = [f"Authorization: Bearer {workspace}-key"]
    if key:
        headers.append(f"Idempotency-Key: {key}")
    reply = http_get.fetch(
        f"{url}/v1/services/{path}",
        timeout_s=timeout_s,
        method=method,
        headers=tuple(headers),
        body=body,
    )
    return CallerAnswer(reply.status, reply.body)


def expected_content(answer: CallerAnswer, tokens: int) -> str:
    """Returns the text that a stand-in generates for the request."""
    digest = hashlib.sha256(answer.sent).hexdigest()[:8]
    return "".join(f"{digest}-{number} " for number in range(tokens))


def answer_content(answer: CallerAnswer) -> str:
    """Returns the text of a completion, streamed or not."""
    if not answer.body.startswith(b"data: "):
        return json.loads(answer.body)["choices"][0]["message"]["content"]
    events = answer.body.split(b"\n\n")
    return "".join(
        json.loads(event[6:])["choices"][0]["delta"]["content"]
        for event in events
        if event.startswith(b"data: {")
    )
