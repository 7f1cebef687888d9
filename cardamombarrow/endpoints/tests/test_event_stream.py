"""Tests of splitting streams into events."""

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.endpoints import answer_body
from cardamombarrow.endpoints import base
from cardamombarrow.endpoints import event_stream
from cardamombarrow.kernel import errors

_LINE_ENDS = (b"\n", b"\r\n", b"\r")
_STREAM = {"content-type": "text/event-stream"}


@hypothesis.given(
    strategies.sampled_from(_LINE_ENDS),
    strategies.lists(strategies.integers(1, 3), min_size=1, max_size=5),
    strategies.lists(strategies.integers(1, 9), max_size=30),
)
def test_only_complete_events_are_passed_on(line_end, sizes, cuts):
    # Guards against half an event at the end of a piece, however it arrives.
    events = [
        line_end.join([*(b"data: %d" % number for number in range(size)), b""])
        + line_end
        for size in sizes
    ]
    ends = {0}
    stream = b""
    for each in events:
        stream += each
        ends.add(len(stream))
        # The last byte of CR LF changes nothing about the event before it.
        ends.add(len(stream) - (line_end == b"\r\n"))
    splitter = event_stream.EventSplitter()
    passed, position = b"", 0
    for size in [*cuts, len(stream)]:
        passed += splitter.feed(stream[position : position + size])
        position += size
        assert len(passed) in ends
        assert (passed + splitter.partial) == stream[:position]
    assert (passed + splitter.partial) == stream
    assert not splitter.inside_event


@pytest.mark.parametrize("line_end", _LINE_ENDS)
@pytest.mark.parametrize("size", range(1, 22))
def test_a_stream_that_ends_in_an_event_is_noticed(line_end, size):
    event = line_end.join((b"id: 1", b"data: abcd", b"", b""))
    splitter = event_stream.EventSplitter()
    splitter.feed(b"data: first\n\n" + event[:size])
    whole = size >= len(event) - (line_end == b"\r\n")
    assert splitter.inside_event is not whole


@pytest.mark.parametrize("between", [b"\n", b"\r\n", b": idle\n", b":\r: x\r"])
def test_comments_and_empty_lines_after_an_event_are_whole(between):
    # Guards against whole streams that fail since they end with a comment.
    splitter = event_stream.EventSplitter()
    splitter.feed(b"data: a\n\n" + between)
    assert not splitter.inside_event


@pytest.mark.parametrize("line_end", _LINE_ENDS)
@pytest.mark.parametrize(
    ("lines", "has_event"),
    [
        ((b": idle", b"", b""), False),
        ((b"", b"", b""), False),
        ((b"id: 7", b"", b""), False),
        ((b": data: no", b"", b""), False),
        ((b"data: a", b"", b""), True),
        ((b"data", b"", b""), True),
        ((b": idle", b"", b"event: a", b"data:b", b"", b""), True),
        ((b"data: a begin", b"", b"", b": idle", b"", b""), True),
    ],
)
@pytest.mark.parametrize("piece_bytes", [1, 1_000])
def test_only_data_brings_a_stream_forward(
    line_end, lines, has_event, piece_bytes
):
    # Guards against comments that are taken for the progress of an answer.
    stream = line_end.join(lines)
    splitter = event_stream.EventSplitter()
    progressed, passed = False, b""
    for begin in range(0, len(stream), piece_bytes):
        passed += splitter.feed(stream[begin : begin + piece_bytes])
        progressed = progressed or splitter.progressed
    assert progressed is has_event
    assert event_stream.has_event(passed) is has_event


def test_comments_between_events_are_passed_on_without_limit(monkeypatch):
    # Guards against a long answer that is cut for all of its keep-alives.
    monkeypatch.setattr(event_stream, "MAX_EVENT_BYTES", 100)
    splitter = event_stream.EventSplitter()
    passed = [
        splitter.feed(each)
        for _ in range(50)
        for each in (b": idle\n\n", b"data: a\n\n")
    ]
    assert b"".join(passed).count(b": idle\n\n") == 50


def test_a_stream_of_comments_that_is_closed_is_not_whole():
    # Guards against an endpoint that exits before its first event.
    body = answer_body.AnswerBody(base.Head(200, _STREAM))
    body.feed(b": idle\n\n")
    with pytest.raises(errors.EndpointError):
        body.finish()


def test_an_event_without_an_end_is_not_buffered_without_limit(monkeypatch):
    # Guards against a faulty endpoint that fills the memory of an entry.
    monkeypatch.setattr(event_stream, "MAX_EVENT_BYTES", 100)
    body = answer_body.AnswerBody(base.Head(200, _STREAM))
    body.feed(b"x" * 100)
    with pytest.raises(errors.EndpointError) as caught:
        body.feed(b"x")
    assert caught.value.kind is errors.ErrorKind.ANSWER_CUT


@pytest.mark.parametrize(
    ("framing", "broke"),
    [({}, True), ({"content-length": "9"}, False)],
)
def test_only_the_end_of_a_connection_can_mean_a_crash(framing, broke):
    # Guards against a probe and a suspicion after an endpoint gave a stream up.
    body = answer_body.AnswerBody(base.Head(200, {**_STREAM, **framing}))
    body.feed(b"data: a")
    with pytest.raises(errors.EndpointError) as caught:
        body.finish()
    assert caught.value.connection_broke is broke


@pytest.mark.parametrize(("framed", "fails"), [(True, False), (False, True)])
def test_a_stream_without_events_is_whole_only_if_it_is_framed(framed, fails):
    # Guards against an endpoint that exits right after the head.
    framing = {"content-length": "0"} if framed else {}
    body = answer_body.AnswerBody(base.Head(200, {**_STREAM, **framing}))
    if not fails:
        assert body.finish() == b""
        return
    with pytest.raises(errors.EndpointError):
        body.finish()


@pytest.mark.parametrize("data", [b": hello\n\n", b"\n\n", b":\r\r: x\r\r"])
def test_a_stream_without_framing_that_has_only_comments_is_not_whole(data):
    # Guards against an endpoint that exits after a comment that keeps alive.
    body = answer_body.AnswerBody(base.Head(200, _STREAM))
    body.feed(data)
    with pytest.raises(errors.EndpointError):
        body.finish()
