"""What endpoints state, and what else is known of them."""

import dataclasses

from cardamombarrow.kernel import ids

__all__ = [
    "NO_STATEMENT",
    "EndpointSpeed",
    "EndpointStatement",
    "KnownEndpoint",
    "LoadReport",
    "RateLimit",
    "RejectionLimit",
    "RejectionPause",
]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """An endpoint's report of its own load.

    Attributes:
        measured_at_s: When it was read, on this instance's clock; later
            changes of the load are not included.
        work_time_factor: How long work takes on its machine at the moment, as
            a multiple of the usual time; None if not reported.
    """

    running: int
    waiting: int
    cache_used_share: float
    leaving: bool
    measured_at_s: float
    work_time_factor: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """The rate limit that an endpoint stated in an answer.

    Attributes:
        per_s: Requests per second from all instances together; None if the
            endpoint states no limit.
        received_s: When the answer arrived, on this instance's clock.
    """

    per_s: float | None
    received_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RejectionLimit:
    """How many requests an endpoint may reject for want of room.

    Attributes:
        per_s: Rejections per second, over all callers, above which the endpoint
            falls over; None if it states no limit.
    """

    per_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class RejectionPause:
    """A pause of an endpoint that has rejected a request.

    Attributes:
        until_s: Local time at which it ends.
        limit_per_s: The endpoint's limit on rejections per second.
    """

    until_s: float
    limit_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointStatement:
    """What an answer states about its endpoint.

    Attributes:
        load: Its load; None if not stated.
        rate_limit: Its rate limit, or that it has none; None if the answer
            can't be read, so that an earlier limit stays in force.
        pause_s: Time for which this instance should send it nothing, in
            seconds; 0 for none.
        leaving: Whether it is about to stop.
        rejection_limit: How many requests it may reject; None if the answer
            can't be read, so that an earlier limit stays in force.
        rejected: Whether it rejects the request for want of room.
        invalid_fields: Names of the header fields that can't be parsed.
    """

    load: LoadReport | None = None
    rate_limit: RateLimit | None = None
    pause_s: float = 0.0
    leaving: bool = False
    rejection_limit: RejectionLimit | None = None
    rejected: bool = False
    invalid_fields: tuple[str, ...] = ()


NO_STATEMENT = EndpointStatement()
"""The statement of an answer that says nothing about its endpoint."""


@dataclasses.dataclass(frozen=True, slots=True)
class KnownEndpoint:
    """An endpoint that discovery has found.

    Attributes:
        slots: Maximum concurrent requests; 0 leaves it to the document.
        software: Version of its software; empty if unknown.
    """

    endpoint: ids.EndpointId
    service: ids.ServiceId
    domain: ids.DomainId
    slots: int = 0
    software: ids.SoftwareVersion = ids.UNKNOWN_SOFTWARE


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointSpeed:
    """Speed of an endpoint, as used for a placement.

    Attributes:
        factor: Factor on the prefill time of its service.
        report_age_s: Age of its reported work time; None without one.
    """

    factor: float
    report_age_s: float | None
