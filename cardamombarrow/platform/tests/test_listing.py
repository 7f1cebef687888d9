"""Tests of the platform's list of servers."""

import contextlib
import json
import time
from urllib import parse

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.discovery import base
from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import left_out
from cardamombarrow.kernel.tests import odd_values
from cardamombarrow.platform import listing

_ENTRY = {
    "service": "letters",
    "address": "10.0.0.9:8080",
    "zone": "accra-osu",
    "version": "v1.2",
    "slots": 64,
    "state": "ready",
    "coldRemainingMs": 0,
    "id": "i-7f",
}
_SOUND = "10.0.0.9:8080#i-7f"
_MOST_LIST_BYTES = 64_000_000
_DEEP = "[" * 10_000 + "]" * 10_000


def _page(*entries, token=None):
    return json.dumps({"instances": entries, "nextToken": token}).encode()


def test_a_page_is_read():
    page = listing.read_page(_page(_ENTRY, token="p-50"))
    assert page.next_token == "p-50"
    assert not page.mistakes
    assert list(page.listed) == [
        base.ListedEndpoint(
            ids.EndpointId("10.0.0.9:8080#i-7f"),
            base.ListedState.LIVE,
            ids.ServiceId("letters"),
            ids.DomainId("accra-osu"),
            64,
            software=ids.SoftwareVersion("v1.2"),
        )
    ]


_MISTAKES = [
    ("id", None, "name"),
    ("id", 7, "name"),
    ("id", "\ud800", "name"),
    ("id", "a\nb", "name"),
    ("id", "\u00e9", "name"),
    ("id", "i" * 1_000_000, "name"),
    ("address", "10.0.0.9", "address"),
    ("address", "10.0.0.9:port", "address"),
    ("address", "10.0.0.9:0", "address"),
    ("address", "10.0.0.9:" + "9" * 900, "address"),
    ("zone", "", "name"),
    ("version", None, "name"),
    ("version", 2, "name"),
    ("service", [], "name"),
    ("state", "asleep", "state"),
    ("state", ["ready"], "state"),
    ("slots", "6", "slots"),
    ("slots", True, "slots"),
    ("slots", 6.0, "slots"),
    ("slots", 0, "slots"),
    ("slots", -6, "slots"),
    ("slots", 2**64, "slots"),
    ("slots", None, "slots"),
    ("coldRemainingMs", "0", "cold"),
    ("coldRemainingMs", None, "cold"),
    ("coldRemainingMs", False, "cold"),
    ("coldRemainingMs", -1, "cold"),
    ("spot", "yes", "spot"),
]


@pytest.mark.parametrize(("field", "value", "reason"), _MISTAKES)
def test_an_entry_that_cannot_be_read_is_left_out(field, value, reason):
    # Guards against requests to a server that an entry of another writer names,
    # and against sound entries that are lost because of it.
    foreign = {**_ENTRY, "id": "i-1", field: value}
    page = listing.read_page(_page(foreign, _ENTRY, 7))
    assert [each.endpoint for each in page.listed] == [_SOUND]
    assert page.mistakes == {
        listing.Mistake(reason): 1,
        listing.Mistake.NOT_AN_OBJECT: 1,
    }


@pytest.mark.parametrize("field", _ENTRY)
def test_an_entry_without_a_field_is_left_out(field):
    foreign = {**_ENTRY, "id": "i-1"}
    del foreign[field]
    page = listing.read_page(_page(foreign, _ENTRY))
    assert [each.endpoint for each in page.listed] == [_SOUND]


@pytest.mark.parametrize(
    "text",
    [
        b'{"id": "\xff\xfe"}',
        b'{"id": \xff}',
        b'{"slots": NaN}',
        b'{"slots": Infinity}',
        b'{"slots": 1e400}',
        b'{"slots": ' + b"9" * 5_000 + b"}",
        b'{"id": "\x01"}',
        b'{"id": "a", }',
        b'{"id": "a"]',
        b"\x00",
        b"",
        _DEEP.encode(),
    ],
)
def test_an_entry_that_is_not_json_is_left_out(text):
    # Guards against a list that is lost as a whole, after a restart of all
    # processes with no server left, because of one entry of another writer.
    sound = json.dumps(_ENTRY).encode()
    body = b'{"nextToken": "p-50", "instances": [%b, %b, %b]}'
    page = listing.read_page(body % (text, sound, text))
    assert [each.endpoint for each in page.listed] == [_SOUND]
    assert page.next_token == "p-50"
    assert page.mistakes == {listing.Mistake.NOT_JSON: 2}


