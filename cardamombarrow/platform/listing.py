"""The platform's list of servers."""

import collections
import dataclasses
import enum
import typing
from urllib import parse

from cardamombarrow.discovery import base
from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import addresses
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import json_text
from cardamombarrow.kernel import logs
from cardamombarrow.kernel import registry

__all__ = ["Mistake", "Page", "PlatformList", "read_page"]

FETCH_TIMEOUT_S = 1.5

MAX_PAGES = 200
"""Guards against a list whose next-page tokens never end."""

MAX_PAGE_BYTES = 4_194_304
"""Maximum size of a page; its parsed form takes a multiple of it."""

MAX_LIST_BYTES = 16_777_216
"""Maximum size of all pages together, several tens of thousands of servers."""

_NAMES = ("id", "address", "service", "zone", "version")

_STATES = {
    "ready": base.ListedState.LIVE,
    "draining": base.ListedState.LEAVING,
}


class Mistake(enum.Enum):
    """Why an entry of the list names no server to use."""

    NOT_JSON = "not_json"
    NOT_AN_OBJECT = "not_an_object"
    NAME = "name"
    ADDRESS = "address"
    STATE = "state"
    SLOTS = "slots"
    COLD = "cold"
    SPOT = "spot"
    DUPLICATE = "duplicate"


class _EntryError(ValueError):
    """An entry can't be used."""

    def __init__(self, mistake: Mistake):
        super().__init__(mistake.value)
        self.mistake = mistake


@dataclasses.dataclass(frozen=True)
class Page:
    """One page of the list.

    Attributes:
        listed: The servers.
        next_token: Token of the next page; empty on the last one.
        mistakes: How many entries were left out, by reason.
    """

    listed: tuple[base.ListedEndpoint, ...]
    next_token: str
    mistakes: collections.Counter[Mistake]


def read_page(body: bytes) -> Page:
    """Reads one page; entries that can't be read are left out.

    Raises:
        ValueError: The body is not a page of the list.
    """
    raw, items, damaged = json_text.load_array_member(body, "instances")
    token = raw.get("nextToken") or ""
    if not isinstance(token, str):
        raise ValueError("nextToken: not a text")
    mistakes = collections.Counter({Mistake.NOT_JSON: len(damaged)})
    listed: dict[ids.EndpointId, base.ListedEndpoint] = {}
    for item in items:
        try:
            entry = _entry(item)
            if listed.setdefault(entry.endpoint, entry) is not entry:
                raise _EntryError(Mistake.DUPLICATE)
        except _EntryError as error:
            mistakes[error.mistake] += 1
    return Page(tuple(listed.values()), token, +mistakes)


def _entry(item: typing.Any) -> base.ListedEndpoint:
    if not isinstance(item, dict):
        raise _EntryError(Mistake.NOT_AN_OBJECT)
    identity, address, service, zone, software = (
        _name(item.get(key)) for key in _NAMES
    )
    if not addresses.is_valid(address):
        raise _EntryError(Mistake.ADDRESS)
    if not identity.isascii():
        # It is sent in headers.
        raise _EntryError(Mistake.NAME)
    state = item.get("state")
    if not isinstance(state, str) or state not in _STATES:
        raise _EntryError(Mistake.STATE)
    slots = item.get("slots")
    if not base.is_slots(slots):
        raise _EntryError(Mistake.SLOTS)
    cold_ms = item.get("coldRemainingMs")
    if type(cold_ms) not in (int, float) or cold_ms < 0:
        raise _EntryError(Mistake.COLD)
    spot = item.get("spot", False)
    if not isinstance(spot, bool):
        raise _EntryError(Mistake.SPOT)
    return base.ListedEndpoint(
        ids.endpoint_id(address, identity),
        _STATES[state],
        ids.ServiceId(service),
        ids.DomainId(zone),
        slots,
        spot,
        ids.SoftwareVersion(software),
    )


def _name(value: typing.Any) -> str:
    if not base.is_name(value):
        raise _EntryError(Mistake.NAME)
    return value


@registry.plugin(base.SLOT, "platform")
class PlatformList(base.Source):
    """A list that is fetched page by page."""

    names_endpoints = True

    def __init__(self):
        self._mistakes: collections.Counter[Mistake] = collections.Counter()

    def fetch(self, url: str) -> list[base.ListedEndpoint]:
        """Reads all pages; see `base.Source`."""
        listed: list[base.ListedEndpoint] = []
        mistakes: collections.Counter[Mistake] = collections.Counter()
        token = ""
        list_bytes = 0
        for _ in range(MAX_PAGES):
            query = f"?{parse.urlencode({'pageToken': token})}" if token else ""
            reply = http_get.fetch(
                url + query,
                timeout_s=FETCH_TIMEOUT_S,
                max_bytes=MAX_PAGE_BYTES,
            )
            list_bytes += len(reply.body)
            if list_bytes > MAX_LIST_BYTES:
                break
            if reply.status != 200:
                raise errors.EndpointError(
                    errors.ErrorKind.ENDPOINT_FAILED,
                    f"{url} answered {reply.status}",
                    sent=True,
                )
            page = read_page(reply.body)
            listed += page.listed
            mistakes += page.mistakes
            token = page.next_token
            if not token:
                self._log_changes(mistakes)
                return listed
        raise ValueError("the list of servers is too long")

    def _log_changes(self, mistakes: collections.Counter[Mistake]) -> None:
        """Logs the entries that are left out, when their number changes."""
        if mistakes != self._mistakes:
            self._mistakes = mistakes
            logs.event(
                "listed entries left out",
                "WARNING" if mistakes else "INFO",
                **{each.value: count for each, count in mistakes.items()},
            )
