"""Tests of connections that serve more than one request."""

import queue
import socket
import threading
import time

import pytest

from cardamombarrow.endpoints import base
from cardamombarrow.endpoints import pool as pool_module
from cardamombarrow.endpoints import transfer
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

_REUSABLE = (
    b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\n"
)
_WAIT_S = 10.0


class _NoCaller(base.CallerWatch):
    def fileno(self):
        return -1

    def gone(self):
        return False


class _Endpoint:
    """Answers each request with the next scripted answer.

    Attributes:
        requests: Number of the connection of each request.
    """

    def __init__(self, *answers):
        self._answers = list(answers)
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        self.requests = []
        self.open = []
        self._closed = queue.SimpleQueue()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._server.accept()
            except OSError:
                return
            self.open.append(connection)
            number = len(self.open)
            threading.Thread(
                target=self._serve, args=(connection, number), daemon=True
            ).start()

    def _serve(self, connection, number):
        data = b""
        while True:
            try:
                received = connection.recv(65_536)
            except OSError:
                received = b""
            if not received:
                break
            data += received
            while b"\r\n\r\n" in data:
                _, _, data = data.partition(b"\r\n\r\n")
                self.requests.append(number)
                answer = self._answers.pop(0)
                connection.sendall(answer)
                if answer == b"" or b"close" in answer:
                    connection.close()
                    return
        self._closed.put(number)

    def wait_closed(self):
        """Waits until the client has closed a connection."""
        return self._closed.get(timeout=_WAIT_S)

    def stop(self):
        self._server.close()
        for connection in self.open:
            connection.close()


class _World:
    """A pool and one endpoint."""

    def __init__(self, *answers):
        self.clock = clock.ManualClock()
        self.pool = pool_module.Pool(self.clock)
        self.endpoint = _Endpoint(*answers)

    def send(self, *, repeatable=True, release=True):
        """Sends a request; returns the body."""
        call = base.OutgoingCall(
            request_id=ids.RequestId("r"),
            endpoint=ids.endpoint_id(self.endpoint.address, "i-1"),
            method="GET",
            path="/a",
            body=b"",
            content_type="",
            rank=0,
            deadline_s=time.monotonic() + _WAIT_S,
            stall_limit_s=30.0,
            caller=_NoCaller(),
            cancelled=lambda: False,
            repeatable=repeatable,
        )
        exchange = transfer.HttpExchange(call, list, lambda _: True, self.pool)
        try:
            exchange.head()
            body = b"".join(exchange.chunks())
            if release:
                exchange.release()
            return body
        finally:
            exchange.close()


@pytest.fixture
def world():
    made = []

    def make(*answers):
        made.append(_World(*answers))
        return made[-1]

    yield make
    for each in made:
        each.endpoint.stop()


def test_a_request_reuses_the_previous_connection(world):
    # Each new connection costs the endpoint work, and a request to another
    # region a round trip of 60 ms before anything is sent.
    env = world(_REUSABLE + b"ab", _REUSABLE + b"cd")
    assert env.send() == b"ab"
    assert env.send(repeatable=False) == b"cd"
    assert env.endpoint.requests == [1, 1]


@pytest.mark.parametrize(
    "first",
    [
        # Without a keep-alive time the endpoint may be closing it already.
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nConnection: close\r\n"
        b"Content-Length: 2\r\n\r\nab",
        # The next request would read the second answer as its own.
        _REUSABLE + b"ab" + _REUSABLE + b"xx",
    ],
)
def test_a_connection_that_may_end_or_mix_answers_is_used_once(world, first):
    env = world(first, _REUSABLE + b"cd")
    assert env.send() == b"ab"
    assert env.send() == b"cd"
    assert env.endpoint.requests == [1, 2]


def test_a_connection_with_an_invalid_answer_is_closed(world):
    # After an answer with the id of another request, for instance, later
    # answers on the connection may be wrong too.
    env = world(_REUSABLE + b"ab", _REUSABLE + b"cd")
    env.send(release=False)
    assert env.endpoint.wait_closed() == 1
    env.send()
    assert env.endpoint.requests == [1, 2]


