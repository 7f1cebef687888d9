"""Tests of the platform's list of servers."""

import contextlib
import json

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.discovery import base
from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import ids
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
