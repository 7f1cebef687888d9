"""Servers whose answers have a malformed head, or break off an upload."""

import pytest

from cardamombarrow.platform.tests import early_answers
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

pytestmark = pytest.mark.process

_MALFORMED_LENGTHS = {
    "letters": b"Content-Length: 4x2",
    "sign": b"Content-Length: +%d",
    "negative": b"Content-Length: -%d",
    "hexadecimal": b"Content-Length: 0x%d",
    "fraction": b"Content-Length: %d.0",
    "underscore": b"Content-Length: 1_%d",
    "blank inside": b"Content-Length: 1 %d",
    "empty": b"Content-Length:",
    "control byte": b"Content-Length: %d\x01",
    "zero byte": b"Content-Length: \x00%d",
    "two values": b"Content-Length: 12, %d",
    "two fields": b"Content-Length: 12\r\nContent-Length: %d",
    "other length": b"Content-Length: 5\r\nTransfer-Encoding: chunked",
    "length and chunks": b"Transfer-Encoding: chunked\r\nContent-Length: %d",
    "length twice": b"Content-Length: %d\r\nContent-Length: %d",
    "other coding": b"Transfer-Encoding: chunkee",
    "coding twice": b"Transfer-Encoding: chunked, chunked",
    "no coding": b"Transfer-Encoding:",
}
"""Lines in place of the one that tells the length of the body."""

_NO_FIELDS = {
    "no colon": b"Content-Length %d",
    "garbage": b"\x9c\xfe\x00\x07garbage",
    "text": b"garbage",
    "empty name": b": %d",
    "folded": b"X-Note: a\r\n garbage",
    "folded seal": b" garbage",
    "folded by a tab": b"\tgarbage: 1",
    "carriage return": b"X-Note: a\rContent-Length: 5",
}
"""Lines that are no fields."""

_MALFORMED_VALUES = {
    "control byte": b"X-Note: a\x01",
    "delete": b"X-Note: \x7f",
    "escape": b"X-Note: \x1b[2J",
    "zero byte": b"X-Note: a\x00b",
}
"""Fields whose value holds a byte that values can't hold."""

_MALFORMED_NAMES = {
    "blank inside": b"Content Length: %d",
    "blank before": b" Content-Length: %d",
    "tab before": b"\tContent-Length: %d",
    "blank behind": b"Content-Length : %d",
    "control byte": b"Content\x01-Length: %d",
    "zero byte": b"Content-Length\x00: %d",
    "delete": b"Content-Length\x7f: %d",
    "of another field": b"X Note: a",
    "of another field, control byte": b"X-N\x02ote: a",
}
"""Fields whose name holds a byte that names can't hold."""

_FRAMINGS = [
    (standin.Framing.LENGTH, "text/plain"),
    (standin.Framing.CHUNKED, "text/event-stream"),
    (standin.Framing.CLOSE, "text/plain"),
]


@pytest.fixture(scope="module")
def running(servers, tmp_path_factory):
    for number in range(3):
        servers.start(f"i-{number}")
    plan = early_answers.plan(servers.listing_url, {"a": ["a-1"]})
    folder = tmp_path_factory.mktemp("malformed")
    with deployment.Deployment(plan, folder) as started:
        yield started


def _call(running, servers, answer):
    """Returns what a caller sees of an answer that one server has given it.

    The request may run once, so no other server may get it.
    """
    assert deployment.wait_until(lambda: _is_served(running, servers))
    servers.script = lambda received: answer
    before = len(servers.received)
    seen = stream_client.call(running, "once", "1.1")
    assert len(servers.received) == before + 1
    return seen


def _is_served(running, servers):
    """Ends the probation of the servers by sound answers."""
    servers.script = lambda received: standin.Answer()
    return stream_client.call(running, "again", "1.1").status == 200


def _replace_length(line):
    """Returns a head in which a line stands for the length of the body."""

    def alter(head):
        kept = [
            each
            for each in head.split(b"\r\n")
            if not each.lower().startswith((b"content-length", b"transfer-"))
        ]
        length = len(stream_client.whole())
        text = line.replace(b"%d", b"%d" % length)
        return b"\r\n".join([*kept[:-2], text, b"", b""])

    return alter


def _add(line):
    """Returns a head that holds one more line."""

    def alter(head):
        length = len(stream_client.whole())
        text = line.replace(b"%d", b"%d" % length)
        return head[:-2] + text + b"\r\n\r\n"

    return alter


@pytest.mark.parametrize("content_type", ["text/plain", "text/event-stream"])
@pytest.mark.parametrize(
    "line", _MALFORMED_LENGTHS.values(), ids=_MALFORMED_LENGTHS
)
def test_an_answer_with_a_malformed_length_is_no_success(
    running, servers, line, content_type
):
    # Guards against a body that ends elsewhere than the server's.
    is_chunked = b"Transfer-Encoding: chunked" in line.split(b"\r\n")
    answer = standin.Answer(
        standin.Framing.CHUNKED if is_chunked else standin.Framing.CLOSE,
        alter_head=_replace_length(line),
        content_type=content_type,
    )
    assert _call(running, servers, answer).status != 200


