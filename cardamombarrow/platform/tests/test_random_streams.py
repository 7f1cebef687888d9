"""Random streams that arrive in random pieces, break off and go on."""

from concurrent import futures
import dataclasses
import enum
import math
import re
import time
from unittest import mock

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.endpoints import answer_body
from cardamombarrow.endpoints import base
from cardamombarrow.entry.frontend import incoming
from cardamombarrow.entry.placement import ticket as ticket_module
from cardamombarrow.entry.requests import request_handler
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.platform import servers

_ENDPOINT = ids.endpoint_id("10.0.0.9:80", "i-1")
_HEAD = {
    "attempt-id": "a",
    "server-seal": "s",
    "content-type": "text/event-stream",
}
_FRAMED = {**_HEAD, "transfer-encoding": "chunked"}
_LINE_END = re.compile(rb"\r\n|\n|\r")


class _IdForm(enum.Enum):
    """How an event's id is written."""

    NUMBER = "number"
    TWICE = "twice"
    LAST = "last"
    NONE = "none"
    EMPTY = "empty"
    BARE = "bare"
    TEXT = "text"

    @property
    def is_number(self):
        """Whether the id is a number."""
        return self in (_IdForm.NUMBER, _IdForm.TWICE, _IdForm.LAST)


class _Start(enum.Enum):
    """Where a run begins."""

    AFTER_ID = "after the id that it was given"
    ANEW = "at the first event"
    REPEATED = "one event too early"
    LATE = "one event too late"


@dataclasses.dataclass(frozen=True)
class _Event:
    number: int
    form: _IdForm
    comment: bool

    def encode(self, line_end):
        data = b"data: e%d" % self.number
        number = b"id: %d" % self.number
        lines = {
            _IdForm.NUMBER: (number, data),
            _IdForm.TWICE: (b"id: 7777777", number, data),
            _IdForm.LAST: (data, b"data:id: 9", number),
            _IdForm.NONE: (data,),
            _IdForm.EMPTY: (b"id:", data),
            _IdForm.BARE: (number, b"id", data),
            _IdForm.TEXT: (b"id: %dx" % self.number, data),
        }[self.form]
        before = (b": idle", b"") if self.comment else ()
        return line_end.join((*before, *lines, b"", b""))


@dataclasses.dataclass(frozen=True)
class _Stream:
    events: tuple[_Event, ...]
    line_end: bytes

    @property
    def is_regular(self):
        """Whether all events have numbers that increase by 1."""
        first = self.events[0].number
        return all(
            event.form.is_number and event.number == number
            for number, event in enumerate(self.events, first)
        )

    def encode(self, start):
        return b"".join(e.encode(self.line_end) for e in self.events[start:])


@dataclasses.dataclass(frozen=True)
class _Run:
    """One run of an endpoint.

    Attributes:
        share: Share of its bytes that are sent; 1.0 is a whole run.
        sizes: Sizes of the pieces.
        framed: Whether its end is marked.
        orderly: Whether a run that ends inside an event ends in order.
    """

    start: _Start
    share: float
    sizes: tuple[int, ...]
    framed: bool
    orderly: bool


_runs = strategies.builds(
    _Run,
    start=strategies.sampled_from([_Start.AFTER_ID, _Start.AFTER_ID, *_Start]),
    share=strategies.one_of(strategies.floats(0, 1), strategies.just(1.0)),
    sizes=strategies.lists(strategies.integers(1, 40), max_size=12).map(tuple),
    framed=strategies.booleans(),
    orderly=strategies.booleans(),
)


@strategies.composite
def _streams(draw):
    forms = draw(
        strategies.sampled_from(
            [[_IdForm.NUMBER], [_IdForm.NUMBER, _IdForm.TWICE], list(_IdForm)]
        )
    )
    steps = draw(strategies.sampled_from([(1,), (1, 1, 3), (5,)]))
    events, number = [], draw(strategies.sampled_from([0, 6]))
    for _ in range(draw(strategies.integers(1, 8))):
        number += draw(strategies.sampled_from(steps))
        form = draw(strategies.sampled_from(forms))
        events.append(_Event(number, form, draw(strategies.booleans())))
    line_end = draw(strategies.sampled_from([b"\n", b"\r\n", b"\r"]))
    return _Stream(tuple(events), line_end)


class _Exchange(base.Exchange):
    def __init__(self, run, data):
        self._run, self._data = run, data

    def head(self):
        return base.Head(200, dict(_FRAMED if self._run.framed else _HEAD))

    def chunks(self):
        body = answer_body.AnswerBody(self.head())
        whole = self._run.share == 1.0
        left = self._data[: math.ceil(self._run.share * len(self._data))]
        for size in (*self._run.sizes, len(left)):
            if complete := body.feed(left[:size]):
                yield complete
            left = left[size:]
        if not whole and not (self._run.orderly and body._events.inside_event):
            raise errors.EndpointError(
                errors.ErrorKind.ANSWER_CUT, "reset", sent=True
            )
        if rest := body.finish():
            yield rest

    def release(self):
        pass

    def close(self):
        pass


