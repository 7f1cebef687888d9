"""Connections to endpoints that serve more than one request."""

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

_KEPT = (
    b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\n"
)
_WAIT_S = 10.0


class _Nobody(base.CallerWatch):
    def fileno(self):
        return -1

    def gone(self):
        return False


class _Endpoint:
    """Answers each request with the next of some scripted answers.

    Attributes:
        requests: Number of the connection on which each request came.
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
        """Waits until the entry has closed a connection."""
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

    def ask(self, *, repeatable=True, release=True):
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
            caller=_Nobody(),
            cancelled=lambda: False,
            repeatable=repeatable,
        )
        exchange = transfer.HttpExchange(call, [], lambda _: True, self.pool)
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


def test_a_request_takes_the_connection_of_the_one_before(world):
    # Each new connection costs the endpoint work, and a request to another
    # region a round trip of 60 ms before anything is sent.
    here = world(_KEPT + b"ab", _KEPT + b"cd")
    assert here.ask() == b"ab"
    assert here.ask(repeatable=False) == b"cd"
    assert here.endpoint.requests == [1, 1]


@pytest.mark.parametrize(
    "first",
    [
        # It tells no time: it may be closing it now.
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nConnection: close\r\n"
        b"Content-Length: 2\r\n\r\nab",
        # Another answer follows, which the next request would take for its.
        _KEPT + b"ab" + _KEPT + b"xx",
    ],
)
def test_a_connection_that_may_end_or_mix_answers_is_used_once(world, first):
    here = world(first, _KEPT + b"cd")
    assert here.ask() == b"ab"
    assert here.ask() == b"cd"
    assert here.endpoint.requests == [1, 2]


def test_a_connection_whose_answer_was_not_believed_is_closed(world):
    # The answer bore another request's id, say. Whatever comes next on this
    # connection can't be trusted either.
    here = world(_KEPT + b"ab", _KEPT + b"cd")
    here.ask(release=False)
    assert here.endpoint.wait_closed() == 1
    here.ask()
    assert here.endpoint.requests == [1, 2]


@pytest.mark.parametrize(
    ("idle_s", "repeatable", "kept"),
    [
        (pool_module.ONCE_S - 0.1, False, True),
        # It went silent meanwhile, and nobody would know whether it has run.
        (pool_module.ONCE_S + 0.1, False, False),
        (pool_module.ONCE_S + 0.1, True, True),
        (pool_module.REPEATABLE_S + 0.1, True, False),
    ],
)
def test_what_may_run_once_takes_only_a_connection_just_used(
    world, idle_s, repeatable, kept
):
    here = world(_KEPT + b"ab", _KEPT + b"cd")
    here.ask()
    here.clock.advance(idle_s)
    here.ask(repeatable=repeatable)
    assert here.endpoint.requests == ([1, 1] if kept else [1, 2])


def test_no_request_crosses_the_close_of_an_idle_connection(world):
    # The endpoint closes what is idle for two seconds. A request sent at that
    # moment may or may not have run.
    kept = _KEPT.replace(b"timeout=10", b"timeout=2")
    here = world(kept + b"ab", kept + b"cd")
    here.ask()
    here.clock.advance(2.0 * pool_module.KEEP_SHARE + 0.1)
    here.ask()
    assert here.endpoint.requests == [1, 2]


def test_a_connection_that_the_endpoint_has_closed_is_not_used(world):
    here = world(_KEPT + b"ab", _KEPT + b"cd")
    here.ask()
    here.endpoint.open[0].shutdown(socket.SHUT_RDWR)
    here.endpoint.wait_closed()
    here.ask(repeatable=False)
    assert here.endpoint.requests == [1, 2]


def test_an_answer_too_many_is_not_taken_for_the_next_requests(world):
    # It comes late, while the connection is idle.
    here = world(_KEPT + b"ab", _KEPT + b"cd")
    here.ask()
    here.endpoint.open[0].sendall(_KEPT + b"xx")
    assert here.ask() == b"cd"
    assert here.endpoint.requests == [1, 2]


def test_a_request_on_a_dead_connection_is_not_sent_again(world):
    # The endpoint dies as the request comes. Sent once more by the client
    # itself, unasked, a booking would be made twice.
    here = world(_KEPT + b"ab", b"")
    here.ask()
    with pytest.raises(errors.EndpointError) as caught:
        here.ask(repeatable=False)
    assert caught.value.not_run is False
    assert here.endpoint.requests == [1, 1]


def test_few_connections_stay_open(world):
    # All entries together may hold only so many at an endpoint, which resets
    # those above, also ones with a request on them.
    count = pool_module.MOST_IDLE + 3
    here = world(*[_KEPT + b"ab"] * count)
    barrier = threading.Barrier(count)

    def ask():
        call = here.ask
        barrier.wait()
        call()

    exchanges = [threading.Thread(target=ask) for _ in range(count)]
    for each in exchanges:
        each.start()
    for each in exchanges:
        each.join()
    idle = sum(len(each) for each in here.pool._idle.values())
    assert 1 <= idle <= pool_module.MOST_IDLE
