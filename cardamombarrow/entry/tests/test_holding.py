"""Requests that come while all processes are starting."""

import threading

import pytest

from cardamombarrow.entry import holding
from cardamombarrow.entry import lease as lease_module
from cardamombarrow.entry import starting
from cardamombarrow.kernel import clock


@pytest.mark.parametrize(
    ("unconfirmed_s", "limit_s", "held_s"),
    [
        # A draft whose caller gives it 15 s waits out the start.
        (0.0, 15.0, holding.STARTING_S),
        (0.5, 15.0, holding.STARTING_S - 0.5),
        # A booking with 2 s keeps three quarters of them.
        (0.0, 2.0, 0.5),
        # The start is over and there was no confirmation: cut off.
        (holding.STARTING_S, 15.0, 0.0),
        (60.0, 15.0, 0.0),
        # There was one, and it has run out: cut off.
        (None, 15.0, 0.0),
    ],
)
def test_a_request_is_held_only_while_a_start_may_still_end_well(
    unconfirmed_s, limit_s, held_s
):
    assert holding.hold_s(unconfirmed_s, limit_s) == pytest.approx(held_s)


def test_a_request_of_the_first_half_second_after_a_restart_of_all_is_served():
    # All processes were killed and are back; the document is there, the first
    # confirmation comes 0.4 s later. Whoever asked meanwhile was refused and
    # told to come back in a second; many callers come back only once.
    time_source = clock.SystemClock()
    lease = lease_module.DocumentLease(3.5, time_source)
    served = []

    def request():
        unconfirmed_s = lease.unconfirmed_s
        served.append(lease.wait(holding.hold_s(unconfirmed_s, 15.0)))

    callers = [threading.Thread(target=request) for _ in range(5)]
    for caller in callers:
        caller.start()
    lease.confirm(time_source.now_s())
    for caller in callers:
        caller.join()
    assert served == [True] * 5
    assert lease.unconfirmed_s is None


def _ask(app, path="/some/path"):
    status = []
    environ = {"PATH_INFO": path, "REQUEST_METHOD": "GET"}
    app(environ, lambda text, headers: status.append(text))
    return status[0][:3]


def test_a_caller_is_held_until_the_first_document_is_there():
    app = starting.Starting(hold_s=30.0)
    answers = []
    caller = threading.Thread(target=lambda: answers.append(_ask(app)))
    caller.start()
    app.serve(lambda environ, start: start("200 OK", []) or [])
    caller.join()
    assert answers == ["200"]


def test_a_balancer_that_asks_for_readiness_is_answered_at_once():
    assert _ask(starting.Starting()) == "503"
    assert _ask(starting.Starting(hold_s=30.0), "/healthz") == "200"
