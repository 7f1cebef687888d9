"""Servers whose answers end within the head, at every place of a head."""

import dataclasses
import time

import pytest

from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

pytestmark = pytest.mark.process

_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
_HEAD_BYTES = 90
"""Less than any head of the servers has."""

_STEP_BYTES = 7
_MOST_FAILURES = 30
_LISTED_S = 1.2
"""Time in which all entries have read the list."""

_ENDINGS = (standin.Ending.WHOLE, standin.Ending.RESET_BETWEEN_EVENTS)


@pytest.fixture(scope="module")
def running(servers, tmp_path_factory):
    for number in range(3):
        servers.start(f"i-{number}")
    folder = tmp_path_factory.mktemp("heads")
    plan = stream_client.plan(servers.listing_url, {"a": ["a-1", "a-2"]})
    with deployment.Deployment(plan, folder) as started:
        yield started


def _check(seen):
    assert seen.status in (200, 502, 503)
    if seen.status == 200:
        assert not seen.looks_complete or seen.body == stream_client.whole()


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("ending", _ENDINGS)
@pytest.mark.parametrize(
    ("framing", "interim", "content_type"),
    [
        (standin.Framing.LENGTH, b"", "text/plain"),
        (standin.Framing.CLOSE, b"", "text/plain"),
        (standin.Framing.CHUNKED, _INTERIM, "text/event-stream"),
    ],
)
def test_half_a_head_is_no_success(
    running, servers, framing, interim, content_type, ending, version
):
    # Guards against a success with an empty body that looks whole.
    for size in range(0, _HEAD_BYTES + len(interim), _STEP_BYTES):
        answer = standin.Answer(
            framing,
            ending,
            interim=interim,
            head_bytes=size,
            content_type=content_type,
        )
        servers.script = lambda received, answer=answer: answer
        assert stream_client.call(running, "once", version).status != 200


@pytest.mark.parametrize("ending", _ENDINGS)
@pytest.mark.parametrize("interim", [b"", _INTERIM])
@pytest.mark.parametrize("framing", standin.Framing)
def test_half_a_head_of_a_resumption_does_not_end_a_stream(
    running, servers, framing, interim, ending
):
    # Guards against half a head that is taken for the rest of a stream.
    cut = standin.Answer(framing, standin.Ending.CLOSED_IN_EVENT, sent=3)
    goes_on = []
    for size in range(0, _HEAD_BYTES + len(interim), _STEP_BYTES):
        half = standin.Answer(framing, ending, interim=interim, head_bytes=size)
        runs = iter((cut, half, dataclasses.replace(cut, ending=_ENDINGS[0])))
        servers.script = lambda received, runs=runs: next(runs)
        seen = stream_client.call(running, "again", "1.1")
        _check(seen)
        goes_on.append(seen.looks_complete)
    assert any(goes_on)


def test_a_request_that_no_server_may_get_is_refused_early(running, servers):
    # Guards against a wait until the caller's limit for servers that have all
    # failed, with no line that names it.
    answer = standin.Answer(head_bytes=40)
    servers.script = lambda received: answer
    for _ in range(_MOST_FAILURES):
        begun_s = time.monotonic()
        seen = stream_client.call(running, "once", "1.1")
        if seen.status == 503:
            break
    assert seen.status == 503
    assert time.monotonic() - begun_s < stream_client.LIMIT_MS / 1_000 / 3
    assert seen.retry_after_s < stream_client.LIMIT_MS / 1_000
    logs = [running.log(name) for name in running.entries]
    assert any('"waited_for": {"probation": 3}' in each for each in logs)


def test_interim_answers_are_skipped(running, servers):
    answer = standin.Answer(interim=2 * _INTERIM)
    servers.script = lambda received: answer
    seen = stream_client.call(running, "again", "1.1")
    whole = stream_client.whole()
    assert seen == stream_client.Seen(200, whole, looks_complete=True)


@pytest.mark.parametrize("size", [0, 17, 30, 49, 68, 80])
def test_half_a_list_changes_nothing(running, servers, size):
    # Guards against a list without servers, read from half an answer.
    answer = standin.Answer()
    servers.script = lambda received: answer
    servers.listing_bytes = size
    try:
        time.sleep(_LISTED_S)
        seen = stream_client.call(running, "again", "1.1")
    finally:
        servers.listing_bytes = None
    whole = stream_client.whole()
    assert seen == stream_client.Seen(200, whole, looks_complete=True)
