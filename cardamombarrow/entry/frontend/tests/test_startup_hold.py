"""Requests that arrive while all processes are starting."""

import threading

import pytest

from cardamombarrow.entry.documents import lease as lease_module
from cardamombarrow.entry.frontend import interface
from cardamombarrow.entry.frontend import startup_app
from cardamombarrow.entry.frontend import startup_hold
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids


@pytest.mark.parametrize(
    ("unconfirmed_s", "limit_s", "held_s"),
    [
        # A limit of 15 s: held for the whole start.
        (0.0, 15.0, startup_hold.STARTING_S),
        (0.5, 15.0, startup_hold.STARTING_S - 0.5),
        # A limit of 2 s: three quarters of it remain.
        (0.0, 2.0, 0.5),
        # The start has ended without a confirmation: cut off.
        (startup_hold.STARTING_S, 15.0, 0.0),
        (60.0, 15.0, 0.0),
        # The last confirmation has expired: cut off.
        (None, 15.0, 0.0),
    ],
)
def test_a_request_is_held_only_while_a_confirmation_is_expected(
    unconfirmed_s, limit_s, held_s
):
    assert startup_hold.hold_s(unconfirmed_s, limit_s) == pytest.approx(held_s)


def test_a_request_in_the_first_half_second_after_a_full_restart_is_served():
    # All processes were killed and restarted; the document is available, its
    # first confirmation arrives 0.4 s later. Requests in between were refused
    # with a retry delay of a second, and many callers retry only once.
    time_source = clock.SystemClock()
    lease = lease_module.DocumentLease(3.5, time_source)
    served = []

    def request():
        unconfirmed_s = lease.unconfirmed_s
        served.append(lease.wait(startup_hold.hold_s(unconfirmed_s, 15.0)))

    callers = [threading.Thread(target=request) for _ in range(5)]
    for caller in callers:
        caller.start()
    lease.confirm(time_source.now_s(), ids.Revision(0))
    for caller in callers:
        caller.join()
    assert served == [True] * 5
    assert lease.unconfirmed_s is None


def _ask(app, path="/some/path"):
    status = []
    environ = {"PATH_INFO": path, "REQUEST_METHOD": "GET"}
    app(environ, lambda text, headers: status.append(text))
    return status[0][:3]


def test_a_caller_is_held_until_the_first_document_is_available():
    app = startup_app.StartupApp(interface.OwnInterface(), hold_s=30.0)
    answers = []
    caller = threading.Thread(target=lambda: answers.append(_ask(app)))
    caller.start()
    app.forward_to(lambda environ, start: start("200 OK", []) or [])
    caller.join()
    assert answers == ["200"]


def test_a_readiness_probe_is_answered_immediately():
    probes = interface.OwnInterface()
    assert _ask(startup_app.StartupApp(probes)) == "503"
    held = startup_app.StartupApp(probes, hold_s=30.0)
    assert _ask(held, "/healthz") == "200"
