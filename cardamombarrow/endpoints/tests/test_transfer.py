"""Exchanges with endpoints that take a request and do not answer."""

import dataclasses
import socket
import time

import pytest

from cardamombarrow.endpoints import base
from cardamombarrow.endpoints import transfer
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids


class _Nobody(base.CallerWatch):
    def fileno(self):
        return -1

    def gone(self):
        return False


@pytest.fixture
def silent():
    """The address of a port that takes connections and says nothing."""
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
        caller=_Nobody(),
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


def test_an_endpoint_that_never_answers_is_given_up_where_another_can_help(
    call,
):
    # A faulty endpoint takes requests and answers none; it looks alive to
    # every probe. A request that may run twice has to go elsewhere, long
    # before its deadline.
    error = _error(dataclasses.replace(call, may_redo=lambda: True))
    assert error.kind is errors.ErrorKind.STALLED
    assert error.not_run is False


def test_it_is_waited_for_where_no_other_can(call):
    assert _error(call).kind is errors.ErrorKind.DEADLINE
