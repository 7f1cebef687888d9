"""The platform's list of servers."""

import collections
from collections import abc
import contextlib
import dataclasses
import enum
import re
import typing
from urllib import parse

from cardamombarrow.discovery import base
from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import addresses
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import json_text
from cardamombarrow.kernel import left_out
from cardamombarrow.kernel import logs
from cardamombarrow.kernel import registry

__all__ = ["Mistake", "Page", "PlatformList", "read_page", "salvage_page"]

FETCH_TIMEOUT_S = 1.5

MAX_PAGES = 200
"""Guards against a list whose next-page tokens never end."""

MAX_TOKEN_CHARS = 4_000
"""Longest token that is sent back, within the length of a request's line."""

MAX_PAGE_BYTES = 4_194_304
"""Maximum size of a page; its parsed form takes a multiple of it."""

MAX_LIST_BYTES = 16_777_216
"""Maximum size of all pages together, several tens of thousands of servers."""

_NEXT_TOKEN = re.compile(
    r'"nextToken"\s*:\s*(null|"(?:[^"\\]|\\.)*")\s*[,}]', re.DOTALL
)

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
    PAGE = "page"
    """Not an entry: a page of which parts can't be told apart."""


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
        next_token: Token of the next page; empty on the last one, None if it
            can't be read.
        mistakes: How many entries were left out, by reason.
    """

    listed: tuple[base.ListedEndpoint, ...]
    next_token: str | None
    mistakes: collections.Counter[Mistake]


def read_page(body: bytes) -> Page:
    """Reads one page; entries that can't be read are left out.

    Raises:
        ValueError: The body is not a page of the list.
    """
    raw, items, damaged = json_text.load_array_member(body, "instances")
    token = raw.get("nextToken")
    if token is None:
        token = ""
    if not isinstance(token, str):
        raise ValueError("nextToken: not a text")
    listed, mistakes = _entries(items)
    mistakes[Mistake.NOT_JSON] += len(damaged)
    return Page(listed, token, +mistakes)


def salvage_page(body: bytes) -> Page:
    """Reads what can be told apart in a page that `read_page` refuses.

    Raises:
        ValueError: It contains no entry that can be used.
    """
    outside, items, damaged = json_text.salvage_array_member(body, "instances")
    listed, mistakes = _entries(items)
    if not listed:
        raise ValueError("not a page of the list")
    mistakes[Mistake.NOT_JSON] += len(damaged)
    mistakes[Mistake.PAGE] = 1
    found = _NEXT_TOKEN.search(outside)
    token = None
    if found is not None:
        with contextlib.suppress(ValueError):
            token = json_text.load(found[1]) or ""
    return Page(listed, token, +mistakes)


def _entries(
    items: list[typing.Any],
) -> tuple[tuple[base.ListedEndpoint, ...], collections.Counter[Mistake]]:
    mistakes: collections.Counter[Mistake] = collections.Counter()
    listed: dict[ids.EndpointId, base.ListedEndpoint] = {}
    for item in items:
        try:
            entry = _entry(item)
            if listed.setdefault(entry.endpoint, entry) is not entry:
                raise _EntryError(Mistake.DUPLICATE)
        except _EntryError as error:
            mistakes[error.mistake] += 1
    return tuple(listed.values()), mistakes


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
        self._last: dict[ids.EndpointId, base.ListedEndpoint] = {}

    def fetch(self, url: str) -> list[base.ListedEndpoint]:
        """Reads all pages; see `base.Source`.

        If a part of a page can't be read, servers of the last list that are
        not in the other parts are kept: they may be in that part.
        """
        listed: dict[ids.EndpointId, base.ListedEndpoint] = {}
        mistakes: collections.Counter[Mistake] = collections.Counter()
        for page in self._pages(url):
            mistakes += page.mistakes
            for each in page.listed:
                listed.setdefault(each.endpoint, each)
        if Mistake.PAGE in mistakes:
            if not listed:
                raise ValueError("the list of servers can't be read")
            taken = {ids.address_of(endpoint) for endpoint in listed}
            for endpoint, each in self._last.items():
                if ids.address_of(endpoint) not in taken:
                    listed[endpoint] = each
        self._last = listed
        self._report(mistakes)
        return list(listed.values())

    def _pages(self, url: str) -> abc.Iterator[Page]:
        """Yields the pages, up to one whose next page is not known."""
        token = ""
        tokens = set()
        list_bytes = 0
        for _ in range(MAX_PAGES):
            body = self._fetch_page(url, token)
            list_bytes += len(body)
            if list_bytes > MAX_LIST_BYTES:
                break
            try:
                page = read_page(body)
            except ValueError:
                page = _salvage(body)
            yield page
            if not page.next_token:
                if page.next_token is None:
                    yield _UNREADABLE
                return
            token = page.next_token
            if token in tokens or not _is_token(token):
                yield _UNREADABLE
                return
            tokens.add(token)
        raise ValueError("the list of servers is too long")

    def _fetch_page(self, url: str, token: str) -> bytes:
        query = f"?{parse.urlencode({'pageToken': token})}" if token else ""
        reply = http_get.fetch(
            url + query,
            timeout_s=FETCH_TIMEOUT_S,
            max_bytes=MAX_PAGE_BYTES,
        )
        if reply.status != 200:
            raise errors.EndpointError(
                errors.ErrorKind.ENDPOINT_FAILED,
                f"{url} answered {reply.status}",
                sent=True,
            )
        return reply.body

    def _report(self, mistakes: collections.Counter[Mistake]) -> None:
        """Counts what is left out; logs it when its number changes."""
        for each, count in mistakes.items():
            left_out.record("list", each.value, count)
        if mistakes != self._mistakes:
            self._mistakes = mistakes
            logs.event(
                "listed entries left out",
                "WARNING" if mistakes else "INFO",
                **{each.value: count for each, count in mistakes.items()},
            )


_UNREADABLE = Page((), None, collections.Counter({Mistake.PAGE: 1}))


def _salvage(body: bytes) -> Page:
    try:
        return salvage_page(body)
    except ValueError:
        return _UNREADABLE


def _is_token(token: str) -> bool:
    """Returns whether a token can be sent back."""
    try:
        token.encode()
    except UnicodeEncodeError:
        return False
    return len(token) <= MAX_TOKEN_CHARS
