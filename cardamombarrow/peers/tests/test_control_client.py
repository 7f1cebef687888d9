"""Which control process an entry follows."""

import pytest

from cardamombarrow.control import state
from cardamombarrow.kernel import ids
from cardamombarrow.log import local
from cardamombarrow.peers import control_client
from cardamombarrow.peers import control_pb2
from cardamombarrow.peers import control_service
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import server as server_module
from tools import deployment

_SECRET = "a-secret-of-the-tests"


class _Control:
    """One control process's side of the links."""

    def __init__(self, loop, port, domain):
        log = local.LocalLog(domain, state.ControlState())

        async def build():
            return control_service.ControlService(
                log, lambda: None, ids.DomainId(domain)
            )

        self.service = loop.call(build()).result(timeout=10)
        self._server = server_module.PeerServer(
            loop, "127.0.0.1", port, _SECRET, [self.service]
        )
        self._server.start()
        self.address = f"127.0.0.1:{port}"

    def follows(self, instance):
        return instance in self.service.followers.table()

    def stop(self):
        self._server.stop()


@pytest.fixture
def loop():
    thread = loop_module.LoopThread()
    thread.start()
    yield thread
    thread.stop()


def test_an_entry_goes_to_its_own_domains_control_once_that_is_there(loop):
    # Entries and control processes start together, and the nearest control
    # process is the last to listen. The entry follows another one and stays:
    # every document then comes from another region, for as long as it runs.
    ports = deployment.free_ports(2)
    far = _Control(loop, ports[0], "far")
    client = control_client.ControlClient(
        loop,
        tuple(f"127.0.0.1:{port}" for port in ports),
        _SECRET,
        lambda: control_pb2.AppliedReport(instance="entry-1", domain="near"),
        lambda *_: True,
        lambda: (ids.Revision(0), ""),
        0.2,
        ids.DomainId("near"),
    )
    client.start()
    assert deployment.wait_until(lambda: far.follows("entry-1"))
    near = _Control(loop, ports[1], "near")
    assert deployment.wait_until(lambda: near.follows("entry-1"))
    assert client.addresses()[0] == near.address
    client.stop()
    for control in (near, far):
        control.stop()
