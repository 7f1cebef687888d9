"""Assignment of pollers to endpoints by rendezvous hashing.

If every instance of a domain polled every endpoint, each endpoint would be
polled 36 times a second at the target size. Instead two instances poll it and
share the results. Each instance computes the assignment by itself, and a
change of members moves only the endpoints of the members that joined or left
(D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates",
1998).
"""

from collections import abc
import hashlib
import heapq

from cardamombarrow.kernel import ids

__all__ = ["POLLERS_PER_ENDPOINT", "list_reader", "pollers"]

POLLERS_PER_ENDPOINT = 2
"""With two, the loss of one instance leaves no endpoint unobserved."""


def list_reader(
    members: abc.Iterable[ids.InstanceId],
) -> ids.InstanceId:
    """Returns the instance of a domain that reads the list of endpoints."""
    return pollers(ids.EndpointId(""), members)[0]


def pollers(
    endpoint: ids.EndpointId, members: abc.Iterable[ids.InstanceId]
) -> list[ids.InstanceId]:
    """Returns the instances that poll an endpoint."""

    def weight(member: ids.InstanceId) -> bytes:
        text = f"{endpoint}\n{member}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return heapq.nlargest(POLLERS_PER_ENDPOINT, members, key=weight)
