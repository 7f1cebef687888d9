"""Callers by route who ask for paths of the router's own protocol."""

import collections
from http import client
import itertools
import json
import signal
import threading
import time
import typing

import pytest

from cardamombarrow.platform.tests import platform_plan
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

pytestmark = pytest.mark.process

_PATHS = (
    "/",
    "/healthz",
    "/healthz?full=1",
    "/readyz",
    "/metrics",
    "/v1/instance",
    "/v1/completions",
    "/v1/services/letters/a",
    "/configuration",
    "/instances-of-mine",
)
_METHODS = ("GET", "HEAD", "POST", "OPTIONS")
_HOSTS = ("one.example", "two.example", "127.0.0.1")
_CASES = tuple(itertools.product(_METHODS, _PATHS, _HOSTS))
_NUMBERS = itertools.count(1)
_LIMIT_S = 2.0
_GRACE_S = 8.0


class _Seen(typing.NamedTuple):
    """What a caller has got; status 0 for no answer."""

    status: int
    is_sealed: bool
    body: bytes


@pytest.fixture
def running(tmp_path):
    answer = standin.Answer(standin.Framing.LENGTH, content_type="text/plain")
    with standin.Servers(lambda _: answer) as servers:
        for number in range(2):
            servers.start(f"i-{number}")
        document = stream_client.configuration((stream_client.ROUTES[1],))
        (route,) = document["routes"]
        route.update(pathPrefix="/", routeKind="idempotent")
        entries = {"a": ["a-1"], "b": ["b-1"]}
        plan = platform_plan.plan(document, servers.listing_url, entries)
        plan.entry_extra["calls"] += f"grace_s = {_GRACE_S}\n"
        with deployment.Deployment(plan, tmp_path) as started:
            yield started


def _ask(running, name, method, path, host):
    """Sends one request as a caller does."""
    address = running.entries[name].removeprefix("http://")
    caller = client.HTTPConnection(address, timeout=_LIMIT_S + 0.5)
    fields = {
        "Host": host,
        "Attempt-Id": f"own-{next(_NUMBERS)}",
        "Deadline-Ms": str(int(_LIMIT_S * 1_000)),
    }
    try:
        caller.request(method, path, headers=fields)
        answer = caller.getresponse()
        body = answer.read()
    except (OSError, client.HTTPException):
        return _Seen(0, False, b"")
    finally:
        caller.close()
    return _Seen(answer.status, "server-seal" in answer.headers, body)


def _ask_all(running, name):
    """Sends all cases at once; returns the answers by case."""
    seen = {}

    def ask(case):
        seen[case] = _ask(running, name, *case)

    threads = [threading.Thread(target=ask, args=(each,)) for each in _CASES]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return seen


def _unsealed(seen):
    return {
        case: each
        for case, each in seen.items()
        if 200 <= each.status < 300 and not each.is_sealed
    }


def test_an_entry_without_a_document_answers_no_path_by_itself(running):
    # Guards against a success that comes from no server while an entry starts.
    running.kill(["control-1", "a-1"])
    running.start_instance("a-1")
    assert deployment.wait_until(
        lambda: _ask(running, "a-1", "GET", "/", _HOSTS[0]).status
    )
    seen = _ask_all(running, "a-1")
    assert not _unsealed(seen)
    assert {each.status for each in seen.values()} == {503}
    for (method, *_), each in seen.items():
        if method != "HEAD":
            assert json.loads(each.body)["error"]["not_run"]
    assert "decision" in running.log("a-1")
    running.start_instance("control-1")
    running.wait_ready("a-1")
    seen = _ask_all(running, "a-1")
    assert not _unsealed(seen)
    served = {case for case, each in seen.items() if each.is_sealed}
    assert {host for *_, host in served} == {_HOSTS[0]}
    assert len(served) == len(_METHODS) * len(_PATHS)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_entries_that_restart_answer_no_path_by_themselves(running, number):
    # Guards against such a success in any phase of an entry: starting, in
    # force, draining, stopping.
    ended = threading.Event()
    counts = collections.Counter()
    unsealed = []

    def call(name):
        for case in itertools.cycle(_CASES):
            if ended.is_set():
                return
            seen = _ask(running, name, *case)
            counts[seen.status] += 1
            unsealed.extend(_unsealed({case: seen}).items())

    callers = [
        threading.Thread(target=call, args=(name,))
        for name in running.entries
        for _ in range(4)
    ]
    for caller in callers:
        caller.start()
    for names in (["a-1"], ["b-1"], [*running.controls, "a-1", "b-1"]):
        for name in names:
            running.signal(name, number)
        for name in names:
            running.processes[name].wait()
            running.start_instance(name)
        time.sleep(0.5)
        for name in names:
            running.wait_ready(name)
    ended.set()
    for caller in callers:
        caller.join()
    assert counts[200]
    assert not unsealed
