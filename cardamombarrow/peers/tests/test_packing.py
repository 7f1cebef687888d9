"""Texts that cross between control processes."""

import zlib

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.peers import packing


@hypothesis.given(strategies.text())
def test_a_text_comes_back_as_it_was(text):
    assert packing.unpack(packing.pack(text)) == text


def test_a_document_of_many_routes_is_small_on_the_way():
    # Sent as they are, the editions of a storm of changes cost more between
    # regions than all that callers ask and get.
    route = '{{"name":"r-{0}","host":"a.example","path":"/{0}/"}}'
    text = ",".join(route.format(number) for number in range(350))
    assert len(packing.pack(text)) < len(text) / 5


@pytest.mark.parametrize(
    "packed",
    [
        b"",
        b"plain text",
        packing.pack("cut short")[:-1],
        zlib.compress(b"\xff"),
        zlib.compress(bytes(packing.MOST_BYTES + 1)),
    ],
    ids=["empty", "plain", "cut", "no UTF-8", "too long"],
)
def test_what_is_no_packed_text_is_refused(packed):
    with pytest.raises(ValueError):
        packing.unpack(packed)
