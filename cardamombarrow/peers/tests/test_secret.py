"""Requests between instances are rejected without authentication."""

import asyncio

from grpclib import client
from grpclib import const
from grpclib import exceptions
from grpclib import server
import pytest

from cardamombarrow.document import machine
from cardamombarrow.kernel.tests import odd_values
from cardamombarrow.log import local
from cardamombarrow.peers import secret
from cardamombarrow.peers.control import control_grpc
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import service as control_service

_METHOD = "/service/Method"


def _guard(now_s=1_000.0):
    return secret.Guard("right-secret-0123", lambda: now_s)


@pytest.mark.parametrize(
    "shown, reason",
    [
        ("", "malformed"),
        ("1000:nonce", "malformed"),
        ("x:nonce:mac", "malformed"),
        (secret.token("wrong-secret-0123", _METHOD, 1_000.0), "wrong secret"),
        (secret.token("right-secret-0123", "/a/B", 1_000.0), "wrong secret"),
        (secret.token("right-secret-0123", _METHOD, 900.0), "old token"),
        (secret.token("right-secret-0123", _METHOD, 1_100.0), "clocks differ"),
    ],
    ids=[
        "empty",
        "two parts",
        "no time",
        "other secret",
        "other method",
        "old",
        "from the future",
    ],
)
def test_an_invalid_token_is_rejected(shown, reason):
    assert reason in _guard().rejection_reason(shown, _METHOD)


def test_a_token_is_accepted_once():
    # An attacker records a request between two instances and replays it; a
    # claim or an edit would be proposed in the name of another instance.
    guard = _guard()
    shown = secret.token("right-secret-0123", _METHOD, 1_000.0)
    assert guard.rejection_reason(shown, _METHOD) is None
    assert guard.rejection_reason(shown, _METHOD) == "token used before"


def test_nonces_are_discarded_only_when_their_tokens_are_too_old():
    now_s = [1_000.0]
    guard = secret.Guard("right-secret-0123", lambda: now_s[0])
    ahead = secret.token("right-secret-0123", _METHOD, 1_059.0)
    assert guard.rejection_reason(ahead, _METHOD) is None
    now_s[0] = 1_118.0
    other = secret.token("right-secret-0123", _METHOD, 1_118.0)
    assert guard.rejection_reason(other, _METHOD) is None
    assert guard.rejection_reason(ahead, _METHOD) == "token used before"


class _NoMachine:
    def apply(self, index, command):
        raise AssertionError("an unauthenticated command was applied")


async def _propose(shown_secret):
    service = control_service.ControlService(
        local.LocalLog("v", _NoMachine()),
        lambda: machine.AcceptedDocument(0, ""),
    )
    served = server.Server([service])
    secret.require_tokens(served, "right-secret-0123")
    await served.start("127.0.0.1", 0)
    port = served._server.sockets[0].getsockname()[1]
    if shown_secret is None:
        channel = client.Channel("127.0.0.1", port)
    else:
        channel = secret.channel(f"127.0.0.1:{port}", shown_secret)
    try:
        stub = control_grpc.ControlStub(channel)
        with pytest.raises(exceptions.GRPCError) as caught:
            await stub.Propose(control_pb2.Command(), timeout=5)
        assert caught.value.status is const.Status.UNAUTHENTICATED
    finally:
        channel.close()
        served.close()


@pytest.mark.parametrize("shown_secret", [None, "wrong-secret-0123"])
def test_a_server_rejects_requests_without_the_secret(shown_secret):
    asyncio.run(_propose(shown_secret))


@pytest.mark.parametrize("address", odd_values.ADDRESSES, ids=ascii)
def test_a_channel_to_no_address_fails_like_one_to_a_lost_instance(address):
    # Guards against tasks that end, or try the same instance for ever, because
    # another one told an address that no socket can connect to.
    async def request():
        channel = secret.channel(address, "right-secret-0123")
        try:
            stub = control_grpc.ControlStub(channel)
            await stub.Followers(control_pb2.FollowersRequest())
        finally:
            channel.close()

    with pytest.raises(OSError):
        asyncio.run(request())
