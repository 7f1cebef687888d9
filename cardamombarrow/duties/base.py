"""Interface to a platform that takes usage reports and endpoint orders."""

import abc
import dataclasses
import enum

from cardamombarrow.kernel import ids
from cardamombarrow.orders import machine

__all__ = [
    "SLOT",
    "DutyCall",
    "EndpointOrder",
    "Gateway",
    "Outcome",
    "UsageReport",
]

SLOT = "duties"


class Outcome(enum.Enum):
    """Result of a call."""

    TAKEN = "taken"
    REFUSED = "refused"
    """The platform has seen a higher fencing token, or has no capacity."""
    INVALID = "invalid"
    """The call is invalid; sending it again gives the same result."""
    UNAVAILABLE = "unavailable"
    """The call was not carried out and may be sent again later."""
    UNKNOWN = "unknown"
    """No answer: the call may have been, or may still be, carried out."""


@dataclasses.dataclass(frozen=True)
class UsageReport:
    """Requests that began to run in one window, by workspace."""

    window: int
    counts: dict[ids.WorkspaceId, int]


@dataclasses.dataclass(frozen=True)
class EndpointOrder:
    """Wanted number of endpoints of one kind in a failure domain.

    Attributes:
        spot: Whether they are spot endpoints: cheaper, and may be reclaimed.
        count: Total number, not a change.
    """

    service: ids.ServiceId
    domain: ids.DomainId
    spot: bool
    count: int


DutyCall = UsageReport | EndpointOrder


class Gateway(abc.ABC):
    """Makes the calls; registered in the slot `SLOT`."""

    @abc.abstractmethod
    def send(self, url: str, call: DutyCall, holder: machine.Holder) -> Outcome:
        """Sends one call under the holder's token.

        Args:
            url: Base address of the platform.
            call: The report or order.
            holder: The sending process and its fencing token.
        """
