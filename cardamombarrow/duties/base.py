"""How a platform is told of usage and asked for endpoints."""

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
    """What became of a call."""

    TAKEN = "taken"
    REFUSED = "refused"
    """A higher fencing token was seen, or there is nothing to be had."""
    INVALID = "invalid"
    """It will be refused however often it is sent."""
    UNAVAILABLE = "unavailable"
    """It was not carried out and may be sent again later."""
    UNKNOWN = "unknown"
    """There was no answer: it may be carried out, also later."""


@dataclasses.dataclass(frozen=True)
class UsageReport:
    """Requests that began to run in one window, by workspace."""

    window: int
    counts: dict[ids.WorkspaceId, int]


@dataclasses.dataclass(frozen=True)
class EndpointOrder:
    """How many endpoints of one kind a service gets in a failure domain.

    Attributes:
        spot: Whether they are of the cheaper kind that may be reclaimed.
        count: How many there shall be.
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
            call: What is told or asked for.
            holder: Who sends, and its fencing token.
        """
