"""What decides when a connection without data is given up."""

import asyncio
import socket

import pytest

from cardamombarrow.endpoints import connection
from cardamombarrow.peers import secret

_PROBES_END_S = 30.0
"""Time for which keep-alive lets an endpoint be silent, at least."""


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield server


def _address(listener):
    host, port = listener.getsockname()
    return f"{host}:{port}"


def _option(descriptor, name):
    with socket.socket(fileno=socket.dup(descriptor)) as copy:
        return copy.getsockopt(socket.IPPROTO_TCP, name)


def test_keepalive_alone_decides_on_connections_to_endpoints(listener):
    # Guards against a time limit on unacknowledged data, which ends answers of
    # sound endpoints whatever the count of probes.
    opened = connection.Connection(_address(listener))
    try:
        assert _option(opened.fileno(), socket.TCP_USER_TIMEOUT) == 0
        idle_s = _option(opened.fileno(), socket.TCP_KEEPIDLE)
        interval_s = _option(opened.fileno(), socket.TCP_KEEPINTVL)
        count = _option(opened.fileno(), socket.TCP_KEEPCNT)
        assert idle_s + interval_s * count >= _PROBES_END_S
    finally:
        opened.close()


def test_links_between_instances_have_no_limit_of_a_library(listener):
    async def user_timeout():
        channel = secret.channel(_address(listener), "a-secret-of-the-tests")
        try:
            protocol = await channel.__connect__()
            transport = protocol.connection._transport
            descriptor = transport.get_extra_info("socket").fileno()
            return _option(descriptor, socket.TCP_USER_TIMEOUT)
        finally:
            channel.close()

    assert asyncio.run(user_timeout()) == 0
