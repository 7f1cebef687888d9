"""Endpoints that crash, refuse, stall, answer late or break connections."""

from concurrent import futures
import contextlib
from http import client
import json
import re
import signal

import pytest

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from tools import caller
from tools import deployment

pytestmark = pytest.mark.process

_DIGEST = "fd501e4e4eabb3b62f313e4d323048dfbddebb4d702c7b63512125b3fa21dd28"
_SHOP_SLOTS = 3
_DOCUMENT = f"""
[tier:race]
rank = 0
[class:question]
tier = race
target_first_token_s = 5
target_total_s = 30
[class:hurried]
tier = race
target_first_token_s = 0.5
target_total_s = 1
[workspace:desk]
key_sha256 = {_DIGEST}
classes = question, hurried
[service:lone]
kind = engine
stall_limit_s = 2
endpoints.a = 10.0.0.1:80
[service:pair]
kind = engine
stall_limit_s = 2
endpoints.a = 10.0.0.2:80, 10.0.0.3:80
[service:shop]
kind = plain
slots_per_endpoint = {_SHOP_SLOTS}
unrepeatable = POST /charge, POST /refund
endpoints.a = 10.0.0.4:80
[model:lone]
service = lone
[model:pair]
service = pair
[policies]
admission = bounded
choice = round-robin
retry = immediate
[owner:operations]
token_sha256 = {_DIGEST}
sections = *
"""


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    plan = deployment.Plan(
        document=_DOCUMENT,
        entries={"a": ["entry-1"]},
        controls={"a": ["control-1"]},
        engine_options=("--token-s", "0.05"),
    )
    folder = tmp_path_factory.mktemp("failures")
    with deployment.Deployment(plan, folder) as started:
        yield started


def _fetch(address: str, path: str, body: bytes | None = None) -> bytes:
    method = "GET" if body is None else "POST"
    return http_get.fetch(
        f"http://{address}{path}", timeout_s=5, method=method, body=body
    ).body


def _runs(running, service: str) -> list[dict]:
    return [
        run
        for address in running.engines[service]
        for run in json.loads(_fetch(address, "/standin/runs"))
    ]


@contextlib.contextmanager
def _changed_behaviour(address: str, **changes):
    """Changes how a stand-in behaves, then restores the defaults."""
    _fetch(address, "/standin/behaviour", json.dumps(changes).encode())
    try:
        yield
    finally:
        defaults = {name: type(value)() for name, value in changes.items()}
        defaults.update({"token_s": 0.05} if "token_s" in defaults else {})
        _fetch(address, "/standin/behaviour", json.dumps(defaults).encode())


@contextlib.contextmanager
def _killed(running, address: str):
    """Kills a stand-in, then restarts it."""
    name = f"engine-{address}"
    running.signal(name, signal.SIGKILL)
    running.processes[name].wait()
    try:
        yield
    finally:
        running.start_engine(address)
        assert deployment.wait_until(lambda: _is_up(address))


def _is_up(address: str) -> bool:
    with contextlib.suppress(errors.EndpointError):
        return bool(_fetch(address, "/metrics"))
    return False


def _complete(running, model: str, **options) -> caller.CallerAnswer:
    return caller.complete(
        running.entries["entry-1"], "desk", model=model, **options
    )


def _log_lines(running) -> list[dict]:
    return list(map(json.loads, running.log("entry-1").splitlines()))


def _broken_connections(running) -> list[dict]:
    # Lines are written by a thread of their own, in order: those of requests
    # that were answered before are complete once a later one is logged.
    assert _complete(running, "lone", tokens=1).status == 200
    request_id = _runs(running, "lone")[-1]["request_id"]
    assert deployment.wait_until(
        lambda: any(
            line.get("request_id") == request_id for line in _log_lines(running)
        )
    )
    return [
        line
        for line in _log_lines(running)
        if line["event"] == "connection broke"
    ]


def _wasted_tokens(running) -> int:
    url = running.entries["entry-1"].removeprefix("http://")
    text = _fetch(url, "/metrics").decode()
    return sum(map(int, re.findall(r"wasted_tokens_total\{.*\} (\d+)", text)))


def _assert_incomplete(answer: caller.CallerAnswer, code: str) -> None:
    assert answer.status == 200
    assert answer.body.startswith(b"data: ")
    assert b"[DONE]" not in answer.body
    assert answer.error["code"] == code
    assert answer.error["not_run"] is False


