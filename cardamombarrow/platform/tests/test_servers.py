"""Tests of requests to servers and of the checks of their answers."""

from email import utils
import itertools
import time

import pytest

from cardamombarrow.document import from_routes
from cardamombarrow.endpoints import base
from cardamombarrow.endpoints import statements
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.platform import caller
from cardamombarrow.platform import servers

_KIND = servers.PlatformEngine()
_GOOD = {"attempt-id": "9c41", "server-seal": "s"}


class _NoCaller(base.CallerWatch):
    def fileno(self):
        return -1

    def gone(self):
        return False


def _call(deadline_s=0.0, headers=(), fetch_from=None, rank=0):
    return base.OutgoingCall(
        request_id=ids.RequestId("r"),
        endpoint=ids.endpoint_id("10.0.0.9:8080", "i-7f"),
        method="POST",
        path="/a/b",
        body=b"",
        content_type="",
        rank=rank,
        deadline_s=deadline_s,
        headers=headers,
        stall_limit_s=1.0,
        caller=_NoCaller(),
        cancelled=lambda: False,
        caller_id="9c41",
        fetch_from=fetch_from,
    )


@pytest.mark.parametrize(
    ("now_s", "left_ms"), [(100.0, 1_500), (101.25, 250), (101.75, 1)]
)
@pytest.mark.parametrize("kind", [servers.PlatformKind, servers.PlatformEngine])
def test_a_server_gets_the_remaining_time(monkeypatch, kind, now_s, left_ms):
    # A request is queued, or is sent again after a failure. With the caller's
    # original limit the server would work on after the caller has left, when
    # capacity is short.
    facts = caller.PlatformProtocol().read(
        (("Attempt-Id", "9c41"), ("Deadline-Ms", "1500"))
    )
    call = _call(100.0 + facts.limit_s, facts.forwarded)
    monkeypatch.setattr(servers.time, "monotonic", lambda: now_s)
    sent = [
        value
        for name, value in kind().request_headers(call)
        if name.lower() == "deadline-ms"
    ]
    assert sent == [str(left_ms)]


def test_a_sealed_answer_with_the_right_id_is_accepted():
    _KIND.check(base.Head(200, _GOOD), _call())


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (200, {**_GOOD, "attempt-id": "other"}),
        (200, {"server-seal": "s"}),
        (200, {"attempt-id": "9c41"}),
        (200, {**_GOOD, "content-encoding": "gzip"}),
        (503, _GOOD),
        (429, _GOOD),
    ],
)
def test_an_answer_to_another_request_is_refused(status, headers):
    # A late second answer, or one of a faulty server, arrives in place of this
    # request's answer. The caller would get another request's answer, or a
    # guarantee that the server did not give.
    with pytest.raises(errors.EndpointError) as caught:
        _KIND.check(base.Head(status, headers), _call())
    assert caught.value.not_run is False


@pytest.mark.parametrize(
    ("status", "headers", "not_started"),
    [
        (503, {"not-executed": "1"}, True),
        (421, {}, True),
        (503, {}, False),
        (500, _GOOD, False),
    ],
)
def test_only_a_statement_of_the_server_means_that_it_did_not_run(
    status, headers, not_started
):
    assert _KIND.not_started(base.Head(status, headers)) is not_started


def test_events_are_counted_and_their_ids_are_found():
    chunk = b"id: 4\ndata: a\n\nid: 5\ndata: b\n\n"
    assert _KIND.count_tokens(chunk) == 2
    assert _KIND.event_ids(chunk) == ["4", "5"]
    assert _KIND.event_ids(b": comment\n\n") == []


@pytest.mark.parametrize(
    "sent",
    ["", "1,2", "1,2,x", "-1,2,3", "1,2,3,-5", "1,2,3,", "9999999,1,1"],
)
def test_a_load_that_cannot_be_read_is_no_load(sent):
    head = base.Head(200, {**_GOOD, "instance-load": sent})
    statement = _KIND.read_statement(head, _call())
    assert statement.load is None
    assert statement.invalid_fields == ("instance-load",)


def test_a_missing_load_is_not_invalid():
    statement = _KIND.read_statement(base.Head(200, _GOOD), _call())
    assert statement.load is None
    assert statement.invalid_fields == ()


@pytest.mark.parametrize(
    ("sent", "factor"),
    [("3,1,8,250", 2.5), ("3,1,8,0", None), ("3,1,8,100,7,x", 1.0)],
)
def test_a_load_with_further_values_is_read(sent, factor):
    # Guards against the loss of the whole report, and with it of all reports
    # of a service, when endpoints add a value.
    head = base.Head(200, {**_GOOD, "instance-load": sent})
    report = _KIND.read_statement(head, _call()).load
    assert (report.running, report.waiting) == (3, 1)
    assert report.work_time_factor == factor


def test_a_load_is_read():
    head = base.Head(200, {**_GOOD, "instance-load": "3,1,8"})
    report = _KIND.read_statement(head, _call()).load
    assert (report.running, report.waiting) == (3, 1)


def test_only_the_router_sets_the_source_of_a_cache_fetch():
    # A caller could make our server fetch bytes from a server of its choice.
    facts = caller.PlatformProtocol().read(
        (("Attempt-Id", "9c41"), ("Kv-Fetch", "10.9.9.9:1"))
    )
    source = ids.endpoint_id("10.0.0.8:8080", "i-9a")
    fields = _KIND.request_headers(
        _call(headers=facts.forwarded, fetch_from=source)
    )
    sent = [value for name, value in fields if name.lower() == "kv-fetch"]
    assert sent == ["10.0.0.8:8080"]
    fields = _KIND.request_headers(_call(headers=facts.forwarded))
    assert "kv-fetch" not in [name.lower() for name, _ in fields]


