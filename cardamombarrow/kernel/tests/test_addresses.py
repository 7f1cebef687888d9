"""Tests of the parsing of ``host:port``."""

import pytest

from cardamombarrow.kernel import addresses
from cardamombarrow.kernel.tests import odd_values


@pytest.mark.parametrize(
    ("address", "parts"),
    [
        ("10.0.0.9:8080", ("10.0.0.9", 8080)),
        ("[::1]:80", ("::1", 80)),
        ("localhost:1", ("localhost", 1)),
        ("entry-1.zone_a.example:65535", ("entry-1.zone_a.example", 65535)),
    ],
)
def test_an_address_is_split(address, parts):
    assert addresses.split(address) == parts


@pytest.mark.parametrize("address", odd_values.ADDRESSES, ids=ascii)
def test_what_no_socket_can_connect_to_is_refused(address):
    # Guards against sockets that raise `OverflowError` or `UnicodeError`.
    assert not addresses.is_valid(address)
    with pytest.raises(ValueError):
        addresses.split(address)