def test_of_two_entries_for_one_server_the_first_is_used():
    other = {**_ENTRY, "service": "other"}
    page = listing.read_page(_page(_ENTRY, other))
    assert [each.service for each in page.listed] == ["letters"]
    assert page.mistakes == {listing.Mistake.DUPLICATE: 1}


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"instances": 7}',
        b"\xff",
        b'{"instances": [{}, {"id": NaN}',
        b'{"instances": [{"id": NaN}], "nextToken": 7}',
        b'{"instances": [{"id": NaN}]}}',
        b'{"instances": [{"id": "i-1',
        b'{"instances": [{"id": "i-1", ]}, {}]}',
        b'{"instances": [], "nextToken": NaN}',
        _DEEP.encode(),
    ],
)
def test_a_body_that_is_not_a_page_is_refused(body):
    with pytest.raises(ValueError):
        listing.read_page(body)


@hypothesis.given(strategies.binary())
def test_any_bytes_are_a_page_or_refused(body):
    with contextlib.suppress(ValueError):
        listing.read_page(body)


_FOREIGN = strategies.one_of(
    strategies.sampled_from(_MISTAKES).map(
        lambda each: json.dumps(
            {**_ENTRY, "id": "i-1", each[0]: each[1]}
        ).encode()
    ),
    strategies.sampled_from(
        [b'{"id": "\xff"}', b'{"slots": NaN}', b"\xff", _DEEP.encode()]
    ),
    strategies.recursive(
        strategies.none() | strategies.booleans() | strategies.text(),
        lambda each: (
            strategies.lists(each)
            | strategies.dictionaries(strategies.text(), each)
        ),
    ).map(lambda each: json.dumps(each).encode()),
)
_SOUND_ENTRY = strategies.integers(1, 65_535).map(
    lambda port: {**_ENTRY, "address": f"10.0.0.9:{port}"}
)


@hypothesis.given(
    strategies.lists(_SOUND_ENTRY | _FOREIGN, max_size=12),
    strategies.sampled_from([b",", b" ,\n"]),
)
def test_exactly_the_sound_entries_are_used(entries, comma):
    sound = [each for each in entries if isinstance(each, dict)]
    texts = [
        json.dumps(each).encode() if isinstance(each, dict) else each
        for each in entries
    ]
    page = listing.read_page(b'{"instances": [' + comma.join(texts) + b"]}")
    assert [each.endpoint for each in page.listed] == list(
        dict.fromkeys(f"{each['address']}#{each['id']}" for each in sound)
    )


def test_a_list_without_end_is_given_up_before_it_fills_memory(monkeypatch):
    # Guards against pages that are each small enough and never end.
    body = _page({**_ENTRY, "zone": "a" * 1_000_000}, token="next")
    fetched = []

    def fetch(url, *, timeout_s, max_bytes=http_get.MAX_REPLY_BYTES):
        fetched.append(url)
        assert len(body) < max_bytes
        return http_get.Reply(200, body)

    monkeypatch.setattr(http_get, "fetch", fetch)
    with pytest.raises(ValueError, match="list of servers"):
        listing.PlatformList().fetch("http://10.0.0.1/instances")
    assert len(fetched) * len(body) < _MOST_LIST_BYTES


@pytest.mark.parametrize("address", odd_values.ADDRESSES, ids=ascii)
def test_an_entry_with_an_odd_address_is_left_out(address):
    # Guards against requests that end with an error of the socket.
    page = listing.read_page(_page({**_ENTRY, "address": address}, _ENTRY))
    assert [each.endpoint for each in page.listed] == [_SOUND]


def _entry(number):
    return {**_ENTRY, "id": f"i-{number}", "address": f"10.0.0.{number}:80"}


def _endpoints(*numbers):
    return [f"10.0.0.{each}:80#i-{each}" for each in numbers]


class _Pages:
    """Serves a list of pages.

    Attributes:
        bodies: Body of each page, by its token.
        calls: Number of requests.
    """

    def __init__(self, monkeypatch):
        self.bodies = {}
        self.calls = 0
        self._source = listing.PlatformList()
        monkeypatch.setattr(http_get, "fetch", self._fetch)

    def _fetch(self, url, *, timeout_s, max_bytes=http_get.MAX_REPLY_BYTES):
        self.calls += 1
        query = parse.parse_qs(parse.urlsplit(url).query)
        (token,) = query.get("pageToken", [""])
        return http_get.Reply(200, self.bodies[token])

    def read(self):
        listed = self._source.fetch("http://10.0.0.1/instances")
        return [each.endpoint for each in listed]


@pytest.fixture
def pages(monkeypatch):
    return _Pages(monkeypatch)


_UNCLOSED = [
    b'{"id": "x", "models": [{"name": "m"}',
    b'{"id": "x", "service": {"a": [',
    b'{"id": "x", "state": "ready"',
    b'{"id": "x, "state": "ready"}',
    b'{"id": "x", "state": "ready}',
    b'{"id": ["x"}',
    b'{"id": "x"}}',
    b'{"id": "x"}]',
    b'{"id": "x"]}',
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b'"',
    b"{",
    b"}",
    b"]",
]


