"""Answers of which one byte of the head is damaged."""

import re

import pytest

from cardamombarrow.endpoints import answer_parser

_BODY = b"hello, world"
_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n"
    b"X-Checksum: 3e1b.07.5a2\r\n\r\n"
)
_HEAD_END = re.compile(rb"\n\r?\n")
_BYTES = b" \t\r\n\x00\x01\x7f\xff:;,+-x09"


def _read(raw, step):
    """Returns the body of an answer that arrives in parts; None if refused."""
    parser = answer_parser.AnswerParser()
    parser.start_request("GET", "/", [("Host", "a")], b"")
    body = b""
    try:
        for start in range(0, len(raw), step):
            parser.receive(raw[start : start + step])
            body += parser.take_body()
            if parser.whole:
                break
        if not parser.whole:
            parser.receive(b"")
    except answer_parser.InvalidAnswerError:
        return None
    return None if parser.exceeds_length else body


@pytest.mark.parametrize("step", [1, 7, 1_000])
def test_a_sound_answer_is_read_in_parts_of_any_size(step):
    assert _read(_HEAD + _BODY, step) == _BODY


@pytest.mark.parametrize("place", range(len(_HEAD)))
def test_a_damaged_head_brings_no_other_body(place):
    # Guards against a damaged length that is skipped, or read as another one.
    taken = set()
    for byte in _BYTES:
        raw = _HEAD[:place] + bytes((byte,)) + _HEAD[place + 1 :]
        # A head that ends before its length has none.
        end = _HEAD_END.search(raw)
        if end is None or end.end() == len(raw):
            taken.add(_read(raw + _BODY, len(raw + _BODY)))
    assert taken <= {None, _BODY}


@pytest.mark.parametrize("place", range(len(_HEAD)))
def test_a_head_without_one_byte_brings_no_other_body(place):
    # Guards against lines that lose their end, and lengths that lose a digit.
    raw = _HEAD[:place] + _HEAD[place + 1 :] + _BODY
    assert _read(raw, len(raw)) in (None, _BODY)
