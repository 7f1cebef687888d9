"""Compression of texts that are sent between instances."""

import zlib

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.document import packing


@hypothesis.given(strategies.text())
def test_a_text_survives_packing(text):
    assert packing.unpack(packing.pack(text)) == text


def test_a_document_with_many_routes_is_compressed_well():
    # Uncompressed, the editions of a burst of changes take more traffic
    # between regions than all requests and answers of callers.
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
        zlib.compress(bytes(packing.MAX_TEXT_BYTES + 1)),
    ],
    ids=["empty", "plain", "cut", "no UTF-8", "too long"],
)
def test_invalid_packed_data_is_rejected(packed):
    with pytest.raises(ValueError):
        packing.unpack(packed)
