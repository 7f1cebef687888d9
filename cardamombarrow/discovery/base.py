"""Items of an endpoint list, and the interface of the sources of lists."""

import abc
from collections import abc as collections_abc
import dataclasses
import enum
import json
import typing

from cardamombarrow.kernel import addresses
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import json_text

__all__ = [
    "MAX_NAME_CHARS",
    "MAX_SLOTS",
    "SLOT",
    "ListedEndpoint",
    "ListedState",
    "Source",
    "from_text",
    "is_endpoint",
    "is_name",
    "is_slots",
    "to_text",
]

SLOT = "discovery"

MAX_NAME_CHARS = 1_000

MAX_SLOTS = 1_000_000

UNKNOWN_SERVICE = ids.ServiceId("")
UNKNOWN_DOMAIN = ids.DomainId("")


class ListedState(enum.Enum):
    """State of an endpoint in a list."""

    LIVE = "live"
    LEAVING = "leaving"


_STATES = frozenset(each.value for each in ListedState)


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


def is_name(value: typing.Any) -> bool:
    """Returns whether a value is a name that can be logged and sent."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_CHARS
        and value.isprintable()
    )


def is_slots(value: typing.Any) -> bool:
    """Returns whether a value is a number of slots."""
    return type(value) is int and 0 < value <= MAX_SLOTS


def is_endpoint(value: typing.Any) -> bool:
    """Returns whether a value is the id of an endpoint to connect to.

    It is sent in headers, so it contains ASCII characters only.
    """
    return (
        is_name(value)
        and value.isascii()
        and addresses.is_valid(ids.address_of(ids.EndpointId(value)))
    )


def from_text(
    text: str,
    on_mistake: collections_abc.Callable[[str], object] = lambda _: None,
) -> list[ListedEndpoint]:
    """Parses the output of `to_text`; items that are not valid are left out.

    Args:
        text: The list.
        on_mistake: Called with the reason for each item that is left out.

    Raises:
        ValueError: The text is not a serialized list, or no item is valid.
    """
    raw, mistakes = json_text.load_array(text)
    listed: dict[ids.EndpointId, ListedEndpoint] = {}
    for values in raw:
        try:
            item = _from_values(values)
            if listed.setdefault(item.endpoint, item) is not item:
                raise ValueError("listed twice")
        except ValueError as error:
            mistakes.append(str(error))
    if mistakes and not listed:
        raise ValueError(f"not a list of endpoints: {mistakes[0]}")
    for mistake in mistakes:
        on_mistake(mistake)
    return list(listed.values())


def _from_values(values: typing.Any) -> ListedEndpoint:
    """Returns an item of a list.

    Raises:
        ValueError: It is not valid.
    """
    if not isinstance(values, list) or len(values) < 5:
        raise ValueError("not an array of five values")
    endpoint, state, service, domain, slots, *software = values
    # Instances of earlier builds do not send it.
    version = software[0] if software else ids.UNKNOWN_SOFTWARE
    if not is_endpoint(endpoint):
        raise ValueError("endpoint")
    if not all(each == "" or is_name(each) for each in (service, domain)):
        raise ValueError("service or domain")
    if not (version == "" or is_name(version)):
        raise ValueError("software")
    if not (is_slots(slots) or (type(slots) is int and slots == 0)):
        raise ValueError("slots")
    if not isinstance(state, str) or state not in _STATES:
        raise ValueError("state")
    return ListedEndpoint(
        ids.EndpointId(endpoint),
        ListedState(state),
        ids.ServiceId(service),
        ids.DomainId(domain),
        slots,
        software=ids.SoftwareVersion(version),
    )
