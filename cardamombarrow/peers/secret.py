"""Authentication between the system's own processes by a shared secret."""

import hmac

from grpclib import const
from grpclib import events
from grpclib import exceptions

__all__ = ["HEADER", "guard", "metadata"]

HEADER = "x-cardamombarrow-secret"


def metadata(secret: str) -> dict[str, str]:
    """Returns the metadata that a client sends with each call."""
    return {HEADER: secret}


def guard(server: object, secret: str) -> None:
    """Makes a grpclib server refuse every call without the secret.

    Without it, anyone who reaches the port could propose edits or claims.

    Args:
        server: A `grpclib.server.Server`.
        secret: What callers must show.
    """

    async def check(event: events.RecvRequest) -> None:
        shown = str(event.metadata.get(HEADER, ""))
        if not hmac.compare_digest(shown.encode(), secret.encode()):
            raise exceptions.GRPCError(
                const.Status.UNAUTHENTICATED, "wrong or missing secret"
            )

    events.listen(server, events.RecvRequest, check)
