"""Leaving endpoints and entries that drain, with real processes."""

from concurrent import futures
import json
import signal
import time

import pytest

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from tools import caller
from tools import deployment

pytestmark = pytest.mark.process

LEAVING_TIMEOUT_S = 3.0
"""Time after which a leaving endpoint gets no new requests."""

_STREAM_TOKENS = 150


@pytest.fixture
def running(kandula_text, tmp_path):
    plan = deployment.Plan(
        document=kandula_text,
        entries={"nuwara-a": ["entry-1"]},
        controls={"nuwara-a": ["control-1"]},
        engine_options=("--token-s", "0.03", "--report-lag-s", "0.2"),
        entry_extra={"calls": "drain_notice_s = 2\n"},
    )
    with deployment.Deployment(plan, tmp_path) as started:
        yield started


def _complete(running, **options) -> caller.CallerAnswer:
    return caller.complete(
        running.entries["entry-1"],
        "digest-desk",
        model="trail-7b",
        timeout_s=40,
        **options,
    )


def _post(url: str, content: dict) -> None:
    http_get.fetch(
        url, timeout_s=5, method="POST", body=json.dumps(content).encode()
    )


def _get(url: str) -> bytes:
    return http_get.fetch(url, timeout_s=5).body


def _runs(address: str) -> list[dict]:
    return json.loads(_get(f"http://{address}/standin/runs"))


@pytest.mark.parametrize("teller", ["platform", "report"])
def test_leaving_endpoint_gets_no_new_requests(running, teller):
    # The platform's list or the engine's own load report marks the engine as
    # leaving while streams run on it. New requests must go to other engines
    # within a few seconds, and the running streams must complete.
    leaving = running.engines["report-writer"][0]
    with futures.ThreadPoolExecutor(8) as executor:
        streams = [
            executor.submit(_complete, running, tokens=_STREAM_TOKENS)
            for _ in range(6)
        ]
        assert deployment.wait_until(lambda: len(_runs(leaving)) > 0)
        if teller == "platform":
            base = running.listing_url.removesuffix("/v1/listing")
            _post(
                f"{base}/standin/state",
                {"address": leaving, "state": "leaving"},
            )
            assert deployment.wait_until(
                lambda: b"leaving" in _get(running.listing_url)
            )
            assert deployment.wait_until(
                lambda: b"leaving" in _get(running.listing_url)
            )
            assert deployment.wait_until(
                lambda: b"leaving" in _get(running.listing_url)
            )
        else:
            _post(f"http://{leaving}/standin/behaviour", {"leaving": True})
        time.sleep(LEAVING_TIMEOUT_S)
        before = len(_runs(leaving))
        for number in range(8):
            assert (
                _complete(running, tokens=2, prompt=str(number)).status == 200
            )
        assert len(_runs(leaving)) == before
        for future in streams:
            answer = future.result()
            assert caller.answer_content(answer) == caller.expected_content(
                answer, _STREAM_TOKENS
            )


def test_draining_entry_completes_streams(running):
    # An entry gets a stop signal, and more of them while it drains. The
    # balancer still sends requests for some seconds while long streams run. No
    # answer may be cut off.
    url = running.entries["entry-1"]

    def placed() -> int:
        return running.log("entry-1").count('"decision": "place"')

    before = placed()
    with futures.ThreadPoolExecutor(8) as executor:
        streams = [
            executor.submit(_complete, running, tokens=_STREAM_TOKENS)
            for _ in range(6)
        ]
        assert deployment.wait_until(lambda: placed() >= before + 6)
        running.signal("entry-1", signal.SIGTERM)
        assert deployment.wait_until(
            lambda: http_get.fetch(f"{url}/readyz", timeout_s=5).status == 503
        )
        ready = http_get.fetch(f"{url}/readyz", timeout_s=5)
        assert json.loads(ready.body)["error"]["code"] == "draining"
        assert _complete(running, tokens=2, prompt="late").status == 200
        running.signal("entry-1", signal.SIGTERM)
        running.signal("entry-1", signal.SIGINT)
        for future in streams:
            answer = future.result()
            assert caller.answer_content(answer) == caller.expected_content(
                answer, _STREAM_TOKENS
            )
    assert running.processes["entry-1"].wait(timeout=30) == 0
    with pytest.raises(errors.EndpointError):
        http_get.fetch(f"{url}/healthz", timeout_s=1)


def test_entry_without_a_document_is_not_ready(running):
    # All control processes are down when an entry starts. The entry must answer
    # health checks, report that it is not ready, and serve once it has fetched
    # a document.
    url = running.entries["entry-1"]
    for name in ("entry-1", "control-1"):
        running.processes[name].kill()
        running.processes[name].wait()
    running.start_instance("entry-1")

    def fetch(path: str) -> http_get.Reply | None:
        try:
            return http_get.fetch(url + path, timeout_s=2)
        except errors.EndpointError:
            return None

    assert deployment.wait_until(lambda: fetch("/healthz") is not None)
    ready = fetch("/readyz")
    assert ready.status == 503
    assert json.loads(ready.body)["error"]["code"] == "not_ready"
    answer = _complete(running, tokens=2)
    assert answer.error["code"] == "not_ready"
    assert answer.error["not_run"] is True
    running.start_instance("control-1")
    running.wait_ready("entry-1")
    assert _complete(running, tokens=2).status == 200


def test_draining_entry_refuses_calls_after_the_notice_time(running):
    # A balancer without another entry sends requests as long as the port is
    # open. Requests accepted after the notice time would be cut off when the
    # process is killed, so they must be refused with a retryable error.
    url = running.entries["entry-1"]
    with futures.ThreadPoolExecutor(2) as executor:
        stream = executor.submit(_complete, running, tokens=_STREAM_TOKENS)
        assert deployment.wait_until(
            lambda: '"decision": "place"' in running.log("entry-1")
        )
        running.signal("entry-1", signal.SIGTERM)
        assert deployment.wait_until(
            lambda: '"event": "refusing"' in running.log("entry-1")
        )
        refused = caller.complete(url, "digest-desk", model="trail-7b")
        assert refused.status == 503
        error = json.loads(refused.body)["error"]
        assert (error["code"], error["not_run"]) == ("draining", True)
        answer = stream.result()
    assert caller.answer_content(answer) == caller.expected_content(
        answer, _STREAM_TOKENS
    )
