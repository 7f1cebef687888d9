"""A list of endpoints that is asked for again and again."""

import time

import pytest

from cardamombarrow.discovery import base
from cardamombarrow.discovery import core
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids


class _Source(base.Source):
    def __init__(self, *answers):
        self._answers = list(answers)

    def fetch(self, url):
        answer = self._answers.pop(0) if len(self._answers) > 1 else None
        answer = answer or self._answers[0]
        if isinstance(answer, Exception):
            raise answer
        return answer


_LISTED = [base.Listed(ids.EndpointId("a:1"), base.ListedState.LIVE)]
_LOST = errors.EndpointError(errors.ErrorKind.ENDPOINT_FAILED, "x", sent=True)


def _watch(source, take, interval_s, url="http://x", **options):
    time_source = options.pop("time_source", clock.SystemClock())
    times = core.ListingTimes.within(interval_s, 0.0)
    return core.ListingWatch(source, url, times, take, time_source, **options)


def test_the_list_is_there_after_the_first_look():
    taken = []
    watch = _watch(_Source(_LISTED), taken.append, 60.0)
    watch.look()
    assert taken == [_LISTED]


@pytest.mark.parametrize(
    "failure", [_LOST, ValueError("no list"), KeyError("a bug")]
)
def test_a_list_that_is_lost_for_a_while_ends_nothing(failure):
    # The platform is down, answers rubbish, or its answer meets a fault of
    # our own. What was known stays, and the next answer is taken.
    taken = []
    source = _Source(failure, failure, _LISTED)
    watch = _watch(source, taken.append, 0.01)
    watch.start()
    deadline_s = time.monotonic() + 20
    while not taken and time.monotonic() < deadline_s:
        time.sleep(0.01)
    watch.stop()
    assert taken[0] == _LISTED


def test_without_an_address_nothing_is_asked():
    watch = _watch(_Source(_LOST), None, 0.01, url="")
    watch.look()
    watch.start()
    watch.stop()


_LEAVING = [base.Listed(ids.EndpointId("a:1"), base.ListedState.LEAVING)]


def test_a_list_that_was_read_earlier_brings_nothing_back():
    # An endpoint has been seen to leave. Gossip then brings a list that
    # another entry read a second before; requests would go there again.
    taken = []
    time_source = clock.ManualClock(10.0)
    watch = _watch(
        _Source(_LEAVING), taken.append, 1.0, time_source=time_source
    )
    watch.look()
    watch.heard(base.to_text(_LISTED), 9.0)
    assert taken == [_LEAVING]
    watch.heard(base.to_text(_LISTED), 11.0)
    assert taken == [_LEAVING, _LISTED]


@pytest.mark.parametrize(
    ("is_reader", "heard_ago_s", "due"),
    [
        (True, 0.0, True),
        (False, 0.0, False),
        (False, 1.9, False),
        (False, 2.1, True),
    ],
)
def test_who_hears_the_list_reads_it_only_when_that_grows_old(
    is_reader, heard_ago_s, due
):
    # All 78 entries reading the list asked the platform more often than it
    # answers. The reader may also die, and nobody tells the others.
    time_source = clock.ManualClock(10.0)
    watch = _watch(
        _Source(_LISTED),
        lambda items: None,
        1.0,
        time_source=time_source,
        is_reader=lambda: is_reader,
    )
    watch.heard(base.to_text(_LISTED), 10.0 - heard_ago_s)
    assert watch._is_due() is due


@pytest.mark.parametrize(
    ("interval_s", "bound_s", "expected"),
    [
        (1.0, 0.0, core.ListingTimes(1.0, 2.0)),
        (2.0, 5.0, core.ListingTimes(2.0, 4.0)),
        # A deployment where the word must be everywhere within a second.
        (2.0, 1.0, core.ListingTimes(0.4, 0.8)),
    ],
)
def test_a_list_is_never_older_than_the_word_of_a_leaving_endpoint_may_be(
    interval_s, bound_s, expected
):
    assert core.ListingTimes.within(interval_s, bound_s) == expected


@pytest.mark.parametrize(
    ("read_s", "is_news"), [(9.0, False), (10.2, False), (12.0, True)]
)
def test_a_reading_is_news_once(read_s, is_news):
    # What is passed on at once and is no news would go round for ever.
    watch = _watch(
        _Source(_LISTED),
        lambda items: None,
        1.0,
        time_source=clock.ManualClock(12.0),
    )
    watch.heard(base.to_text(_LISTED), 10.0)
    assert watch.heard(base.to_text(_LISTED), read_s) is is_news
    assert watch.heard(base.to_text(_LISTED), read_s) is False


def test_a_list_survives_its_way_as_text():
    listed = [
        base.Listed(
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
def test_a_text_that_is_no_list_is_refused(text):
    with pytest.raises(ValueError):
        base.from_text(text)
