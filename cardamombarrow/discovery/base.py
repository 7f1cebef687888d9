"""What a list of endpoints says, and how a kind of list is read."""

import abc
import dataclasses
import enum
import json

from cardamombarrow.kernel import ids

__all__ = [
    "SLOT",
    "Listed",
    "ListedState",
    "Source",
    "from_text",
    "to_text",
]

SLOT = "discovery"

NOT_TOLD_SERVICE = ids.ServiceId("")
NOT_TOLD_DOMAIN = ids.DomainId("")


class ListedState(enum.Enum):
    """What a list says of an endpoint."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Listed:
    """One endpoint in a list.

    Attributes:
        service: Empty where the list does not tell it.
        domain: Empty where the list does not tell it.
        slots: Most requests it runs at once; 0 where the list does not tell.
        spot: Whether the platform may reclaim it.
    """

    endpoint: ids.EndpointId
    state: ListedState
    service: ids.ServiceId = NOT_TOLD_SERVICE
    domain: ids.DomainId = NOT_TOLD_DOMAIN
    slots: int = 0
    spot: bool = False


class Source(abc.ABC):
    """A kind of list; registered in the slot `SLOT`.

    Attributes:
        names_endpoints: Whether the list itself says which endpoints there
            are. Otherwise the document names them, and the list only takes
            them out of use.
    """

    names_endpoints = False

    @abc.abstractmethod
    def fetch(self, url: str) -> list[Listed]:
        """Reads the whole list.

        An item that can't be understood names no endpoint; the others hold.

        Raises:
            errors.EndpointError: It could not be read.
            ValueError: It is no such list.
        """


def to_text(items: list[Listed]) -> str:
    """Returns a list as text, the same for equal lists in any order."""
    raw = sorted(
        [item.endpoint, item.state.value, item.service, item.domain, item.slots]
        for item in items
    )
    return json.dumps(raw, separators=(",", ":"))


def from_text(text: str) -> list[Listed]:
    """Reads what `to_text` wrote.

    Raises:
        ValueError: It is no such text.
    """
    try:
        return [
            Listed(
                ids.EndpointId(endpoint),
                ListedState(state),
                ids.ServiceId(service),
                ids.DomainId(domain),
                slots,
            )
            for endpoint, state, service, domain, slots in json.loads(text)
        ]
    except TypeError as error:
        raise ValueError(f"not a list of endpoints: {error!r}") from None
