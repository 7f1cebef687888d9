"""Choice of the control process that an entry follows."""

import pytest

from cardamombarrow.control import state
from cardamombarrow.kernel import ids
from cardamombarrow.log import local
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import server as server_module
from cardamombarrow.peers.control import client as control_client
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import service as control_service
from tools import deployment

_SECRET = "a-secret-of-the-tests"


class _Control:
    """The server side of one control process."""

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


def _client(loop, *addresses):
    return control_client.ControlClient(
        loop,
        addresses,
        _SECRET,
        lambda first: control_pb2.AppliedReport(
            instance="entry-1", domain="near"
        ),
        lambda *_: True,
        lambda: (ids.Revision(0), ""),
        0.2,
        ids.DomainId("near"),
    )


@pytest.fixture
def loop():
    thread = loop_module.LoopThread()
    thread.start()
    yield thread
    thread.stop()


def test_an_entry_moves_to_the_control_process_of_its_own_domain(loop):
    # Entries and control processes start together, and the control process of
    # the own domain is the last to listen. If the entry stayed with another
    # one, it would get every document from another region.
    ports = deployment.free_ports(2)
    far = _Control(loop, ports[0], "far")
    client = _client(loop, *(f"127.0.0.1:{port}" for port in ports))
    client.start()
    assert deployment.wait_until(lambda: far.follows("entry-1"))
    near = _Control(loop, ports[1], "near")
    assert deployment.wait_until(lambda: near.follows("entry-1"))
    assert client.addresses()[0] == near.address
    client.stop()
    for control in (near, far):
        control.stop()


def test_an_entry_follows_on_after_its_control_process_left_the_list(loop):
    # Guards against an entry that gets no documents any more, because the
    # control process that it followed had been replaced when its link broke.
    ports = deployment.free_ports(2)
    old = _Control(loop, ports[0], "near")
    new = _Control(loop, ports[1], "near")
    client = _client(loop, old.address)
    client.start()
    assert deployment.wait_until(lambda: old.follows("entry-1"))
    client.set_controls((new.address,))
    assert deployment.wait_until(lambda: client.addresses() == [new.address])
    old.stop()
    assert deployment.wait_until(lambda: new.follows("entry-1"))
    client.stop()
    new.stop()


def test_followers_learn_how_many_entries_share_the_bounds(loop):
    # Guards against parts of global bounds that are sized for a guessed number
    # of entries where no confirmations of the document are asked for.
    port = deployment.free_ports(1)[0]
    control = _Control(loop, port, "near")
    counts = []
    clients = [
        control_client.ControlClient(
            loop,
            (f"127.0.0.1:{port}",),
            _SECRET,
            lambda first, name=f"entry-{number}": control_pb2.AppliedReport(
                instance=name, domain="near"
            ),
            lambda *_: True,
            lambda: (ids.Revision(0), ""),
            0.2,
            on_entry_count=counts.append,
        )
        for number in range(12)
    ]
    for client in clients:
        client.start()
    assert deployment.wait_until(lambda: 12 in counts)
    for client in clients:
        client.stop()
    control.stop()
