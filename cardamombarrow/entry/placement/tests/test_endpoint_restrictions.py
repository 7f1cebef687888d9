"""Pauses and departures of endpoints, on every path of a request to them."""

import dataclasses
import itertools
import time

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.document import parsing
from cardamombarrow.document import schema
from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.entry import metrics as metrics_module
from cardamombarrow.entry.frontend import incoming
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.entry.placement import remote_placer
from cardamombarrow.entry.requests import crash_detector
from cardamombarrow.entry.requests import request_handler
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.metering import meter as meter_module
from cardamombarrow.placing import messages as placing_messages

_RESTRICTED = ids.EndpointId("10.0.0.1:80#i-restricted")
_OTHER = ids.EndpointId("10.0.0.2:80#i-other")
_SERVICE = ids.ServiceId("models")
_PAUSE_S = 30.0
_REQUESTS = 30
_INTERVAL_S = 0.05
"""Together longer than the time after which a failing endpoint is probed."""

_DIGEST = "a" * 64
_DOCUMENT = f"""
[tier:family]
rank = 0
[class:chat]
tier = family
target_first_token_s = 5
target_total_s = 20
[workspace:one]
key_sha256 = {_DIGEST}
classes = chat
[service:models]
kind = engine
endpoints.a = 10.0.0.3:80
[policies]
retry = window
[owner:operations]
token_sha256 = {_DIGEST}
sections = *
"""

_PAUSE = endpoints_base.Head(503, {"retry-after": str(_PAUSE_S)})
_DEPARTURE = endpoints_base.Head(200, {"x-leaving": "1"})


class _Caller(endpoints_base.CallerWatch):
    def fileno(self):
        return -1

    def gone(self):
        return False


class _Exchange(endpoints_base.Exchange):
    def __init__(self, answer, body):
        self._answer = answer
        self._body = body

    def head(self):
        return self._answer

    def chunks(self):
        for chunk in self._body:
            if chunk is None:
                raise errors.EndpointError(
                    errors.ErrorKind.ANSWER_CUT, "cut", sent=True
                )
            yield chunk

    def release(self):
        pass

    def close(self):
        pass


class _Endpoints(endpoints_base.EndpointKind):
    """Endpoints that answer at once with the next scripted answer.

    Attributes:
        sent: The endpoint of each request.
        answers: The next answers by endpoint, then the last one again.
    """

    polled = False

    def __init__(self):
        self.sent = []
        self.answers = {}

    def open(self, call):
        self.sent.append(call.endpoint)
        scripted = self.answers.get(call.endpoint, [])
        answer = endpoints_base.Head(200, {})
        body = [b"data: {}\n\n"] * 3
        if scripted:
            answer, body = scripted[0]
            if len(scripted) > 1:
                scripted.pop(0)
        return _Exchange(answer, body)

    def poll(self, endpoint, timeout_s):
        return None

    def probe(self, endpoint):
        return True

    def not_started(self, head):
        return head.status == 503

    def is_failure(self, head):
        return head.status >= 500

    def resumable(self, head):
        return head.status == 200

    def count_tokens(self, chunk):
        return chunk.count(b"data")


class _PlacerOf(remote_placer.NoRemotePlacer):
    """A placer that places every request on the same endpoint."""

    def __init__(self, broker, endpoint):
        self._broker = broker
        self._endpoint = endpoint

    def is_connected(self):
        return True

    def ask(self, job):
        self._broker.later.append(
            placing_messages.Answer(
                messages.Placement(
                    job.request_id, self._endpoint, 0.0, (), "test"
                )
            )
        )


class _Broker(broker_module.Broker):
    """A broker that applies the placer's answers before the caller waits."""

    def __init__(self, *args):
        super().__init__(*args)
        self.later = []

    def submit(self, job):
        return self._answered(super().submit(job))

    def resubmit(self, ticket, outcome):
        return self._answered(super().resubmit(ticket, outcome))

    def _answered(self, ticket):
        answers, self.later = self.later, []
        for answer in answers:
            self.on_answer(answer, "entry-2", 0.0)
        return ticket