def _with_body(length, behind=b""):
    """Returns a head with a length, and a whole body in the same segment."""

    def alter(head):
        line = b"Content-Length: %d" % length
        return _replace_length(line)(head) + stream_client.whole() + behind

    return alter


@pytest.mark.parametrize("content_type", ["text/plain", "text/event-stream"])
@pytest.mark.parametrize(
    "missing_bytes", [1, 5, 54, len(stream_client.whole())]
)
def test_an_answer_whose_body_exceeds_its_length_is_no_success(
    running, servers, missing_bytes, content_type
):
    # Guards against the beginning of a body that is taken for all of it.
    length = len(stream_client.whole()) - missing_bytes
    answer = standin.Answer(
        standin.Framing.LENGTH,
        alter_head=_with_body(length),
        content_type=content_type,
        pieces=(),
    )
    assert _call(running, servers, answer).status != 200


@pytest.mark.parametrize("content_type", ["text/plain", "text/event-stream"])
@pytest.mark.parametrize(
    "behind",
    [b"HTT", b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"],
)
def test_an_answer_that_another_one_follows_is_a_success(
    running, servers, behind, content_type
):
    # Guards against sound answers that are lost for what follows them.
    whole = stream_client.whole()
    answer = standin.Answer(
        standin.Framing.LENGTH,
        alter_head=_with_body(len(whole), behind),
        content_type=content_type,
        pieces=(),
    )
    seen = _call(running, servers, answer)
    assert seen == stream_client.Seen(200, whole, looks_complete=True)


@pytest.mark.parametrize(("framing", "content_type"), _FRAMINGS)
@pytest.mark.parametrize("line", _NO_FIELDS.values(), ids=_NO_FIELDS)
def test_an_answer_with_a_line_that_is_no_field_is_no_success(
    running, servers, line, framing, content_type
):
    # Guards against such lines that are passed on, or joined to other fields.
    answer = standin.Answer(
        framing, alter_head=_add(line), content_type=content_type
    )
    assert _call(running, servers, answer).status != 200


@pytest.mark.parametrize(
    "status",
    [b"000", b"0", b"099", b"600", b"999", b"20", b"2000", b"-20", b"2 0"],
)
def test_an_answer_without_a_known_status_is_no_answer(
    running, servers, status
):
    # Guards against a status that no caller can understand.
    answer = standin.Answer(
        alter_head=lambda head: head.replace(b" 200 ", b" %b " % status, 1)
    )
    assert _call(running, servers, answer).status == 502


@pytest.mark.parametrize(("framing", "content_type"), _FRAMINGS)
@pytest.mark.parametrize(
    "line", _MALFORMED_NAMES.values(), ids=_MALFORMED_NAMES
)
def test_an_answer_with_a_malformed_field_name_is_no_success(
    running, servers, line, framing, content_type
):
    # Guards against names that callers read differently, or not at all.
    answer = standin.Answer(
        framing, alter_head=_add(line), content_type=content_type
    )
    assert _call(running, servers, answer).status != 200


@pytest.mark.parametrize(("framing", "content_type"), _FRAMINGS)
@pytest.mark.parametrize(
    "line", _MALFORMED_VALUES.values(), ids=_MALFORMED_VALUES
)
def test_an_answer_with_a_malformed_field_value_is_no_success(
    running, servers, line, framing, content_type
):
    # Guards against control bytes that reach callers and their terminals.
    answer = standin.Answer(
        framing, alter_head=_add(line), content_type=content_type
    )
    assert _call(running, servers, answer).status != 200


@pytest.mark.parametrize("line", [b"garbage", b" folded", b"X-Note: \x01"])
def test_a_repeatable_request_is_answered_by_another_server(
    running, servers, line
):
    # Guards against callers that see a failure which another server mends.
    assert deployment.wait_until(lambda: _is_served(running, servers))
    answers = iter((standin.Answer(alter_head=_add(line)), standin.Answer()))
    servers.script = lambda received: next(answers)
    seen = stream_client.call(running, "again", "1.1")
    whole = stream_client.whole()
    assert seen == stream_client.Seen(200, whole, looks_complete=True)


def test_the_log_says_what_was_wrong_with_an_answer(running, servers):
    answer = standin.Answer(alter_head=_add(b"garbage"))
    _call(running, servers, answer)
    settled = [
        line
        for line in running.log("a-1").splitlines()
        if '"decision": "settle"' in line and "header field 5" in line
    ]
    assert settled


@pytest.fixture(scope="module")
def early_servers():
    with early_answers.EarlyServers() as started:
        started.start("i-0")
        yield started


@pytest.fixture(scope="module")
def running_uploads(early_servers, tmp_path_factory):
    plan = early_answers.plan(early_servers.listing_url, {"a": ["a-1"]})
    folder = tmp_path_factory.mktemp("uploads")
    with deployment.Deployment(plan, folder) as started:
        yield started


@pytest.mark.parametrize("read_bytes", early_answers.READ_BYTES)
@pytest.mark.parametrize("pauses_s", early_answers.PAUSES_S)
def test_a_part_of_an_answer_during_an_upload_does_not_look_complete(
    running_uploads, early_servers, pauses_s, read_bytes
):
    # Guards against a reset that a failed write hides from the reader.
    early_answers.check_part(
        running_uploads, early_servers, pauses_s, read_bytes
    )
