"""Streams with ids of all forms that break off and go on, on real processes."""

import pytest

from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

pytestmark = pytest.mark.process

_SENT = 3
_CUT = standin.Ending.RESET_BETWEEN_EVENTS


@pytest.fixture(scope="module")
def running(servers, tmp_path_factory):
    for number in range(3):
        servers.start(f"i-{number}")
    folder = tmp_path_factory.mktemp("ids")
    plan = stream_client.plan(servers.listing_url, {"a": ["a-1", "a-2"]})
    with deployment.Deployment(plan, folder) as started:
        yield started


def _events(numbers, line_end=b"\n"):
    return b"".join(standin.event(number, "v1", line_end) for number in numbers)


def _bare(number):
    """Returns an event without an id."""
    return b"data: v1/%d\n\n" % number


def _script(servers, begun, rest):
    """Has all servers break off new streams, and go on with others so."""
    cut = standin.Answer(ending=_CUT, pieces=(begun,))
    resumed = standin.Answer(pieces=(rest,))

    def script(received):
        return resumed if "last-event-id" in received.headers else cut

    servers.script = script


def _numbers(*answers):
    return [number for seen in answers for _, number in seen.events]


_MISPLACED = {
    "repeats the last event": _events(range(_SENT, 7)),
    "begins one event too late": _events(range(_SENT + 2, 7)),
    "begins anew": _events(range(1, 7)),
    "begins anew after a comment": b": hello\n\n" + _events(range(1, 7)),
    "has no ids": b"".join(map(_bare, range(1, 7))),
    "has no numbers": b"id: x\ndata: v1/4\n\n",
    "has fewer ids than events": _bare(_SENT) + _events(range(4, 7)),
}


@pytest.mark.parametrize("rest", _MISPLACED.values(), ids=_MISPLACED)
def test_a_stream_is_not_joined_to_one_that_does_not_follow(
    running, servers, rest
):
    # Guards against pieces that come twice or are missing in a stream that
    # looks complete.
    _script(servers, _events(range(1, _SENT + 1)), rest)
    seen = stream_client.call(running, "again", "1.1")
    assert seen.status == 200
    assert _numbers(seen) == list(range(1, _SENT + 1))
    assert not seen.looks_complete


_FOLLOWING = {
    "a comment": b": hello\n\n",
    "a line end": b"\n",
    "a comment line": b": hello\n",
    "another field": b"weight-versions: 2\n",
}


@pytest.mark.parametrize("before", _FOLLOWING.values(), ids=_FOLLOWING)
@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_a_stream_goes_on_where_its_rest_follows(
    running, servers, line_end, before
):
    # Guards against streams that break off though they could go on.
    rest = before.replace(b"\n", line_end) + _events(range(4, 7), line_end)
    _script(servers, _events(range(1, _SENT + 1), line_end), rest)
    seen = stream_client.call(running, "again", "1.1")
    assert seen.looks_complete
    assert _numbers(seen) == list(range(1, 7))


_UNSURE = {
    "no ids": b"".join(map(_bare, range(1, _SENT + 1))),
    "none in the last event": _events((1, 2)) + _bare(3),
    "an empty one": _events((1, 2)) + b"id:\ndata: v1/3\n\n",
    "one without a colon": _events((1, 2)) + b"id\ndata: v1/3\n\n",
    "an empty one after another": (
        _events((1, 2)) + b"id: 3\nid\ndata: v1/3\n\n"
    ),
    "no number": _events((1, 2)) + b"id: 3x\ndata: v1/3\n\n",
    "a smaller one": _events((1, 2)) + b"id: 1\ndata: v1/3\n\n",
    "the same one": _events((1, 2)) + b"id: 2\ndata: v1/3\n\n",
    "one in the data": _events((1, 2)) + b"data: v1/3\ndata:id: 9\n\n",
    "a byte order mark": b"\xef\xbb\xbfid: 1\ndata: v1/1\n\n",
}


@pytest.mark.parametrize("begun", _UNSURE.values(), ids=_UNSURE)
def test_a_stream_whose_last_event_has_no_id_does_not_go_on(
    running, servers, begun
):
    # Guards against pieces that come twice, since their events have no id.
    cut = standin.Answer(ending=_CUT, pieces=(begun,))
    whole = standin.Answer(pieces=(begun + _events(range(4, 7)),))
    servers.received.clear()
    servers.script = lambda _: whole if servers.received[1:] else cut
    seen = stream_client.call(running, "again", "1.1")
    assert seen.status == 200
    assert seen.body == begun
    assert not seen.looks_complete
    assert len(servers.received) == 1


@pytest.mark.parametrize(
    "last",
    [b"id: 9\nid: 3\ndata: v1/3\n\n", b"data: v1/3\nid:3\n\n"],
)
def test_the_last_id_of_an_event_counts(running, servers, last):
    # Guards against a stream that goes on after the wrong event.
    servers.received.clear()
    _script(servers, _events((1, 2)) + last, _events(range(4, 7)))
    seen = stream_client.call(running, "again", "1.1")
    assert seen.looks_complete
    assert [each.last_event for each in servers.received][-1] == _SENT


def test_a_stream_whose_ids_have_gaps_goes_on(running, servers):
    # Guards against streams that break off since an event has several tokens.
    begun = b"id: 1\ndata: v1/1\n\nid: 4\ndata: v1/2\n\n"
    rest = b"id: 6\ndata: v1/3\n\n"
    _script(servers, begun, rest)
    seen = stream_client.call(running, "again", "1.1")
    assert seen.looks_complete
    assert seen.body == begun + rest


@pytest.mark.parametrize(
    "rest", [_events(range(1, 7)), _events(range(_SENT, 7))]
)
def test_a_caller_that_resumes_gets_no_event_again(running, servers, rest):
    # Guards against an endpoint that ignores after which event to go on.
    _script(servers, _events(range(1, _SENT + 1)), rest)
    attempt = stream_client.Attempt.new("again")
    before = stream_client.read(stream_client.open_stream(running, attempt))
    assert _numbers(before) == list(range(1, _SENT + 1))
    again = attempt.again(_SENT)
    after = stream_client.read(stream_client.open_stream(running, again))
    assert not after.events
    assert after.status == 502
