"""Servers that answer a long upload while it is still being written."""

import re
import socket
import time

from cardamombarrow.platform.tests import platform_plan
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

__all__ = [
    "PAUSES_S",
    "READ_BYTES",
    "UPLOAD_BYTES",
    "EarlyServers",
    "check_part",
    "plan",
    "upload",
]

UPLOAD_BYTES = 4_000_000
PART = b"hello, wor"

PAUSES_S = [(0, 0, 0), (0, 0, 0.1), (0, 0.1, 0.1), (0.1, 0, 0), (0.1, 0.1, 0)]
READ_BYTES = [0, 100_000]
"""Values of `EarlyServers` that have the upload's write, the part of the body
and the reset meet in several orders."""


class EarlyServers(standin.Servers):
    """Servers that answer an upload at once and reset it while it is written.

    Attributes:
        pauses_s: Times before the answer, before its body and before the reset.
        read_bytes: Bytes of the upload that are read before the answer.
        requests: Number of requests since it was set to 0.
        status: Status of the answer.
    """

    def __init__(self):
        super().__init__(lambda received: standin.Answer())
        self.pauses_s = (0.0, 0.0, 0.0)
        self.read_bytes = 0
        self.requests = 0
        self.status = b"200"

    def _answer_request(self, connection, port, raw):
        self.requests += 1
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        attempt = re.search(rb"attempt-id: *(\S+)", raw, re.I)[1]
        left = self.read_bytes
        while left > 0:
            left -= len(connection.recv(left))
        head = (
            b"HTTP/1.1 %b OK\r\nAttempt-Id: %b\r\nServer-Seal: s\r\n"
            b"Content-Type: text/plain\r\n\r\n" % (self.status, attempt)
        )
        before_s, between_s, after_s = self.pauses_s
        time.sleep(before_s)
        if between_s:
            connection.sendall(head)
            time.sleep(between_s)
            connection.sendall(PART)
        else:
            connection.sendall(head + PART)
        time.sleep(after_s)
        standin.reset(connection)


def plan(listing_url: str, entries: dict[str, list[str]]) -> deployment.Plan:
    """Returns a plan whose configuration allows such uploads."""
    document = stream_client.configuration()
    document["limits"]["maxBodyBytes"] = UPLOAD_BYTES
    return platform_plan.plan(document, listing_url, entries)


def upload(running: deployment.Deployment) -> stream_client.Seen:
    """Returns what the caller of a long upload sees."""
    host, _, port = (
        running.entries["a-1"].removeprefix("http://").partition(":")
    )
    attempt = stream_client.Attempt.new("once")
    head = [
        f"POST {attempt.path} HTTP/1.1",
        "Host: one.example",
        f"Attempt-Id: {attempt.attempt}",
        "Model-Name: m",
        "Token-Count: 10,6",
        f"Deadline-Ms: {stream_client.LIMIT_MS}",
        f"Content-Length: {UPLOAD_BYTES}",
        "",
        "",
    ]
    caller = socket.create_connection((host, int(port)), timeout=10)
    caller.sendall("\r\n".join(head).encode() + bytes(UPLOAD_BYTES))
    return stream_client.read(caller)


def check_part(
    running: deployment.Deployment,
    servers: EarlyServers,
    pauses_s: tuple[float, float, float],
    read_bytes: int,
) -> None:
    """Checks that a part of an answer does not look complete to its caller."""
    servers.pauses_s = pauses_s
    servers.read_bytes = read_bytes

    def reaches_server() -> bool:
        servers.requests = 0
        seen = upload(running)
        assert seen.status != 200 or not seen.looks_complete
        return servers.requests > 0

    assert deployment.wait_until(reaches_server)
