"""Tests of the fault-injecting proxy."""

import contextlib
import socket
import threading
import time

import pytest

from tools import proxy as proxy_module


@pytest.fixture
def echo():
    """Address of an echo server."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve(connection):
        with connection, contextlib.suppress(OSError):
            while data := connection.recv(4096):
                connection.sendall(data)

    def accept():
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                threading.Thread(
                    target=serve, args=(connection,), daemon=True
                ).start()

    threading.Thread(target=accept, daemon=True).start()
    yield f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()


@pytest.fixture
def link(echo):
    with proxy_module.Proxy() as proxy:
        yield proxy.link("one", "other", echo)


def _connect(link):
    host, _, port = link.address.rpartition(":")
    connection = socket.create_connection((host, int(port)))
    connection.settimeout(0.3)
    return connection


def _echoes(connection):
    connection.sendall(b"x")
    return connection.recv(1) == b"x"


def test_delay_applies_in_both_directions(link):
    link.delay_s = 0.1
    with _connect(link) as connection:
        start_s = time.monotonic()
        assert _echoes(connection)
        assert time.monotonic() - start_s >= 0.2


def test_cut_resets_old_and_new_connections(link):
    with _connect(link) as old:
        assert _echoes(old)
        link.cut()
        with pytest.raises(ConnectionError):
            _echoes(old)
            _echoes(old)
    with pytest.raises(OSError), _connect(link) as new:
        assert _echoes(new)
        raise AssertionError("a cut link answered")
    link.restore()
    with _connect(link) as new:
        assert _echoes(new)


@pytest.mark.parametrize("new_too", [False, True])
def test_silent_connections_drop_data_and_stay_open(link, new_too):
    with _connect(link) as old:
        assert _echoes(old)
        link.silence(new_too=new_too)
        with pytest.raises(TimeoutError):
            _echoes(old)
        with _connect(link) as new:
            if new_too:
                with pytest.raises(TimeoutError):
                    _echoes(new)
            else:
                assert _echoes(new)
        link.restore()
        with pytest.raises(TimeoutError):
            _echoes(old)
        with _connect(link) as new:
            assert _echoes(new)


def test_bandwidth_delays_bytes_in_each_direction(link):
    link.bytes_per_s = 50_000.0
    with _connect(link) as connection:
        connection.settimeout(5.0)
        start_s = time.monotonic()
        connection.sendall(b"x" * 10_000)
        received = 0
        while received < 10_000:
            received += len(connection.recv(65_536))
        assert time.monotonic() - start_s >= 0.2
