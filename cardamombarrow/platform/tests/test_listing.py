"""Tests of the platform's list of servers."""

import json

import pytest

from cardamombarrow.discovery import base
from cardamombarrow.kernel import ids
from cardamombarrow.platform import listing

_ENTRY = {
    "service": "letters",
    "address": "10.0.0.9:8080",
    "zone": "accra-osu",
    "version": "v1.2",
    "slots": 64,
    "state": "ready",
    "id": "i-7f",
}


def _page(*entries, token=None):
    return json.dumps({"instances": entries, "nextToken": token}).encode()


def test_a_page_is_read():
    listed, token = listing.read_page(_page(_ENTRY, token="p-50"))
    assert token == "p-50"
    assert listed == [
        base.ListedEndpoint(
            ids.EndpointId("10.0.0.9:8080#i-7f"),
            base.ListedState.LIVE,
            ids.ServiceId("letters"),
            ids.DomainId("accra-osu"),
            64,
            software=ids.SoftwareVersion("v1.2"),
        )
    ]


@pytest.mark.parametrize(
    "changes",
    [
        {"id": None},
        {"id": 7},
        {"address": "10.0.0.9"},
        {"address": "10.0.0.9:port"},
        {"zone": ""},
        {"version": None},
        {"version": 2},
        {"service": []},
        {"state": "asleep"},
        {"state": ["ready"]},
    ],
)
def test_an_entry_that_cannot_be_read_is_skipped(changes):
    # Another writer adds incomplete entries to the list. The valid entries
    # must still be used.
    listed, _ = listing.read_page(_page({**_ENTRY, **changes}, _ENTRY, 7))
    assert [each.endpoint for each in listed] == ["10.0.0.9:8080#i-7f"]


def test_slots_that_cannot_be_read_are_zero():
    listed, _ = listing.read_page(_page({**_ENTRY, "slots": "many"}))
    assert listed[0].slots == 0


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{}", b'{"instances": 7}', b"\xff"]
)
def test_a_body_that_is_not_a_page_is_refused(body):
    with pytest.raises(ValueError):
        listing.read_page(body)
