"""Observations of requests that may crash endpoints."""

import dataclasses

from cardamombarrow.kernel import ids

__all__ = ["SuspectCounts", "SuspectReport"]


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectReport:
    """An instance's observation of requests that may crash endpoints.

    Attributes:
        instance: The instance that made the observation.
        number: Random; identifies the observation among the instance's.
        fingerprints: The requests.
        endpoint: The endpoint that crashed while they ran on it; None if they
            completed.
        seen_s: Local time of the observation.
        parts: The shared parts of the prompt of each request, in the order of
            `fingerprints`; none for requests whose answers had begun.
        answered: Parts of prompts whose answers have begun.
    """

    instance: ids.InstanceId
    number: int
    fingerprints: tuple[ids.Fingerprint, ...]
    endpoint: ids.EndpointId | None
    seen_s: float
    parts: tuple[tuple[ids.PartKey, ...], ...] = ()
    answered: tuple[ids.PartKey, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectCounts:
    """What may crash endpoints, or does.

    Attributes:
        requests: Requests that have to run alone.
        quarantined_requests: Requests that are refused.
        parts: Parts of prompts that are accused of several crashes.
        quarantined_parts: Parts, or sets of parts, that are refused.
    """

    requests: int = 0
    quarantined_requests: int = 0
    parts: int = 0
    quarantined_parts: int = 0
