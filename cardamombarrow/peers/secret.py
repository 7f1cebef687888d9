"""Authentication between the system's own processes by a shared secret.

The secret itself is never sent. Each request contains the time, a random nonce
and an HMAC-SHA256 over both and the method's name; a server accepts a request
only if the HMAC matches, the time is close to its own, and the nonce is new. A
long-lived stream is authenticated when it is opened.

Notes:
    Clocks of instances have to agree within `TIME_WINDOW_S`. Message bodies
    are not covered: this protects against attackers that can reach the port
    or eavesdrop, but not against those that can modify packets.
"""

from collections import abc
import hashlib
import hmac
import secrets
import time

from grpclib import client
from grpclib import const
from grpclib import events
from grpclib import exceptions
from grpclib import protocol

from cardamombarrow.kernel import addresses
from cardamombarrow.peers import replies

__all__ = [
    "HEADER",
    "TIME_WINDOW_S",
    "Guard",
    "channel",
    "require_tokens",
    "token",
]

HEADER = "x-cardamombarrow-auth"

TIME_WINDOW_S = 60.0
"""Maximum difference between the time in a token and the server's clock."""

NONCE_BYTES = 12


def token(secret: str, method: str, at_unix_s: float) -> str:
    """Returns a token for one request.

    Args:
        secret: The shared secret.
        method: Name of the method, ``/package.Service/Method``.
        at_unix_s: The client's wall clock.
    """
    nonce = secrets.token_hex(NONCE_BYTES)
    return f"{at_unix_s:.3f}:{nonce}:{_mac(secret, method, at_unix_s, nonce)}"


def _mac(secret: str, method: str, at_unix_s: float, nonce: str) -> str:
    text = f"{method}\n{at_unix_s:.3f}\n{nonce}"
    return hmac.new(secret.encode(), text.encode(), hashlib.sha256).hexdigest()


def channel(address: str, secret: str) -> client.Channel:
    """Returns a channel that adds a token to each request.

    Addresses come from other instances. A channel to a text that is no address
    fails with `OSError` when it connects, as one to an instance that is gone.

    Args:
        address: ``host:port`` of the other instance.
        secret: The shared secret.
    """
    result = _Channel(address)

    async def sign(event: events.SendRequest) -> None:
        event.metadata[HEADER] = token(secret, event.method_name, time.time())

    events.listen(result, events.SendRequest, sign)
    return result


class _Channel(replies.Channel):
    def __init__(self, address: str):
        self._is_valid = addresses.is_valid(address)
        super().__init__(
            *(addresses.split(address) if self._is_valid else ("", 0))
        )

    async def __connect__(self) -> protocol.H2Protocol:
        if not self._is_valid:
            raise OSError("not an address")
        return await super().__connect__()


class Guard:
    """Checks tokens and stores the nonces of the time window."""

    def __init__(
        self, secret: str, wall_clock: abc.Callable[[], float] = time.time
    ):
        self._secret = secret
        self._wall_clock = wall_clock
        self._seen: dict[str, float] = {}

    def rejection_reason(self, presented: str, method: str) -> str | None:
        """Returns why a token is rejected, or None if it is accepted."""
        now_unix_s = self._wall_clock()
        try:
            raw_time, nonce, mac = presented.split(":")
            at_unix_s = float(raw_time)
        except ValueError:
            return "missing or malformed token"
        expected = _mac(self._secret, method, at_unix_s, nonce)
        if not hmac.compare_digest(mac.encode(), expected.encode()):
            return "wrong secret"
        if abs(now_unix_s - at_unix_s) > TIME_WINDOW_S:
            return "clocks differ too much, or an old token"
        self._discard_old(now_unix_s)
        if nonce in self._seen:
            # A token that was captured on the network is replayed.
            return "token used before"
        self._seen[nonce] = at_unix_s
        return None

    def _discard_old(self, now_unix_s: float) -> None:
        # A token from a clock that is ahead stays valid for up to twice the
        # window.
        oldest_unix_s = now_unix_s - 2 * TIME_WINDOW_S
        for nonce, at_unix_s in list(self._seen.items()):
            if at_unix_s >= oldest_unix_s:
                return
            del self._seen[nonce]


def require_tokens(server: object, secret: str) -> None:
    """Makes a grpclib server refuse every request without a valid token.

    Without it, anyone with access to the port could propose edits or claims.

    Args:
        server: A `grpclib.server.Server`.
        secret: The shared secret.
    """
    token_guard = Guard(secret)

    async def check(event: events.RecvRequest) -> None:
        presented = str(event.metadata.get(HEADER, ""))
        reason = token_guard.rejection_reason(presented, event.method_name)
        if reason is not None:
            raise exceptions.GRPCError(const.Status.UNAUTHENTICATED, reason)

    events.listen(server, events.RecvRequest, check)
