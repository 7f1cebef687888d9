"""Reads of a list with one kind of mistake each, as when a process starts."""

import json

import pytest

from cardamombarrow.endpoints import http_get
from cardamombarrow.platform import listing

_SOUND = {
    "service": "letters",
    "address": "10.0.0.9:8080",
    "zone": "accra-osu",
    "version": "v1.2",
    "slots": 64,
    "state": "ready",
    "coldRemainingMs": 0,
    "id": "i-7f",
}
_ODD = {
    listing.Mistake.NOT_JSON: '{"id": NaN}',
    listing.Mistake.NOT_AN_OBJECT: "7",
    listing.Mistake.NAME: json.dumps({**_SOUND, "id": "a\nb"}),
    listing.Mistake.ADDRESS: json.dumps({**_SOUND, "address": "a:70000"}),
    listing.Mistake.STATE: json.dumps({**_SOUND, "state": "asleep"}),
    listing.Mistake.SLOTS: json.dumps({**_SOUND, "slots": 2**64}),
    listing.Mistake.COLD: json.dumps({**_SOUND, "coldRemainingMs": -1}),
    listing.Mistake.SPOT: json.dumps({**_SOUND, "spot": 1}),
    listing.Mistake.DUPLICATE: json.dumps({**_SOUND, "service": "other"}),
}


@pytest.mark.parametrize("mistake", _ODD)
def test_the_first_read_with_an_odd_entry_names_the_servers(
    monkeypatch, mistake
):
    # Guards against processes that start without servers, and follow the list
    # no more while the number of odd entries changes.
    body = f'{{"instances": [{json.dumps(_SOUND)}, {_ODD[mistake]}]}}'
    reply = http_get.Reply(200, body.encode())
    monkeypatch.setattr(http_get, "fetch", lambda *args, **fields: reply)
    source = listing.PlatformList()
    (listed,) = source.fetch("http://10.0.0.1/instances")
    assert listed.service == "letters"
    assert source.fetch("http://10.0.0.1/instances") == [listed]