@pytest.mark.parametrize("damaged", _UNCLOSED, ids=lambda text: text[:40])
@pytest.mark.parametrize("place", [0, 1, 2])
@pytest.mark.parametrize("page", ["", "two", "three"])
def test_entries_beside_one_that_is_not_closed_are_used(
    pages, damaged, place, page
):
    # Guards against servers that nobody uses while another writer's entry on
    # their page, or on one before it, has brackets that are not closed.
    entries = {
        token: [json.dumps(_entry(each)).encode() for each in numbers]
        for token, numbers in {"": (1, 2), "two": (3, 4), "three": (5,)}.items()
    }
    entries[page].insert(place, damaged)
    for token, next_token in (
        ("", b'"two"'),
        ("two", b'"three"'),
        ("three", b"null"),
    ):
        pages.bodies[token] = b'{"instances": [%b], "nextToken": %b}' % (
            b", ".join(entries[token]),
            next_token,
        )
    assert pages.read() == _endpoints(1, 2, 3, 4, 5)
    key = ("list", "page")
    counted = left_out.counts()[key]
    pages.read()
    assert left_out.counts()[key] > counted


def test_the_token_of_a_damaged_page_is_found_before_its_entries(pages):
    pages.bodies[""] = b'{"nextToken": "two", "instances": [{"id": [}, %b]}' % (
        json.dumps(_entry(1)).encode()
    )
    pages.bodies["two"] = _page(_entry(2))
    assert pages.read() == _endpoints(1, 2)


_ODD_TOKENS = [
    text for text in odd_values.JSON_VALUES if text not in ("null", '""')
]


@pytest.mark.parametrize("token", _ODD_TOKENS, ids=lambda text: text[:12])
def test_servers_behind_an_odd_token_are_kept(pages, token):
    # Guards against a list that ends at a page whose next page is not known,
    # so that all servers on the later pages count as gone.
    pages.bodies[""] = _page(_entry(1), token="two")
    pages.bodies["two"] = _page(_entry(2), token="three")
    pages.bodies["three"] = _page(_entry(3))
    assert pages.read() == _endpoints(1, 2, 3)
    added = json.dumps([_entry(2), _entry(4)]).encode()
    pages.bodies["two"] = b'{"instances": %b, "nextToken": %b}' % (
        added,
        token.encode(),
    )
    for sent in (json.loads(token),) if token.startswith('"') else ():
        # A page that is asked for with a token of another writer.
        pages.bodies[sent] = b"no page"
    assert sorted(pages.read()) == _endpoints(1, 2, 3, 4)
    pages.bodies["two"] = _page(_entry(2))
    assert pages.read() == _endpoints(1, 2)


def test_a_token_that_leads_back_is_not_followed_again(pages):
    # Guards against hundreds of calls to the platform each time.
    pages.bodies[""] = _page(_entry(1), token="two")
    pages.bodies["two"] = _page(_entry(2), token="two")
    assert pages.read() == _endpoints(1, 2)
    assert pages.calls <= 3


def test_a_server_at_an_address_that_is_taken_again_is_not_kept(pages):
    pages.bodies[""] = _page(_entry(1), token="two")
    pages.bodies["two"] = _page(_entry(2))
    pages.read()
    successor = {**_entry(2), "id": "i-9"}
    pages.bodies[""] = _page(_entry(1), successor, token=7)
    assert pages.read() == [*_endpoints(1), "10.0.0.2:80#i-9"]


def test_a_list_without_any_sound_page_is_refused(pages):
    # The caller then keeps the list that it has.
    pages.bodies[""] = b'{"instances": [{"id": "x", "a": [{]'
    with pytest.raises(ValueError):
        pages.read()


def test_of_two_entries_on_two_pages_the_first_is_used(pages):
    # Guards against an endpoint that is taken out of use and back with each
    # read of the list.
    pages.bodies[""] = _page(_entry(1), token="two")
    pages.bodies["two"] = _page({**_entry(1), "state": "draining"}, _entry(2))
    assert pages.read() == _endpoints(1, 2)


@pytest.mark.parametrize("damaged", _UNCLOSED[:3])
def test_a_page_full_of_damaged_entries_is_given_up_soon(damaged):
    # Guards against a thread that reads one page for minutes.
    filler = damaged + b"[" * 200
    count = listing.MAX_PAGE_BYTES // (len(filler) + 1)
    sound = json.dumps(_ENTRY).encode()
    body = b'{"instances": [%b]}' % b",".join([sound, *[filler] * count])
    started_s = time.monotonic()
    page = listing.salvage_page(body)
    assert [each.endpoint for each in page.listed] == [_SOUND]
    assert time.monotonic() - started_s < 10.0


@hypothesis.given(strategies.binary())
def test_any_bytes_are_salvaged_or_refused(body):
    for whole in (body, b'{"instances": [%b], "nextToken": null}' % body):
        with contextlib.suppress(ValueError):
            listing.salvage_page(whole)