def test_broken_stream_ends_with_an_error_event(running):
    # The connection to the engine breaks in mid-answer. Without an error event
    # the caller would take the partial answer for a complete one. The engine is
    # still up, so it must not be counted as crashed, and the stream of another
    # caller on it must complete.
    before = len(_broken_connections(running))
    with futures.ThreadPoolExecutor(1) as executor:
        other = executor.submit(_complete, running, "lone", tokens=30)
        cut = _complete(running, "lone", prompt="standin-cut", tokens=9)
        _assert_incomplete(cut, "answer_cut")
        complete = other.result()
    assert caller.answer_content(complete) == caller.expected_content(
        complete, 30
    )
    assert _wasted_tokens(running) >= 3
    assert [
        line["crashed"] for line in _broken_connections(running)[before:]
    ] == [False]


def test_broken_json_answer_is_reported_as_an_error(running):
    # The connection to the engine breaks within a JSON answer. The caller must
    # get an error and no part of the answer.
    address = running.engines["lone"][0]
    with _changed_behaviour(address, short_answer=True):
        answer = _complete(running, "lone", stream=False)
    assert answer.status == 502
    error = json.loads(answer.body)["error"]
    assert error["code"] == "answer_cut"
    assert error["not_run"] is False


def test_crash_is_logged_once_with_all_running_requests(running):
    # An engine crashes while it runs three streams. Each caller must get an
    # error event; the crash must be counted once, with all three requests as
    # suspects.
    before = len(_broken_connections(running))
    address = running.engines["lone"][0]
    runs_before = len(_runs(running, "lone"))
    with futures.ThreadPoolExecutor(3) as executor:
        pending = [
            executor.submit(_complete, running, "lone", tokens=1_000)
            for _ in range(3)
        ]
        assert deployment.wait_until(
            lambda: (
                [r["tokens"] > 0 for r in _runs(running, "lone")[runs_before:]]
                == [True] * 3
            )
        )
        with _killed(running, address):
            for future in pending:
                _assert_incomplete(future.result(), "answer_cut")
    crashes = _broken_connections(running)[before:]
    assert [line["crashed"] for line in crashes] == [True]
    assert len(crashes[0]["suspects"]) == 3


def test_request_to_a_stopped_engine_is_not_run(running):
    # The engine's port is closed. The caller must learn at once that the
    # request did not run, so that sending it again can't cause a second run.
    with _killed(running, running.engines["lone"][0]):
        answer = _complete(running, "lone")
        assert answer.status == 503
        assert answer.error["code"] == "endpoint_unreached"
        assert answer.error["not_run"] is True
    assert _runs(running, "lone") == []


@pytest.mark.parametrize("failure", ["dead", "fails", "refuses", "cut"])
def test_failed_request_runs_on_the_other_engine(running, failure):
    # One of two engines is down, answers 500 or 503, or closes every connection
    # before the first token. Since no byte was sent to the caller, each request
    # must be run on the other engine.
    address = running.engines["pair"][0]
    faults = {
        "fails": _changed_behaviour(address, fail_status=500),
        "refuses": _changed_behaviour(address, fail_status=503),
        "cut": _changed_behaviour(address, cut_at_start=True),
    }
    with faults[failure] if failure in faults else _killed(running, address):
        for number in range(6):
            answer = _complete(running, "pair", prompt=f"{failure} {number}")
            assert caller.answer_content(answer) == caller.expected_content(
                answer, 5
            )


def test_not_run_matches_the_record_of_the_engine(running):
    # An overloaded engine refuses. `not_run` is checked against the engine's
    # own record, since callers rely on it to resend unrepeatable calls.
    before = _runs(running, "lone")
    with _changed_behaviour(running.engines["lone"][0], fail_status=503):
        answer = _complete(running, "lone")
    assert answer.error["code"] == "endpoint_refused"
    assert answer.error["not_run"] is True
    assert _runs(running, "lone") == before


def test_failed_request_may_have_run(running):
    # The engine answers 500; it is unknown whether it ran the request.
    with _changed_behaviour(running.engines["lone"][0], fail_status=500):
        answer = _complete(running, "lone")
    assert answer.status == 502
    assert answer.error["code"] == "endpoint_failed"
    assert answer.error["not_run"] is False


def test_503_of_a_plain_service_is_passed_on(running):
    # A plain service may answer 503 after it ran part of the call, and only the
    # caller can interpret that. The answer must be passed on and the call must
    # not be sent twice.
    with _changed_behaviour(running.engines["shop"][0], fail_plain_status=503):
        answers = [
            caller.service(
                running.entries["entry-1"],
                "desk",
                "shop/charge",
                body=b"urn",
                key="urn-1",
            )
            for _ in range(2)
        ]
    assert [answer.status for answer in answers] == [503, 503]
    assert len(_runs(running, "shop")) == 1


