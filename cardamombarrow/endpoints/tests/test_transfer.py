"""Tests of exchanges with endpoints that never answer."""

import dataclasses
import socket
import time

import pytest

from cardamombarrow.endpoints import base
from cardamombarrow.endpoints import transfer
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids


class _NoCaller(base.CallerWatch):
    def fileno(self):
        return -1

    def gone(self):
        return False


@pytest.fixture
def silent():
    """Address of a port that accepts connections and sends nothing."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield f"127.0.0.1:{server.getsockname()[1]}"


@pytest.fixture
def call(silent):
    return base.OutgoingCall(
        request_id=ids.RequestId("r"),
        endpoint=ids.endpoint_id(silent, "i-1"),
        method="GET",
        path="/a",
        body=b"",
        content_type="",
        rank=0,
        deadline_s=time.monotonic() + 1.0,
        stall_limit_s=30.0,
        caller=_NoCaller(),
        cancelled=lambda: False,
        first_byte_limit_s=0.1,
    )


def _error(call):
    exchange = transfer.HttpExchange(call, [], lambda endpoint: True)
    try:
        with pytest.raises(errors.EndpointError) as caught:
            exchange.head()
    finally:
        exchange.close()
    return caught.value


def test_a_late_answer_is_given_up_if_the_request_can_be_redone(call):
    # A faulty endpoint accepts requests, answers none and passes every probe.
    # A repeatable request must go elsewhere long before its deadline.
    error = _error(dataclasses.replace(call, may_redo=lambda: True))
    assert error.kind is errors.ErrorKind.STALLED
    assert error.not_run is False


def test_a_late_answer_is_awaited_if_the_request_can_not_be_redone(call):
    assert _error(call).kind is errors.ErrorKind.DEADLINE