def test_the_priority_is_the_rank_of_the_route_for_every_workspace():
    # Guards against an urgent route's answer cut for another workspace's less
    # urgent one.
    for pair in itertools.product(range(10), repeat=2):
        call = _call(rank=from_routes.combined_rank(pair))
        sent = dict(_KIND.request_headers(call))["Request-Priority"]
        assert sent == str(pair[0])


@pytest.mark.parametrize(
    ("status", "fields", "stated"),
    [
        (200, {"server-limit": "1.2"}, 1.2),
        (503, {"server-limit": "0", "not-executed": "1"}, 0.0),
        (200, {}, None),
    ],
)
def test_an_answer_sets_or_clears_the_rate_limit_of_its_server(
    status, fields, stated
):
    head = base.Head(status, {**_GOOD, **fields})
    assert _KIND.read_statement(head, _call()).rate_limit.per_s == stated


@pytest.mark.parametrize(
    ("status", "fields"),
    [
        (421, {"server-limit": "1"}),
        (200, {"server-limit": "1", "attempt-id": "another"}),
        (200, {"server-limit": "soon"}),
        (200, {"server-limit": "-1"}),
        (200, {"server-limit": "nan"}),
    ],
)
def test_an_invalid_rate_limit_or_that_of_another_server_is_ignored(
    status, fields
):
    head = base.Head(status, {**_GOOD, **fields})
    assert _KIND.read_statement(head, _call()).rate_limit is None


@pytest.mark.parametrize(
    ("status", "fields", "pause_s"),
    [
        (503, {"retry-after": "3"}, 3.0),
        (503, {"retry-after": "0.25", "not-executed": "1"}, 0.25),
        (503, {}, 0.0),
        (200, {"retry-after": "3"}, 0.0),
        (429, {"retry-after": "3", "not-executed": "1"}, 0.0),
        (421, {"retry-after": "3"}, 0.0),
        (503, {"retry-after": "3", "attempt-id": "another"}, 0.0),
        (503, {"retry-after": "soon"}, 0.0),
        (503, {"retry-after": "-1"}, 0.0),
        (503, {"retry-after": ""}, 0.0),
        (503, {"retry-after": "1, 2"}, 0.0),
        (503, {"retry-after": "Thu, 01 Jan 1970 00:00:00 GMT"}, 0.0),
        (503, {"retry-after": "604800"}, statements.MAX_PAUSE_S),
    ],
)
def test_only_a_503_of_the_server_itself_asks_for_a_pause(
    status, fields, pause_s
):
    # Guards against a pause of the wrong server, and against a value that
    # fails the request or removes the server for days.
    head = base.Head(status, {**_GOOD, **fields})
    assert _KIND.read_statement(head, _call()).pause_s == pause_s


def test_the_date_in_retry_after_is_the_end_of_the_pause():
    date = utils.formatdate(time.time() + 30.0, usegmt=True)
    head = base.Head(503, {**_GOOD, "retry-after": date})
    assert 25.0 < _KIND.read_statement(head, _call()).pause_s < 31.0


@pytest.mark.parametrize(
    ("status", "fields", "leaving"),
    [
        (200, {"server-leaving": "1"}, True),
        (500, {"server-leaving": "1"}, True),
        (503, {"server-leaving": "1", "not-executed": "1"}, True),
        (200, {}, False),
        (200, {"server-leaving": "0"}, False),
        (421, {"server-leaving": "1"}, False),
        (200, {"server-leaving": "1", "attempt-id": "another"}, False),
    ],
)
def test_any_answer_of_the_server_itself_can_state_that_it_leaves(
    status, fields, leaving
):
    head = base.Head(status, {**_GOOD, **fields})
    assert _KIND.read_statement(head, _call()).leaving is leaving


@pytest.mark.parametrize(
    ("status", "fields", "per_s", "rejected"),
    [
        (200, {"server-brittle": "3"}, 3.0, False),
        (503, {"server-brittle": "3", "not-executed": "1"}, 3.0, True),
        (429, {"server-brittle": "3", "not-executed": "1"}, 3.0, False),
        (503, {"server-brittle": "0"}, 0.0, False),
        (200, {}, None, False),
    ],
)
def test_an_answer_states_how_much_its_server_may_reject(
    status, fields, per_s, rejected
):
    # Guards against a server that falls over because nobody reads its warning.
    statement = _KIND.read_statement(
        base.Head(status, {**_GOOD, **fields}), _call()
    )
    assert statement.rejection_limit.per_s == per_s
    assert statement.rejected is rejected


@pytest.mark.parametrize(
    "fields",
    [
        {"server-brittle": "many"},
        {"server-brittle": "-1"},
        {"server-brittle": "3", "attempt-id": "another"},
    ],
)
def test_an_unreadable_or_another_servers_warning_changes_nothing(fields):
    head = base.Head(200, {**_GOOD, **fields})
    assert _KIND.read_statement(head, _call()).rejection_limit is None


@pytest.mark.parametrize(
    ("headers", "other"),
    [(_GOOD, False), ({}, False), ({"attempt-id": "other"}, True)],
)
def test_only_another_id_shows_the_answer_of_another_request(headers, other):
    # Guards against the late rejection of an earlier request on a connection,
    # after which this one would run twice.
    assert _KIND.answers_other(base.Head(503, headers), _call()) is other