class _Kind(servers.PlatformEngine):
    """Endpoints that serve a stream by a script."""

    def __init__(self, stream, runs, has):
        self._stream, self._runs = stream, list(runs)
        self._has = has

    def open(self, call):
        run = self._runs.pop(0)
        events = self._stream.events
        after = 0
        if call.resume_after:
            wanted = int(call.resume_after)
            after = 1 + next(
                index
                for index, event in enumerate(events)
                if event.form.is_number and event.number == wanted
            )
        start = {
            _Start.AFTER_ID: after,
            _Start.ANEW: 0,
            _Start.REPEATED: max(after - 1, 0),
            _Start.LATE: after + 1,
        }[run.start]
        if not call.resume_after or self._looks_right(run, start, after):
            start = after
        return _Exchange(run, self._stream.encode(start))

    def _looks_right(self, run, start, after):
        """Returns whether nothing shows that a run begins at a wrong event."""
        events, relayed = self._stream.events, after > self._has
        if run.start is _Start.LATE:
            # It may leave out all that is left, or what has no number.
            is_last = start >= len(events)
            return is_last or not (relayed and self._stream.is_regular)
        return not relayed and not events[start].form.is_number


def _handler(stream, runs, has):
    """Returns the handler of a stream whose caller has some of its events."""
    job = messages.Job(
        request_id=ids.RequestId("r"),
        workspace=ids.WorkspaceId(""),
        class_id=ids.ClassId("c"),
        service=ids.ServiceId("s"),
        model=ids.ModelId(""),
        rank=0,
        arrived_s=time.monotonic(),
        target_first_token_s=1.0,
        deadline_s=time.monotonic() + 1e6,
    )
    placement = messages.Placement(job.request_id, _ENDPOINT, 0.0, (), "")

    def place(*_):
        placed = futures.Future()
        placed.set_result(placement)
        return ticket_module.Ticket(job, placed)

    left = iter(runs[1:])
    broker = mock.Mock()
    broker.submit = place
    broker.resubmit = lambda *_: place() if next(left, None) else None
    broker.blocked_for_s.return_value = None
    call = incoming.IncomingCall(
        job=job,
        kind=schema.ServiceKind.ENGINE,
        method="POST",
        path="/",
        body=b"",
        content_type="",
        idempotency_key="",
        body_sha256="",
        streams=True,
        stall_limit_s=1.0,
        caller_id="a",
        resume_after=str(stream.events[has - 1].number) if has else "",
    )
    services = request_handler.RequestServices(
        broker=broker,
        ledger=mock.Mock(),
        kinds={call.kind: _Kind(stream, runs, has)},
        time_source=clock.SystemClock(),
        crashes=mock.Mock(),
        metrics=mock.Mock(),
        meter=mock.Mock(),
        origins=mock.Mock(),
    )
    return request_handler.RequestHandler(call, mock.Mock(), services)


def _data(received):
    """Returns the numbers of the events, as a client reads them."""
    found, event = [], []
    for line in _LINE_END.split(received):
        if line.startswith(b"data: e"):
            event.append(int(line[len(b"data: e") :]))
        elif not line:
            found += event
            event = []
    return found


def _relay(handler):
    """Returns what a caller receives, and whether it looks complete."""
    received = b""
    try:
        for chunk in handler.run().chunks:
            received += chunk
    except errors.RouterError:
        return received, False
    return received, True


@hypothesis.settings(max_examples=600)
@hypothesis.given(
    _streams(),
    strategies.lists(_runs, min_size=1, max_size=5),
    strategies.integers(0, 3),
)
def test_a_caller_gets_a_prefix_and_all_of_it_if_it_looks_complete(
    stream, runs, has
):
    # Guards against events that are missing, come twice or are out of order,
    # however a stream arrives, breaks off and goes on.
    has = min(has, len(stream.events) - 1)
    if has and not stream.events[has - 1].form.is_number:
        has = 0
    received, looks_complete = _relay(_handler(stream, runs, has))
    numbers = [event.number for event in stream.events[has:]]
    assert _data(received) == numbers[: len(_data(received))]
    if looks_complete:
        assert len(_data(received)) == len(numbers)


@pytest.mark.parametrize("start", _Start)
def test_a_stream_that_breaks_off_goes_on_only_after_its_last_event(start):
    # Guards against a random test in which nothing ever goes on.
    events = tuple(_Event(n, _IdForm.NUMBER, False) for n in range(1, 7))
    cut = _Run(_Start.AFTER_ID, 0.6, (), framed=True, orderly=False)
    rest = _Run(start, 1.0, (), framed=True, orderly=False)
    stream = _Stream(events, b"\n")
    received, looks_complete = _relay(_handler(stream, [cut, rest], 0))
    assert looks_complete is (start is _Start.AFTER_ID)
    assert len(_data(received)) == (6 if looks_complete else 3)
