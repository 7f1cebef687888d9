"""Counts what arrives at the endpoints, from files that stand-ins write.

The counts are independent of the router's own logs and counters. A request of
a caller is recognized by its body, which the caller chooses.
"""

import bisect
from collections import abc
import dataclasses
import hashlib
import json
import os
import pathlib
import time

__all__ = [
    "Arrival",
    "RetryBound",
    "append",
    "body_digest",
    "most_excess_retries",
    "read",
    "retries_after_crashes",
]


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that has arrived at an endpoint.

    Attributes:
        at_s: Unix time.
        port: Port of the endpoint.
        digest: SHA-256 of the body, in hexadecimal.
        request_id: Id that the entry gave it.
    """

    at_s: float
    port: int
    digest: str
    request_id: str = ""


@dataclasses.dataclass(frozen=True)
class RetryBound:
    """Bound on the retries to a service in any window.

    Attributes:
        share: Retries allowed as a share of the callers' requests.
        slack: Retries allowed in addition.
        window_s: Length of a window.
    """

    share: float
    slack: float
    window_s: float


def body_digest(body: bytes) -> str:
    """Returns the digest by which a request is recognized."""
    return hashlib.sha256(body).hexdigest()


def append(path: str, port: int, body: bytes, request_id: str = "") -> None:
    """Appends an arrival to a file that several processes write."""
    arrival = Arrival(time.time(), port, body_digest(body), request_id)
    line = json.dumps(dataclasses.asdict(arrival)) + "\n"
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    try:
        os.write(descriptor, line.encode())
    finally:
        os.close(descriptor)


def read(path: pathlib.Path) -> list[Arrival]:
    """Returns the arrivals in a file, in order of time."""
    if not path.exists():
        return []
    found = [Arrival(**json.loads(line)) for line in path.open()]
    return sorted(found, key=lambda arrival: arrival.at_s)


def most_excess_retries(
    arrivals: abc.Sequence[Arrival],
    sent_s: abc.Iterable[float],
    bound: RetryBound,
) -> float:
    """Returns by how much the worst window exceeds the bound.

    Every arrival of a request beyond its first is a retry. The callers'
    requests are counted in the window, the one before it or the one half a
    window before it, whichever has most.

    Args:
        arrivals: The arrivals at one service, in order of time.
        sent_s: When callers sent their requests.
        bound: The bound.

    Returns:
        Retries above the bound; negative if it is kept.
    """
    seen: set[str] = set()
    retries_s: list[float] = []
    for arrival in arrivals:
        if arrival.digest in seen:
            retries_s.append(arrival.at_s)
        seen.add(arrival.digest)
    times_s = sorted(sent_s)

    def sent_until(end_s: float) -> int:
        begin_s = end_s - bound.window_s
        return bisect.bisect_right(times_s, end_s) - bisect.bisect_right(
            times_s, begin_s
        )

    worst = -bound.slack
    first = 0
    for last, end_s in enumerate(retries_s):
        while retries_s[first] <= end_s - bound.window_s:
            first += 1
        requests = max(
            sent_until(end_s - earlier * bound.window_s)
            for earlier in (0.0, 0.5, 1.0)
        )
        allowed = bound.share * requests + bound.slack
        worst = max(worst, last - first + 1 - allowed)
    return worst


def retries_after_crashes(
    arrivals: abc.Iterable[Arrival],
    digest: str,
    crashes: int,
    contact_s: float,
) -> list[Arrival]:
    """Returns the arrivals of a request that has crashed some endpoints.

    Args:
        arrivals: The arrivals, in order of time.
        digest: The request, which crashes every endpoint at which it arrives.
        crashes: Number of crashes that have to be known.
        contact_s: Time after the last of them until all entries know them.
    """
    found = [each for each in arrivals if each.digest == digest]
    if len(found) <= crashes:
        return []
    known_s = found[crashes - 1].at_s + contact_s
    return [each for each in found[crashes:] if each.at_s > known_s]
