"""Whether an entry takes itself for cut off from all endpoints."""

import threading

import pytest

from cardamombarrow.forwarding import reachability as reachability_module
from cardamombarrow.kernel import ids
from tools import deployment

_ENDPOINTS = [ids.EndpointId(f"127.0.0.1:{port}") for port in (1, 2, 3)]
_SERVICE = ids.ServiceId("models")
_OTHER = ids.ServiceId("shop")
_QUIET_S = 0.2


class _Network:
    """Connections that succeed or fail.

    Attributes:
        is_up: Whether they succeed.
        tried: How often endpoints were tried.
    """

    def __init__(self):
        self.is_up = True
        self.tried = 0

    def connects(self, endpoints, timeout_s):
        self.tried += 1
        return self.is_up


@pytest.fixture
def network():
    return _Network()


@pytest.fixture
def reachability(network):
    part = reachability_module.Reachability(
        lambda: {_SERVICE: _ENDPOINTS, _OTHER: _ENDPOINTS},
        connects=network.connects,
    )
    part.start()
    yield part
    part.stop()


def _fail(reachability, count):
    for endpoint in _ENDPOINTS[:count]:
        reachability.record(_SERVICE, endpoint, connected=False)


def test_one_failed_endpoint_tries_no_other(reachability, network):
    # Guards against connections of all entries to all endpoints at each crash.
    _fail(reachability, 1)
    threading.Event().wait(_QUIET_S)
    assert network.tried == 0
    assert not reachability.is_cut_off(_SERVICE)


def test_failed_endpoints_beside_one_that_connects_are_down(
    reachability, network
):
    # Guards against forwarding requests because some endpoints have crashed.
    _fail(reachability, 2)
    assert deployment.wait_until(lambda: network.tried == 1)
    threading.Event().wait(_QUIET_S)
    assert not reachability.is_cut_off(_SERVICE)
    assert network.tried == 1


def test_an_entry_without_any_path_is_cut_off_until_one_connects(
    reachability, network
):
    network.is_up = False
    _fail(reachability, 2)
    assert deployment.wait_until(lambda: reachability.is_cut_off(_SERVICE))
    network.is_up = True
    assert deployment.wait_until(lambda: not reachability.is_cut_off(_SERVICE))
    tried = network.tried
    threading.Event().wait(2 * reachability_module.RETRY_INTERVAL_S)
    assert network.tried == tried


def test_a_service_is_cut_off_by_itself(reachability, network):
    # Guards against an entry that holds on to a service whose paths it has
    # lost, because it reaches others.
    network.is_up = False
    _fail(reachability, 2)
    assert deployment.wait_until(lambda: reachability.is_cut_off(_SERVICE))
    assert not reachability.is_cut_off(_OTHER)
    assert not reachability.is_cut_off_from_all()
    reachability.record(_OTHER, _ENDPOINTS[0], connected=True)
    assert reachability.cut_off() == {_SERVICE}


def test_an_entry_without_endpoints_does_not_spin(network):
    # Guards against a thread that takes a whole core when the list is empty.
    part = reachability_module.Reachability(dict, connects=network.connects)
    part.start()
    part.record(_SERVICE, _ENDPOINTS[0], connected=False)
    assert deployment.wait_until(lambda: part.is_cut_off(_SERVICE))
    assert network.tried == 0
    part.stop()


def test_a_refused_and_a_silent_address_do_not_connect():
    assert not reachability_module.any_connects([_ENDPOINTS[0]], 0.2)
    assert not reachability_module.any_connects([], 0.2)
