"""A list of endpoints that is polled and shared by gossip."""

import json
import time

import pytest

from cardamombarrow.discovery import base
from cardamombarrow.discovery import core
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel.tests import odd_values


class _Source(base.Source):
    def __init__(self, *answers):
        self._answers = list(answers)

    def fetch(self, url):
        answer = self._answers.pop(0) if len(self._answers) > 1 else None
        answer = answer or self._answers[0]
        if isinstance(answer, Exception):
            raise answer
        return answer


_LISTED = [base.ListedEndpoint(ids.EndpointId("a:1"), base.ListedState.LIVE)]
_LOST = errors.EndpointError(errors.ErrorKind.ENDPOINT_FAILED, "x", sent=True)


def _watch(source, on_listing, interval_s, url="http://x", **options):
    time_source = options.pop("time_source", clock.SystemClock())
    times = core.ListingSchedule.within(interval_s, 0.0)
    return core.ListingWatch(
        source, url, times, on_listing, time_source, **options
    )


def test_the_list_is_available_after_the_first_fetch():
    applied = []
    watch = _watch(_Source(_LISTED), applied.append, 60.0)
    watch.refresh()
    assert applied == [_LISTED]


@pytest.mark.parametrize(
    "failure", [_LOST, ValueError("no list"), KeyError("a bug")]
)
def test_polling_continues_after_a_failed_fetch(failure):
    # The platform is down, answers with invalid data, or its answer triggers
    # a bug here. The last list stays in use, and the next answer is applied.
    applied = []
    source = _Source(failure, failure, _LISTED)
    watch = _watch(source, applied.append, 0.01)
    watch.start()
    deadline_s = time.monotonic() + 20
    while not applied and time.monotonic() < deadline_s:
        time.sleep(0.01)
    watch.stop()
    assert applied[0] == _LISTED


def test_without_a_url_nothing_is_fetched():
    watch = _watch(_Source(_LOST), None, 0.01, url="")
    watch.refresh()
    watch.start()
    watch.stop()


_LEAVING = [
    base.ListedEndpoint(ids.EndpointId("a:1"), base.ListedState.LEAVING)
]


def test_a_list_that_was_fetched_earlier_restores_no_endpoint():
    # An endpoint is listed as leaving. Gossip then delivers a list that
    # another entry fetched a second before; requests would go there again.
    applied = []
    time_source = clock.ManualClock(10.0)
    watch = _watch(
        _Source(_LEAVING), applied.append, 1.0, time_source=time_source
    )
    watch.refresh()
    watch.receive(base.to_text(_LISTED), 9.0)
    assert applied == [_LEAVING]
    watch.receive(base.to_text(_LISTED), 11.0)
    assert applied == [_LEAVING, _LISTED]


@pytest.mark.parametrize(
    ("is_reader", "heard_ago_s", "due"),
    [
        (True, 0.0, True),
        (False, 0.0, False),
        (False, 1.9, False),
        (False, 2.1, True),
    ],
)
def test_an_entry_that_is_not_the_reader_fetches_only_when_its_list_is_old(
    is_reader, heard_ago_s, due
):
    # With all 78 entries fetching the list, the platform got more requests
    # than it answers. If the reader dies, the others get no notice of it.
    time_source = clock.ManualClock(10.0)
    watch = _watch(
        _Source(_LISTED),
        lambda items: None,
        1.0,
        time_source=time_source,
        is_reader=lambda: is_reader,
    )
    watch.receive(base.to_text(_LISTED), 10.0 - heard_ago_s)
    assert watch._is_due() is due


@pytest.mark.parametrize(
    ("interval_s", "bound_s", "expected"),
    [
        (1.0, 0.0, core.ListingSchedule(1.0, 2.0)),
        (2.0, 5.0, core.ListingSchedule(2.0, 4.0)),
        # A deployment where all entries must know within a second.
        (2.0, 1.0, core.ListingSchedule(0.4, 0.8)),
    ],
)
def test_the_maximum_age_of_a_list_is_below_the_bound_for_leaving_endpoints(
    interval_s, bound_s, expected
):
    assert core.ListingSchedule.within(interval_s, bound_s) == expected


@pytest.mark.parametrize(
    ("read_s", "is_news"), [(9.0, False), (10.2, False), (12.0, True)]
)
def test_a_fetched_list_is_newer_only_once(read_s, is_news):
    # A list that is passed on although it is not newer would circulate
    # between the entries forever.
    watch = _watch(
        _Source(_LISTED),
        lambda items: None,
        1.0,
        time_source=clock.ManualClock(12.0),
    )
    watch.receive(base.to_text(_LISTED), 10.0)
    assert watch.receive(base.to_text(_LISTED), read_s) is is_news
    assert watch.receive(base.to_text(_LISTED), read_s) is False


def test_a_list_survives_serialization():
    listed = [
        base.ListedEndpoint(
            ids.EndpointId("b:2#i-1"),
            base.ListedState.LEAVING,
            ids.ServiceId("s"),
            ids.DomainId("d"),
            7,
        ),
        *_LISTED,
    ]
    text = base.to_text(listed)
    assert base.to_text(listed[::-1]) == text
    assert set(base.from_text(text)) == set(listed)


@pytest.mark.parametrize("text", ["", "7", "[7]", '[["a", "odd", "", "", 0]]'])
def test_a_text_that_is_not_a_list_is_rejected(text):
    with pytest.raises(ValueError):
        base.from_text(text)


_VALUES = ["10.0.0.9:80#i", "live", "s", "d", 4, "v1"]
_ODD_ITEMS = [
    *odd_values.JSON_VALUES,
    *(
        json.dumps(_VALUES).replace(json.dumps(value), text)
        for value in ("10.0.0.9:80#i", "live", "s", "d", "v1")
        for text in odd_values.JSON_VALUES
        if text != '""' or value in ("10.0.0.9:80#i", "live")
    ),
    *(
        json.dumps([*_VALUES[:4], "SLOTS"]).replace('"SLOTS"', text)
        for text in odd_values.JSON_VALUES
    ),
    *(json.dumps([each, *_VALUES[1:]]) for each in odd_values.ADDRESSES),
    json.dumps(_VALUES[:4]),
]


@pytest.mark.parametrize("item", _ODD_ITEMS, ids=lambda item: ascii(item)[:40])
def test_an_odd_item_of_a_received_list_is_left_out(item):
    # Guards against entries that lose the whole list of another entry, or use
    # an endpoint that no socket can connect to, because of one odd item.
    sound = json.dumps(["10.0.0.8:80", "live", "s", "d", 4, "v1"])
    applied = []
    watch = _watch(_Source(_LISTED), applied.append, 60.0)
    assert watch.receive(f"[{item},{sound}]", 1.0)
    assert [[each.endpoint for each in listed] for listed in applied] == [
        ["10.0.0.8:80"]
    ]


def test_of_two_received_items_for_one_endpoint_the_first_is_used():
    second = [*_VALUES[:4], 9]
    (item,) = base.from_text(json.dumps([_VALUES, second]))
    assert item.slots == 4
