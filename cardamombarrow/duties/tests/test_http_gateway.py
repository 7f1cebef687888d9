"""Answers of the platform to calls over HTTP."""

import contextlib
import socket
import threading

import pytest

from cardamombarrow.duties import base
from cardamombarrow.duties import http_gateway
from cardamombarrow.kernel import ids
from cardamombarrow.orders import machine

_ANSWER = b"HTTP/1.1 200 OK\r\nX-Filler: a\r\nContent-Length: 2\r\n\r\n{}"
_HOLDER = machine.Holder(ids.InstanceId("c-1"), 7)


def _send(answer):
    """Returns the outcome of a call that is answered by these bytes."""

    def serve():
        connection, _ = server.accept()
        with connection:
            connection.recv(65_536)
            connection.sendall(answer)

    with socket.create_server(("127.0.0.1", 0)) as server:
        url = f"http://127.0.0.1:{server.getsockname()[1]}"
        thread = threading.Thread(target=serve)
        thread.start()
        with contextlib.ExitStack() as stack:
            stack.callback(thread.join)
            return http_gateway.OwnGateway().send(
                url, base.UsageReport(1, {}), _HOLDER
            )


def test_a_complete_answer_of_success_means_taken():
    assert _send(_ANSWER) is base.Outcome.TAKEN


@pytest.mark.parametrize("size", [17, 25, 30, 46, len(_ANSWER) - 1])
def test_a_call_whose_answer_broke_off_may_have_been_taken(size):
    # Guards against a call that is never repeated though it was not taken.
    assert _send(_ANSWER[:size]) is base.Outcome.UNKNOWN