class _Entry:
    """An entry without connections, before scripted endpoints."""

    def __init__(self):
        self.broker = _Broker(
            parsing.parse(_DOCUMENT),
            ids.InstanceId("entry-1"),
            ids.DomainId("a"),
            clock.SystemClock(),
        )
        self.list(_RESTRICTED, _OTHER)
        self.endpoints = _Endpoints()
        self._numbers = itertools.count()
        self._services = request_handler.RequestServices(
            self.broker,
            None,
            {schema.ServiceKind.ENGINE: self.endpoints},
            clock.SystemClock(),
            crash_detector.CrashDetector(self.broker, metrics_module.Metrics()),
            metrics_module.Metrics(),
            meter_module.Meter(0.0, time.time),
        )

    def list(self, *endpoints):
        """Sets the endpoints that discovery finds."""
        self.broker.set_discovered(
            tuple(
                messages.KnownEndpoint(each, _SERVICE, ids.DomainId("a"), 8)
                for each in endpoints
            )
        )
        self.broker.set_leaving(ids.EndpointId("10.0.0.3:80"), True)

    def call(self, **fields):
        """Runs one request; returns the error it ends with, or None."""
        now_s = time.monotonic()
        job = messages.Job(
            request_id=ids.RequestId(f"r{next(self._numbers)}"),
            workspace=ids.WorkspaceId("one"),
            class_id=ids.ClassId("chat"),
            service=_SERVICE,
            model=ids.ModelId("m"),
            rank=0,
            arrived_s=now_s,
            target_first_token_s=5.0,
            deadline_s=now_s + 20.0,
        )
        call = incoming.IncomingCall(
            job=dataclasses.replace(job, **fields),
            kind=schema.ServiceKind.ENGINE,
            method="POST",
            path="/",
            body=b"",
            content_type="",
            idempotency_key="",
            body_sha256="",
            streams=True,
            stall_limit_s=1.0,
        )
        handler = request_handler.RequestHandler(
            call, _Caller(), self._services
        )
        try:
            for _ in handler.run().chunks:
                pass
        except errors.RouterError as error:
            return error
        return None

    def state(self, statement):
        """Has the endpoint state something in an answer to this entry."""
        body = [] if statement.status == 503 else [b"data: {}\n\n"]
        self.endpoints.answers[_RESTRICTED] = [(statement, body)]
        self.list(_RESTRICTED)
        self.call()
        assert self.endpoints.sent[-1] == _RESTRICTED
        self.list(_RESTRICTED, _OTHER)
        self.endpoints.sent.clear()


@pytest.fixture
def entry():
    made = _Entry()
    made.broker.start()
    yield made
    made.broker.stop()


def _by_this_entry(entry):
    for _ in range(_REQUESTS):
        entry.call()
        time.sleep(_INTERVAL_S)


def _by_the_placer(entry):
    entry.broker.set_remote_placer(_PlacerOf(entry.broker, _RESTRICTED))
    for _ in range(_REQUESTS):
        assert entry.call() is None


def _as_a_retry(entry):
    refused = endpoints_base.Head(503, {}), []
    for _ in range(3):
        entry.endpoints.answers[_OTHER] = [refused]
        entry.call()


def _as_a_resumed_stream(entry):
    whole = endpoints_base.Head(200, {}), [b"data: {}\n\n"]
    cut = endpoints_base.Head(200, {}), [b"data: {}\n\n", None]
    for _ in range(5):
        entry.endpoints.answers[_OTHER] = [cut, whole]
        entry.call()


def _as_an_unrepeatable_call(entry):
    for _ in range(_REQUESTS):
        entry.call(repeatable=False, streams=False)


def _as_the_last_endpoint(entry):
    entry.list(_RESTRICTED)
    for _ in range(5):
        error = entry.call()
        assert error.not_run


def _after_other_sources_deny_it(entry):
    # A load report, the list and another instance may be older than the answer.
    now_s = time.monotonic()
    entry.broker.report(
        _RESTRICTED, messages.LoadReport(0, 0, 0.0, False, now_s)
    )
    entry.broker.set_leaving(_RESTRICTED, True)
    entry.broker.set_leaving(_RESTRICTED, False)
    entry.list(_OTHER)
    entry.list(_RESTRICTED, _OTHER)
    _by_this_entry(entry)


_PATHS = pytest.mark.parametrize(
    "send",
    [
        _by_this_entry,
        _by_the_placer,
        _as_a_retry,
        _as_a_resumed_stream,
        _as_an_unrepeatable_call,
        _as_the_last_endpoint,
        _after_other_sources_deny_it,
    ],
)


@_PATHS
def test_an_endpoint_gets_no_request_in_the_pause_that_it_asked_for(
    entry, send
):
    # Guards against requests within the Retry-After time of an endpoint's 503.
    entry.state(_PAUSE)
    send(entry)
    assert _RESTRICTED not in entry.endpoints.sent


@_PATHS
def test_an_endpoint_gets_no_request_after_it_stated_its_departure(entry, send):
    # Guards against requests to an endpoint that stops.
    entry.state(_DEPARTURE)
    send(entry)
    assert _RESTRICTED not in entry.endpoints.sent


def test_a_request_turned_away_by_the_last_endpoint_learns_when_to_return(
    entry,
):
    # Guards against a caller that returns within the pause of all endpoints.
    entry.endpoints.answers[_RESTRICTED] = [(_PAUSE, [])]
    entry.list(_RESTRICTED)
    error = entry.call()
    assert error.not_run
    assert error.retry_after_s >= 0.9 * _PAUSE_S
    assert entry.endpoints.sent == [_RESTRICTED]
