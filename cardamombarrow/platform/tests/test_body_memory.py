"""Many callers with large bodies at once, over real processes."""

import collections
from concurrent import futures
import contextlib
import pathlib
import re
import socket
import time

import pytest

from cardamombarrow.platform.tests import platform_plan
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import urgent_traffic
from tools import deployment

pytestmark = pytest.mark.process

_CALLERS = 90
_BODY = bytes(4_000_000)
_SMALL_BODY = bytes(1_000)
_SMALL = 40
_SMALL_GAP_S = 0.1
_LEAST_SMALL_SHARE = 0.95
_MOST_BYTES = 200_000_000
"""What the smallest machines leave to an entry."""


def _call(running, number, body):
    """Returns the status of the answer and whether it had a time to return."""
    address = running.entries["a-1"].removeprefix("http://")
    host, _, port = address.partition(":")
    attempt = f"{number:08x}"
    head = [
        f"POST /question/{attempt} HTTP/1.1",
        f"Host: {urgent_traffic.HOST}",
        f"Attempt-Id: {attempt}",
        "Model-Name: m",
        "Token-Count: 1000,6",
        f"Prefix-Hash: {attempt}:1000",
        "Deadline-Ms: 8000",
        f"Content-Length: {len(body)}",
        "Connection: close",
        "",
        "",
    ]
    with socket.create_connection((host, int(port)), 30.0) as caller:
        caller.settimeout(30.0)
        raw = b""
        # A request may be refused before its body has arrived.
        with contextlib.suppress(OSError):
            caller.sendall("\r\n".join(head).encode() + body)
        with contextlib.suppress(OSError):
            while data := caller.recv(65_536):
                raw += data
    status = int(raw.split(b" ", 2)[1]) if raw else 0
    return status, b"\r\nretry-after:" in raw.lower()


def _peak_bytes(process):
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", text)[1]) * 1_024


def test_large_bodies_of_many_callers_fit_into_memory(tmp_path):
    # Guards against an entry that is killed at its memory limit with all
    # requests that it holds.
    document = urgent_traffic.configuration(1)
    document["limits"]["maxBodyBytes"] = 4_194_304
    with standin.Servers(lambda _: standin.Answer()) as servers:
        for number in range(2):
            servers.start(f"own-{number}")
        plan = platform_plan.plan(document, servers.listing_url, {"a": ["a-1"]})
        with deployment.Deployment(plan, tmp_path) as running:
            with futures.ThreadPoolExecutor(_CALLERS + _SMALL) as pool:
                large = [
                    pool.submit(_call, running, number, _BODY)
                    for number in range(_CALLERS)
                ]
                small = []
                for number in range(_SMALL):
                    time.sleep(_SMALL_GAP_S)
                    small.append(
                        pool.submit(_call, running, 1_000 + number, _SMALL_BODY)
                    )
                large = [each.result() for each in large]
                small = [each.result() for each in small]
            peak_bytes = _peak_bytes(running.processes["a-1"])
    served = sum(status == 200 for status, _ in large)
    print(collections.Counter(large), collections.Counter(small))
    print(f"{served} of {_CALLERS} served, peak {peak_bytes} bytes")
    assert served
    assert all(each in ((200, False), (503, True)) for each in large)
    served_small = sum(status == 200 for status, _ in small)
    assert served_small >= _LEAST_SMALL_SHARE * _SMALL
    assert peak_bytes < _MOST_BYTES