@pytest.mark.parametrize(
    ("idle_s", "repeatable", "kept"),
    [
        (pool_module.UNREPEATABLE_IDLE_S - 0.1, False, True),
        # It may have gone silent: it is unknown whether a request has run.
        (pool_module.UNREPEATABLE_IDLE_S + 0.1, False, False),
        (pool_module.UNREPEATABLE_IDLE_S + 0.1, True, True),
        (pool_module.REPEATABLE_IDLE_S + 0.1, True, False),
    ],
)
def test_an_unrepeatable_request_reuses_only_a_recently_used_connection(
    world, idle_s, repeatable, kept
):
    env = world(_REUSABLE + b"ab", _REUSABLE + b"cd")
    env.send()
    env.clock.advance(idle_s)
    env.send(repeatable=repeatable)
    assert env.endpoint.requests == ([1, 1] if kept else [1, 2])


def test_a_connection_is_not_used_near_its_keep_alive_timeout(world):
    # The endpoint closes connections after two idle seconds. A request sent at
    # that time may or may not have run.
    head = _REUSABLE.replace(b"timeout=10", b"timeout=2")
    env = world(head + b"ab", head + b"cd")
    env.send()
    env.clock.advance(2.0 * pool_module.KEEP_ALIVE_SHARE + 0.1)
    env.send()
    assert env.endpoint.requests == [1, 2]


def test_a_connection_that_the_endpoint_has_closed_is_not_used(world):
    env = world(_REUSABLE + b"ab", _REUSABLE + b"cd")
    env.send()
    env.endpoint.open[0].shutdown(socket.SHUT_RDWR)
    env.endpoint.wait_closed()
    env.send(repeatable=False)
    assert env.endpoint.requests == [1, 2]


def test_a_surplus_answer_is_not_used_for_the_next_request(world):
    # It arrives late, while the connection is idle.
    env = world(_REUSABLE + b"ab", _REUSABLE + b"cd")
    env.send()
    env.endpoint.open[0].sendall(_REUSABLE + b"xx")
    assert env.send() == b"cd"
    assert env.endpoint.requests == [1, 2]


def test_a_request_on_a_dead_connection_is_not_sent_again(world):
    # The endpoint fails when the request arrives. If the client sent it again
    # by itself, a booking would be made twice.
    env = world(_REUSABLE + b"ab", b"")
    env.send()
    with pytest.raises(errors.EndpointError) as caught:
        env.send(repeatable=False)
    assert caught.value.not_run is False
    assert env.endpoint.requests == [1, 1]


def test_the_number_of_idle_connections_is_bounded(world):
    # An endpoint limits the connections of all entries together, and resets
    # those above the limit even if they have a running request.
    count = pool_module.MAX_IDLE + 3
    env = world(*[_REUSABLE + b"ab"] * count)
    barrier = threading.Barrier(count)

    def send():
        call = env.send
        barrier.wait()
        call()

    exchanges = [threading.Thread(target=send) for _ in range(count)]
    for each in exchanges:
        each.start()
    for each in exchanges:
        each.join()
    idle = sum(len(each) for each in env.pool._idle.values())
    assert 1 <= idle <= pool_module.MAX_IDLE


def test_a_connection_is_closed_in_time_without_another_request(world):
    # Guards against an endpoint that sends without end on an idle connection.
    env = world(_REUSABLE + b"ab")
    closer = pool_module.IdleCloser(env.pool)
    closer.start()
    env.send()
    env.clock.advance(pool_module.REPEATABLE_IDLE_S + 0.1)
    assert env.endpoint.wait_closed() == 1
    closer.stop()


def test_the_thread_that_closes_connections_stops_without_any(world):
    closer = pool_module.IdleCloser(world().pool)
    closer.start()
    closer.stop()
