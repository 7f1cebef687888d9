"""Probes of endpoints whose address is no address."""

import pytest

from cardamombarrow.endpoints import base
from cardamombarrow.kernel import ids
from cardamombarrow.kernel.tests import odd_values


@pytest.mark.parametrize("address", odd_values.ADDRESSES, ids=ascii)
def test_a_probe_of_no_address_finds_nothing(address):
    # Guards against errors other than `OSError` in the thread that probes.
    endpoint = ids.EndpointId(address)
    assert not base.accepts_connections(endpoint)
    assert not base.refuses_connections(endpoint)
