"""Requests late in the grace of a planned stop, on real processes.

The platform stops an entry by SIGTERM and kills it at the end of its grace.
"""

from collections import abc
from concurrent import futures
import contextlib
import dataclasses
import itertools
import re
import signal
import socket
import subprocess
import time

import pytest

from cardamombarrow.platform.tests import platform_plan
from cardamombarrow.platform.tests import standin_streams as standin
from tools import cut_off
from tools import deployment
from tools.standin import cut_links

pytestmark = pytest.mark.process

GRACE_S = 8.0
REFUSING_S = 2.3
LIMIT_MS = 30_000
READ_TIMEOUT_S = 40.0
KEPT_SHARE = 0.5
"""Least share of the time that a refused caller still has, to go elsewhere."""

_ATTEMPTS = itertools.count(1)
_LENGTH = re.compile(rb"content-length: *(\d+)", re.I)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a caller has seen.

    Attributes:
        sent_s: Monotonic time at which the request had been sent.
        ended_s: Monotonic time of its end.
        status: Status of the answer; 0 if the connection ended without one.
        is_complete: Whether the answer came whole.
    """

    attempt: str
    route: str
    sent_s: float
    ended_s: float
    status: int
    is_complete: bool
    head: bytes

    @property
    def is_cut(self) -> bool:
        """Whether the connection ended without a complete answer."""
        return not self.is_complete


_KINDS = {"once": "non_idempotent", "again": "idempotent"}
_STREAMS = {"once": "streaming", "again": "streaming"}
_ENGINE = {"slots": 2, "kvCapacity": 100_000, "models": [{"name": "m"}]}


def _configuration(kinds: dict[str, str]) -> dict[str, object]:
    engine = {"engine": _ENGINE} if kinds is _STREAMS else {}
    return {
        "version": 7,
        "routes": [
            {
                "name": name,
                "host": "one.example",
                "pathPrefix": f"/{name}/",
                "routeKind": kind,
                "timeoutMs": LIMIT_MS,
                "latencyGoalMs": LIMIT_MS,
                "priority": 0,
                "service": standin.SERVICE,
                "maxAttempts": 3,
                "anonymous": True,
                "sticky": False,
                "resumable": kind == "streaming" and name == "again",
                "itlTargetMs": LIMIT_MS,
            }
            for name, kind in kinds.items()
        ],
        "services": [
            {
                "name": standin.SERVICE,
                "healthPath": "/healthz",
                "maxConns": 400,
                "protocol": "h1",
                "tls": False,
                **engine,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 65_536,
            "headerTimeoutMs": 30_000,
            "idleTimeoutMs": 30_000,
        },
    }


def _plan(listing_url, entries, kinds=_KINDS, grace_s=GRACE_S):
    plan = platform_plan.plan(_configuration(kinds), listing_url, entries)
    calls = (
        f"protocol = platform\ndrain_notice_s = {REFUSING_S}\n"
        f"grace_s = {grace_s}\n"
    )
    return dataclasses.replace(
        plan, entry_extra={**plan.entry_extra, "calls": calls}
    )


def _send(
    running, name: str, route: str, limit_ms: int = LIMIT_MS, body_s: float = 0
) -> Outcome:
    """Sends a request and reads its answer to the end.

    Args:
        running: The deployment.
        name: The entry.
        route: The route.
        limit_ms: The caller's time limit.
        body_s: Time that sending the body takes.
    """
    host, _, port = running.entries[name].removeprefix("http://").partition(":")
    attempt = f"{next(_ATTEMPTS):08x}"
    raw = b""
    caller = socket.create_connection((host, int(port)), READ_TIMEOUT_S)
    with caller:
        body = b"0123456789" if body_s else b""
        head = (
            f"POST /{route}/{attempt} HTTP/1.1",
            "Host: one.example",
            f"Attempt-Id: {attempt}",
            f"Deadline-Ms: {limit_ms}",
            f"Content-Length: {len(body)}",
            "",
            "",
        )
        try:
            caller.sendall("\r\n".join(head).encode())
            for number in range(len(body)):
                time.sleep(body_s / len(body))
                caller.sendall(body[number : number + 1])
            sent_s = time.monotonic()
            while data := caller.recv(65_536):
                raw += data
        except ConnectionError:
            if not raw:
                # What has been read ends with a close, not with a reset.
                raise
            sent_s = time.monotonic()
    return _outcome(attempt, route, sent_s, raw)


def _outcome(attempt: str, route: str, sent_s: float, raw: bytes) -> Outcome:
    head, _, body = raw.partition(b"\r\n\r\n")
    length = _LENGTH.search(head)
    is_complete = length is not None and len(body) == int(length[1])
    if b"chunked" in head.lower():
        is_complete = body.endswith(b"0\r\n\r\n")
    status = int(head.split(b" ")[1]) if head else 0
    ended_s = time.monotonic()
    return Outcome(attempt, route, sent_s, ended_s, status, is_complete, head)


class _Stop:
    """A planned stop of an entry."""

    def __init__(self, running, name: str, grace_s: float = GRACE_S):
        self._grace_s = grace_s
        self.begin_s = time.monotonic()
        running.signal(name, signal.SIGTERM)
        self._process = running.processes[name]

    def kill(self) -> None:
        """Kills the entry at the end of its grace, if it still runs."""
        left_s = self.begin_s + self._grace_s - time.monotonic()
        try:
            self._process.wait(max(left_s, 0.0))
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def at(self, moment_s: float) -> float:
        """Returns the time since the beginning of the stop."""
        return round(moment_s - self.begin_s, 2)


def _work(work_s: float, **fields) -> standin.Answer:
    """Returns the answer of a server that works before it answers."""
    fields = {"events": 1, "framing": standin.Framing.LENGTH, **fields}
    return standin.Answer(work_s=work_s, **fields)


def _call_work(work_s: float) -> standin.Answer:
    return _work(work_s, content_type="text/plain")


def _warm_up(servers, running, executor, names, answer) -> None:
    """Has each entry serve a request of each route."""
    servers.script = lambda received: answer
    sent = [
        executor.submit(_send, running, name, route)
        for name in names
        for route in _KINDS
    ]
    assert {each.result().status for each in sent} == {200}


def _check(servers, stop, outcomes) -> None:
    """Checks that all were answered, and that refusals have not run."""
    ran = {each.attempt: stop.at(each.at_s) for each in servers.received}
    for each in sorted(outcomes, key=lambda each: each.ended_s):
        print(
            each.route,
            each.status,
            each.is_complete,
            stop.at(each.sent_s),
            stop.at(each.ended_s),
            ran.get(each.attempt),
        )
    assert not [each for each in outcomes if each.is_cut]
    for each in outcomes:
        if each.status == 503:
            assert each.attempt not in ran
            assert b"retry-after" in each.head.lower()


@pytest.fixture
def servers():
    with standin.Servers(lambda received: _call_work(0.1)) as started:
        yield started


@contextlib.contextmanager
def _deployed(
    servers, folder, names=("a-1",), kinds=_KINDS, grace_s=GRACE_S
) -> abc.Iterator[tuple[deployment.Deployment, futures.Executor]]:
    """Runs entries of one domain, and threads for their callers."""
    plan = _plan(servers.listing_url, {"a": list(names)}, kinds, grace_s)
    with (
        deployment.Deployment(plan, folder) as running,
        futures.ThreadPoolExecutor(32) as executor,
    ):
        yield running, executor


@pytest.mark.parametrize("grace_s", [3.0, GRACE_S])
def test_requests_that_wait_are_not_cut_at_the_end_of_the_grace(
    servers, tmp_path, grace_s
):
    # Guards against requests that wait for a place until the process is
    # killed, or that are sent when their answers can't come in time any more.
    servers.start("i-1", slots=2)
    work_s = grace_s / 4
    with _deployed(servers, tmp_path, grace_s=grace_s) as (running, executor):
        answer = _call_work(work_s)
        _warm_up(servers, running, executor, ["a-1"], answer)
        before = len(servers.received)
        sent = [
            executor.submit(_send, running, "a-1", route)
            for route in ("once", "again") * 6
        ]
        assert deployment.wait_until(
            lambda: len(servers.received) >= before + 2
        )
        stop = _Stop(running, "a-1", grace_s)
        stop.kill()
        outcomes = [each.result() for each in sent]
        _check(servers, stop, outcomes)
        for each in outcomes:
            if each.status != 200:
                assert each.status == 503
                left_s = LIMIT_MS / 1_000 - (each.ended_s - each.sent_s)
                assert left_s > KEPT_SHARE * LIMIT_MS / 1_000
        assert sum(each.status == 200 for each in outcomes) >= 2


@pytest.mark.parametrize("stopped", ["placer", "other"])
def test_streams_that_wait_are_answered_when_an_entry_leaves(
    servers, tmp_path, stopped
):
    # Guards against streams that wait at the placer of the domain, their own
    # entry's or another's, and are cut when either of the two ends.
    servers.start("i-1", slots=2)
    names = ["a-1", "a-2"]
    with _deployed(servers, tmp_path, names, _STREAMS) as (running, executor):

        def placers() -> list[str]:
            joined = "entry joined placer"
            return [name for name in names if joined in running.log(name)]

        assert deployment.wait_until(lambda: len(placers()) == 1)
        placer = placers()[0]
        other = names[1 - names.index(placer)]
        leaving, staying = (
            (placer, other) if stopped == "placer" else (other, placer)
        )
        _warm_up(servers, running, executor, names, _work(2.0))
        before = len(servers.received)
        sent = [
            executor.submit(_send, running, name, route)
            for route in ("once", "again") * 3
            for name in (leaving, staying)
        ]
        assert deployment.wait_until(
            lambda: len(servers.received) >= before + 2
        )
        stop = _Stop(running, leaving)
        stop.kill()
        outcomes = [each.result() for each in sent]
        _check(servers, stop, outcomes)
        from_staying = outcomes[1::2]
        print([(each.status, stop.at(each.ended_s)) for each in from_staying])
        assert {each.status for each in from_staying} == {200}


@pytest.mark.parametrize("route", _KINDS)
@pytest.mark.parametrize(("fails_s", "is_retried"), [(1.0, True), (5.5, False)])
def test_a_request_is_sent_again_only_if_it_can_be_answered(
    servers, tmp_path, route, fails_s, is_retried
):
    # Guards against a retry late in the grace that is cut at its end.
    servers.start("i-1")
    servers.start("i-2")
    with _deployed(servers, tmp_path) as (running, executor):
        _warm_up(servers, running, executor, ["a-1"], _call_work(3.0))
        before = len(servers.received)

        def script(received: standin.Received) -> standin.Answer:
            attempts = [each.attempt for each in servers.received]
            if attempts.count(received.attempt) > 1:
                return _call_work(3.0)
            return _work(fails_s, status=503)

        servers.script = script
        sent = executor.submit(_send, running, "a-1", route)
        assert deployment.wait_until(
            lambda: len(servers.received) == before + 1
        )
        stop = _Stop(running, "a-1")
        stop.kill()
        outcome = sent.result()
        print(outcome, stop.at(outcome.ended_s))
        assert not outcome.is_cut
        assert outcome.status == (200 if is_retried else 503)
        assert len(servers.received) == before + 1 + is_retried


@pytest.mark.parametrize(("breaks_s", "goes_on"), [(1.0, True), (5.5, False)])
def test_a_stream_is_resumed_only_if_it_can_end(
    servers, tmp_path, breaks_s, goes_on
):
    # Guards against a stream that is resumed late in the grace and cut again.
    servers.start("i-1")
    servers.start("i-2")
    chunked = standin.Framing.CHUNKED
    whole = standin.Answer(chunked, events=6, pause_s=0.5)
    with _deployed(servers, tmp_path, kinds=_STREAMS) as (running, executor):
        _warm_up(servers, running, executor, ["a-1"], whole)
        before = len(servers.received)

        def script(received: standin.Received) -> standin.Answer:
            if received.last_event:
                return whole
            return standin.Answer(
                chunked,
                standin.Ending.RESET_BETWEEN_EVENTS,
                events=6,
                sent=1,
                work_s=breaks_s,
            )

        servers.script = script
        sent = executor.submit(_send, running, "a-1", "again")
        assert deployment.wait_until(
            lambda: len(servers.received) == before + 1
        )
        stop = _Stop(running, "a-1")
        stop.kill()
        outcome = sent.result()
        print(outcome, stop.at(outcome.ended_s))
        assert outcome.is_complete == goes_on
        assert len(servers.received) == before + 1 + goes_on


@pytest.mark.parametrize("leaving", ["a-1", "a-2"])
def test_forwarded_requests_are_answered_when_an_entry_leaves(
    servers, tmp_path, leaving
):
    # Guards against requests that wait at another entry than their callers'
    # and are cut, or fail as if they had run, when either of the two ends.
    servers.start("i-1", slots=4)
    names = ["a-1", "a-2", "a-3"]
    refuse = cut_links.CutMode.REFUSE
    with (
        _deployed(servers, tmp_path, names) as (running, executor),
        cut_off.cut_ports(running, ["a-1"], refuse, list(servers.listed)),
    ):
        servers.script = lambda received: _call_work(0.1)

        def is_forwarded() -> bool:
            taken = '"outcome": "taken"' in running.log("a-1")
            return _send(running, "a-1", "again").status == 200 and taken

        assert deployment.wait_until(is_forwarded)
        _warm_up(servers, running, executor, names, _call_work(2.0))
        before = len(servers.received)
        sent = [
            executor.submit(_send, running, name, route)
            for route in ("once", "again") * 7
            for name in ("a-1", "a-2")
        ]
        assert deployment.wait_until(lambda: len(servers.received) > before)
        stop = _Stop(running, leaving)
        stop.kill()
        outcomes = [each.result() for each in sent]
        _check(servers, stop, outcomes)
        if leaving == "a-2":
            assert {each.status for each in outcomes[::2]} == {200}


def test_requests_that_are_at_work_get_an_error_before_the_kill(
    servers, tmp_path
):
    # Guards against requests that run to the end of the grace and are cut
    # without an answer.
    servers.start("i-1")
    with _deployed(servers, tmp_path) as (running, executor):
        servers.script = lambda received: _call_work(2 * GRACE_S)
        sent = [
            executor.submit(_send, running, "a-1", route) for route in _KINDS
        ]
        assert deployment.wait_until(lambda: len(servers.received) == 2)
        stop = _Stop(running, "a-1")
        stop.kill()
        outcomes = [each.result() for each in sent]
        _check(servers, stop, outcomes)
        assert {each.status for each in outcomes} == {504}


def test_bodies_that_come_slowly_are_refused_late_in_the_grace(
    servers, tmp_path
):
    # Guards against a request that began before the refusals, whose body
    # arrives after them and that is then sent to an endpoint.
    servers.start("i-1")
    with _deployed(servers, tmp_path) as (running, executor):
        _warm_up(servers, running, executor, ["a-1"], _call_work(0.5))
        stop = _Stop(running, "a-1")
        sent = [
            executor.submit(_send, running, "a-1", route, body_s=body_s)
            for body_s in (1.0, 1.5, 3.0, 4.5, 6.0, 7.0)
            for route in _KINDS
        ]
        stop.kill()
        outcomes = [each.result() for each in sent]
        _check(servers, stop, outcomes)
        statuses = [each.status for each in outcomes]
        assert statuses == [200] * 4 + [503] * 8


@pytest.mark.parametrize("apart_s", [0.0, 3.0])
def test_entries_that_leave_together_answer_all_requests(
    servers, tmp_path, apart_s
):
    # Guards against requests that the second of two leaving entries gets from
    # the first one and cuts at the end of its grace.
    servers.start("i-1", slots=4)
    names = ["a-1", "a-2"]
    with _deployed(servers, tmp_path, names) as (running, executor):
        _warm_up(servers, running, executor, names, _call_work(1.0))
        end_s = time.monotonic() + 1.0 + apart_s + GRACE_S
        outcomes: list[Outcome] = []

        def load(route: str, turn: int) -> None:
            while time.monotonic() < end_s:
                try:
                    outcome = _send(running, names[turn % 2], route)
                except ConnectionError:
                    time.sleep(0.1)
                else:
                    outcomes.append(outcome)
                    turn += outcome.status != 200
                    time.sleep(0.0 if outcome.status == 200 else 0.3)

        loads = [
            executor.submit(load, route, turn)
            for route in _KINDS
            for turn in range(8)
        ]
        time.sleep(1.0)
        first = _Stop(running, names[0])
        time.sleep(apart_s)
        second = _Stop(running, names[1])
        first.kill()
        second.kill()
        for each in loads:
            each.result()
        print(first.at(second.begin_s))
        _check(servers, first, outcomes)
        assert {each.status for each in outcomes} <= {200, 429, 503}


def test_signals_in_series_change_nothing(servers, tmp_path):
    # Guards against a second signal that restarts the stop or ends it early.
    servers.start("i-1", slots=2)
    with _deployed(servers, tmp_path) as (running, executor):
        _warm_up(servers, running, executor, ["a-1"], _call_work(2.0))
        before = len(servers.received)
        sent = [
            executor.submit(_send, running, "a-1", route)
            for route in ("once", "again") * 4
        ]
        assert deployment.wait_until(
            lambda: len(servers.received) >= before + 2
        )
        stop = _Stop(running, "a-1")
        series = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        for number in itertools.islice(itertools.cycle(series), 12):
            time.sleep(0.4)
            running.signal("a-1", number)
        stop.kill()
        outcomes = [each.result() for each in sent]
        _check(servers, stop, outcomes)
        assert sum(each.status == 200 for each in outcomes) >= 4
        assert running.log("a-1").count('"event": "refusing"') == 1
