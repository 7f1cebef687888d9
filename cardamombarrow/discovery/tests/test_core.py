"""A list of endpoints that is asked for again and again."""

import time

import pytest

from cardamombarrow.discovery import base
from cardamombarrow.discovery import core
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


def test_the_list_is_there_after_the_first_look():
    taken = []
    watch = core.ListingWatch(_Source(_LISTED), "http://x", 60.0, taken.append)
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
    watch = core.ListingWatch(source, "http://x", 0.01, taken.append)
    watch.start()
    deadline_s = time.monotonic() + 20
    while not taken and time.monotonic() < deadline_s:
        time.sleep(0.01)
    watch.stop()
    assert taken[0] == _LISTED


def test_without_an_address_nothing_is_asked():
    watch = core.ListingWatch(_Source(_LOST), "", 0.01, None)
    watch.look()
    watch.start()
    watch.stop()
