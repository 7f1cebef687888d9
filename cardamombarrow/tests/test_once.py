"""Unrepeatable calls that are resent through another entry.

Each must run at most once.
"""

from concurrent import futures
import signal

import pytest

from cardamombarrow.kernel import errors
from tools import caller
from tools import deployment
from tools.standin import control

pytestmark = pytest.mark.process


@pytest.fixture(scope="module")
def running(kandula_text, tmp_path_factory):
    """Two entries and a control process, with proxied links."""
    plan = deployment.Plan(
        document=kandula_text,
        entries={"nuwara-a": ["entry-1"], "badulla-a": ["entry-2"]},
        controls={"nuwara-a": ["control-1"]},
        proxied=True,
    )
    folder = tmp_path_factory.mktemp("once")
    with deployment.Deployment(plan, folder) as started:
        yield started


def _sign_off(running, entry, key):
    return caller.service(
        running.entries[entry],
        "groomers-north",
        "trail-desk/sign-off",
        body=key.encode(),
        key=key,
    )


def _runs(running, key):
    return control.runs(running.engines["trail-desk"], key)


def _kill_and_restart(running, entry):
    running.signal(entry, signal.SIGKILL)
    running.processes[entry].wait()
    running.start_instance(entry)
    running.wait_ready(entry)


def test_entry_killed_during_the_call(running):
    # The entry is killed while the service runs an unrepeatable call, so its
    # outcome is unknown. A resend through another entry must not run it a
    # second time, and must not be answered as in flight forever.
    for address in running.engines["trail-desk"]:
        control.set_behaviour(address, token_s=1.0)
    with futures.ThreadPoolExecutor() as pool:
        first = pool.submit(_sign_off, running, "entry-1", "during")
        assert deployment.wait_until(lambda: _runs(running, "during"))
        _kill_and_restart(running, "entry-1")
        with pytest.raises(errors.EndpointError):
            first.result()
    for address in running.engines["trail-desk"]:
        control.set_behaviour(address, token_s=0.01)
    codes = []

    def unknown():
        answer = _sign_off(running, "entry-2", "during")
        codes.append(answer.error["code"])
        return codes[-1] == errors.ErrorKind.OUTCOME_UNKNOWN.value

    assert deployment.wait_until(unknown, 30)
    assert codes[0] == errors.ErrorKind.KEY_IN_FLIGHT.value
    assert len(_runs(running, "during")) == 1


def test_entry_killed_after_the_call(running):
    # The entry is killed right after it answered. A resend through another
    # entry gets the same answer.
    first = _sign_off(running, "entry-1", "after")
    _kill_and_restart(running, "entry-1")
    resent = _sign_off(running, "entry-2", "after")
    assert (first.status, first.body) == (resent.status, resent.body)
    assert first.status == 200
    assert len(_runs(running, "after")) == 1


def test_entry_killed_before_the_call(running):
    # The entry is killed before it receives the call. A resend must run.
    running.signal("entry-1", signal.SIGKILL)
    running.processes["entry-1"].wait()
    with pytest.raises(errors.EndpointError):
        _sign_off(running, "entry-1", "before")
    assert _sign_off(running, "entry-2", "before").status == 200
    assert len(_runs(running, "before")) == 1
    running.start_instance("entry-1")
    running.wait_ready("entry-1")


@pytest.mark.parametrize("fault", ["cut", "silent"])
def test_call_is_not_run_without_a_reachable_quorum(running, fault):
    # The entry loses the control processes and answers that the call did not
    # run, which must be true. Once the links are restored, the same key must be
    # accepted instead of staying in flight forever.
    links = running.proxy.between({"entry-1"}, {"control-1"})
    for link in links:
        link.cut() if fault == "cut" else link.silence(new_too=True)
    answer = _sign_off(running, "entry-1", fault)
    assert answer.status == 503
    assert answer.error["code"] == errors.ErrorKind.NO_QUORUM.value
    assert answer.error["not_run"] is True
    assert _runs(running, fault) == []
    for link in links:
        link.restore()
    assert deployment.wait_until(
        lambda: _sign_off(running, "entry-1", fault).status == 200
    )
    assert len(_runs(running, fault)) == 1


def test_claim_whose_answer_is_lost_is_withdrawn(running):
    # The control process commits the claim, but its answer arrives too late.
    # The entry answers that the call did not run. The claim stays in the ledger
    # until the entry withdraws it.
    for link in running.proxy.between({"entry-1"}, {"control-1"}):
        link.delay_s = 5.0
    answer = _sign_off(running, "entry-1", "lost")
    assert answer.error["not_run"] is True
    for link in running.proxy.between({"entry-1"}, {"control-1"}):
        link.delay_s = 0.0
    assert deployment.wait_until(
        lambda: _sign_off(running, "entry-2", "lost").status == 200, 60
    )
    assert len(_runs(running, "lost")) == 1
