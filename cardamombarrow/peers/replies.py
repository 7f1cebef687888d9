"""Receives the replies of other instances and refuses damaged ones."""

from collections import abc
import functools
import typing

from google.protobuf import message
from grpclib import client
from grpclib import const
from grpclib import exceptions

__all__ = ["Channel"]

_DAMAGED = (
    AssertionError,
    KeyError,
    NotImplementedError,
    message.DecodeError,
)
"""What grpclib raises for a reply that ends early, is compressed or no message
of its kind, or whose head has no status."""


class Channel(client.Channel):
    """A channel on which a damaged reply raises `exceptions.ProtocolError`."""

    def request(
        self,
        name: str,
        cardinality: const.Cardinality,
        *args: typing.Any,
        **fields: typing.Any,
    ) -> client.Stream:
        """Returns a new call; see `client.Channel`."""
        stream = super().request(name, cardinality, *args, **fields)
        stream.recv_message = functools.partial(
            _receive,
            stream,
            stream.recv_message,
            is_single=not cardinality.server_streaming,
        )
        return stream


async def _receive(
    stream: client.Stream,
    receive: abc.Callable[[], abc.Awaitable[message.Message | None]],
    *,
    is_single: bool,
) -> message.Message | None:
    """Receives the next message; returns None at the end of a stream.

    Args:
        stream: The call.
        receive: Receives the next message.
        is_single: Whether the call has one reply.

    Raises:
        exceptions.ProtocolError: It is damaged or missing.
    """
    try:
        received = await receive()
    except _DAMAGED as error:
        raise exceptions.ProtocolError(f"a damaged reply: {error!r}") from None
    if received is None and is_single:
        # Raises the error that the other instance may have answered.
        await stream.recv_trailing_metadata()
        raise exceptions.ProtocolError("a reply without a message")
    return received
