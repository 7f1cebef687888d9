"""Items of an endpoint list, and the interface of the sources of lists."""

import abc
import dataclasses
import enum
import json

from cardamombarrow.kernel import ids

__all__ = [
    "SLOT",
    "ListedEndpoint",
    "ListedState",
    "Source",
    "from_text",
    "to_text",
]

SLOT = "discovery"

UNKNOWN_SERVICE = ids.ServiceId("")
UNKNOWN_DOMAIN = ids.DomainId("")


class ListedState(enum.Enum):
    """State of an endpoint in a list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class ListedEndpoint:
    """One endpoint in a list.

    Attributes:
        service: Empty if the list does not contain it.
        domain: Empty if the list does not contain it.
        slots: Maximum number of concurrent requests; 0 if the list does not
            contain it.
        spot: Whether the platform may reclaim the endpoint.
        software: Version of its software; empty if the list does not contain
            it.
    """

    endpoint: ids.EndpointId
    state: ListedState
    service: ids.ServiceId = UNKNOWN_SERVICE
    domain: ids.DomainId = UNKNOWN_DOMAIN
    slots: int = 0
    spot: bool = False
    software: ids.SoftwareVersion = ids.UNKNOWN_SOFTWARE


class Source(abc.ABC):
    """Reads one kind of list; registered in the slot `SLOT`.

    Attributes:
        names_endpoints: Whether the list defines which endpoints exist.
            Otherwise the document defines them, and the list can only take
            them out of use.
    """

    names_endpoints = False

    @abc.abstractmethod
    def fetch(self, url: str) -> list[ListedEndpoint]:
        """Reads the whole list; items that can't be parsed are left out.

        Raises:
            errors.EndpointError: The list could not be read.
            ValueError: The response is not a list of this kind.
        """


def to_text(items: list[ListedEndpoint]) -> str:
    """Serializes a list; the text does not depend on the order of items."""
    raw = sorted(
        [
            item.endpoint,
            item.state.value,
            item.service,
            item.domain,
            item.slots,
            item.software,
        ]
        for item in items
    )
    return json.dumps(raw, separators=(",", ":"))


def from_text(text: str) -> list[ListedEndpoint]:
    """Parses the output of `to_text`.

    Raises:
        ValueError: The text is not a serialized list.
    """
    try:
        return [
            ListedEndpoint(
                ids.EndpointId(endpoint),
                ListedState(state),
                ids.ServiceId(service),
                ids.DomainId(domain),
                slots,
                # Instances of earlier builds do not send it.
                software=ids.SoftwareVersion(software[0] if software else ""),
            )
            for endpoint, state, service, domain, slots, *software in (
                json.loads(text)
            )
        ]
    except TypeError as error:
        raise ValueError(f"not a list of endpoints: {error!r}") from None
