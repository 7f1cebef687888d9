"""The time left and the attempts of requests, on real processes.

What the servers are told is taken from their own records, while entries stand
still, are killed, and are cut off from the servers.
"""

from concurrent import futures
import itertools
import random
import signal
import subprocess
import sys
import threading
import time

import pytest

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from cardamombarrow.platform.tests import platform_plan
from cardamombarrow.platform.tests import standin_server
from tools import cut_off
from tools import deployment
from tools.standin import cut_links

pytestmark = pytest.mark.process

_LIMIT_MS = 6_000
_MAX_ATTEMPTS = 3
_FAILURE_MS = round(standin_server.FAILURE_S * 1_000)
_LOAD_S = 14.0
_CALLERS = 12
_SERVERS = 5
_DISRUPTIONS_AT_ONCE = 3
_ENTRIES = {"a": ["a-1", "a-2"], "b": ["b-1", "b-2"]}
_NAMES = [name for group in _ENTRIES.values() for name in group]
_LOCKS = {name: threading.Lock() for name in _NAMES}
_CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "read",
            "host": "shop.example",
            "pathPrefix": "/read/",
            "routeKind": "idempotent",
            "timeoutMs": _LIMIT_MS,
            "latencyGoalMs": 500,
            "priority": 0,
            "service": standin_server.SERVICE,
            "maxAttempts": _MAX_ATTEMPTS,
            "anonymous": True,
            "sticky": False,
        }
    ],
    "services": [
        {
            "name": standin_server.SERVICE,
            "healthPath": "/healthz",
            "maxConns": 400,
            "protocol": "h1",
            "tls": False,
        }
    ],
    "limits": {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 65_536,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    },
}


@pytest.fixture
def servers(tmp_path):
    """Ports of the servers."""
    ports = deployment.free_ports(_SERVERS)
    process = subprocess.Popen(
        (
            sys.executable,
            "-m",
            "cardamombarrow.platform.tests.standin_server",
            "--received",
            str(tmp_path / "received"),
            "--fail-share",
            "0.4",
            "--ports",
            *map(str, ports),
        )
    )
    yield ports
    process.terminate()
    process.wait()


@pytest.fixture
def running(tmp_path, servers):
    plan = platform_plan.plan(
        _CONFIGURATION, f"http://127.0.0.1:{servers[0]}/instances", _ENTRIES
    )
    with deployment.Deployment(plan, tmp_path) as started:
        yield started


def _send(running, name, attempt):
    return http_get.fetch(
        running.entries[name] + f"/read/{attempt}",
        timeout_s=_LIMIT_MS / 1_000 + 1,
        headers=(
            "Host: shop.example",
            f"Attempt-Id: {attempt}",
            f"Deadline-Ms: {_LIMIT_MS}",
        ),
    )


def _call(running, stop, number):
    rng = random.Random(number)
    count = 0
    while not stop.wait(rng.uniform(0.0, 0.2)):
        attempt = f"{number:02}{count:06}"
        count += 1
        try:
            _send(running, rng.choice(_NAMES), attempt)
        except errors.EndpointError:
            # The entry was killed, or has not started yet.
            time.sleep(0.05)


def _disrupt(running, servers, stop, rng):
    while not stop.wait(rng.uniform(0.2, 1.0)):
        name = rng.choice(_NAMES)
        kind = rng.choice(("freeze", "kill", "cut"))
        if kind == "cut":
            with cut_off.cut_ports(
                running, [name], rng.choice(list(cut_links.CutMode)), servers
            ):
                time.sleep(rng.uniform(0.5, 2.0))
            continue
        with _LOCKS[name]:
            if kind == "kill":
                running.restart(name, signal.SIGKILL)
                continue
            running.signal(name, signal.SIGSTOP)
            time.sleep(rng.uniform(0.3, 1.5))
            running.signal(name, signal.SIGCONT)


def test_servers_are_told_no_more_time_than_is_left(running, servers, tmp_path):
    # Guards against runs that outlast their callers, and against more runs of
    # a request than its route allows, also after it was forwarded.
    stop = threading.Event()
    with futures.ThreadPoolExecutor(_CALLERS + _DISRUPTIONS_AT_ONCE) as pool:
        tasks = [
            pool.submit(_call, running, stop, number)
            for number in range(_CALLERS)
        ]
        tasks += [
            pool.submit(_disrupt, running, servers, stop, random.Random(number))
            for number in range(_DISRUPTIONS_AT_ONCE)
        ]
        time.sleep(_LOAD_S)
        stop.set()
        for task in tasks:
            task.result()
    by_attempt = {}
    for each in standin_server.read(tmp_path / "received"):
        by_attempt.setdefault(each.attempt, []).append(each.left_ms)
    assert any(len(left_ms) > 1 for left_ms in by_attempt.values())
    for left_ms in by_attempt.values():
        assert len(left_ms) <= _MAX_ATTEMPTS
        assert None not in left_ms
        # In the order in which they were sent.
        left_ms.sort(reverse=True)
        assert left_ms[0] <= _LIMIT_MS
        for before_ms, after_ms in itertools.pairwise(left_ms):
            assert after_ms <= before_ms - _FAILURE_MS