def test_answer_without_a_body_frees_its_slot(running):
    # The HTTP library never iterates the body of a 204 answer. If the slot were
    # released only there, the service would get no more requests after as many
    # of these answers as it has slots.
    url = running.entries["entry-1"]
    with _changed_behaviour(running.engines["shop"][0], fail_plain_status=204):
        for _ in range(_SHOP_SLOTS + 2):
            answer = caller.service(url, "desk", "shop/stock", body=b"x")
            assert (answer.status, answer.body) == (204, b"")


def test_silent_connection_is_not_reported_as_stalled(running):
    # A middlebox loses the state of a connection: no data arrives, while new
    # connections to the engine work. The stream must end with an error within
    # the stall limit, and the engine must not be counted as failed.
    with _changed_behaviour(running.engines["lone"][0], stall_after_tokens=3):
        answer = _complete(running, "lone", tokens=20)
    _assert_incomplete(answer, "connection_silent")


def test_frozen_engine_is_reported_as_stalled(running):
    # The engine's process is stopped: no token arrives, and a new connection
    # gets no answer either.
    name = f"engine-{running.engines['lone'][0]}"
    runs_before = len(_runs(running, "lone"))
    with futures.ThreadPoolExecutor(1) as executor:
        pending = executor.submit(_complete, running, "lone", tokens=100)
        assert deployment.wait_until(
            lambda: (
                [r["tokens"] > 0 for r in _runs(running, "lone")[runs_before:]]
                == [True]
            )
        )
        running.signal(name, signal.SIGSTOP)
        try:
            _assert_incomplete(pending.result(), "stalled")
        finally:
            running.signal(name, signal.SIGCONT)


def test_answer_after_the_deadline_is_discarded(running):
    # The answer exceeds its deadline. The caller gets a final error, the engine
    # is told to cancel, and what it still sends must not reach another caller.
    answer = _complete(running, "lone", request_class="hurried", tokens=60)
    _assert_incomplete(answer, "deadline")
    for number in range(3):
        after = _complete(running, "lone", prompt=f"after {number}")
        assert caller.answer_content(after) == caller.expected_content(after, 5)
    assert deployment.wait_until(
        lambda: "running" not in [r["outcome"] for r in _runs(running, "lone")]
    )


def _streaming_engine(running) -> str:
    for address in running.engines["pair"]:
        for run in json.loads(_fetch(address, "/standin/runs")):
            if run["outcome"] == "running" and run["tokens"] > 2:
                return address
    return ""


@pytest.mark.parametrize("failure", ["cut", "killed"])
def test_broken_stream_is_resumed_on_resumable_engines(running, failure):
    # The connection of a long stream breaks, or its engine crashes. On
    # resumable engines the stream continues at the next token: the caller must
    # get each token once, and none may be computed twice.
    first, second = running.engines["pair"]
    prompt = "standin-cut" if failure == "cut" else failure
    wasted_tokens = _wasted_tokens(running)
    with (
        _changed_behaviour(first, resumable=True),
        _changed_behaviour(second, resumable=True),
        futures.ThreadPoolExecutor(1) as executor,
    ):
        pending = executor.submit(
            _complete, running, "pair", prompt=prompt, tokens=60
        )
        if failure == "killed":
            assert deployment.wait_until(lambda: _streaming_engine(running))
            with _killed(running, _streaming_engine(running)):
                answer = pending.result()
        else:
            answer = pending.result()
    assert caller.answer_content(answer) == caller.expected_content(answer, 60)
    assert answer.body.endswith(b"data: [DONE]\n\n")
    assert _wasted_tokens(running) == wasted_tokens


def test_header_that_cannot_be_forwarded_frees_the_slot(running):
    # A header with non-ASCII characters made the preparation of the request
    # fail after its slot was taken. After some of these calls the service had
    # no free slot left.
    url = running.entries["entry-1"]
    for _ in range(2 * _SHOP_SLOTS):
        connection = client.HTTPConnection(url.removeprefix("http://"))
        connection.request(
            "POST",
            "/v1/services/shop/stock",
            b"x",
            {
                "Authorization": "Bearer desk-key",
                "Content-Type": "text/\u00e9",
            },
        )
        assert connection.getresponse().status == 400
        connection.close()
    assert caller.service(url, "desk", "shop/stock", method="GET").status == 200


def test_quoted_path_is_forwarded_unchanged(running):
    url = running.entries["entry-1"]
    answer = caller.service(url, "desk", "shop/a%20b%C3%A9", method="GET")
    assert json.loads(answer.body)["ran"] == "/a%20b%C3%A9"
