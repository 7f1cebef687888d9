"""Unrepeatable calls, resent through another entry, run at most once."""

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
    """Two entries, links proxied."""
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
    # A groomer signs off a pass. The entry dies while the service works on
    # it, so nobody hears the outcome. The phone sends it again through
    # another entry: it must not be signed off twice, and the groomer must
    # not be told for ever that it is under way.
    for address in running.engines["trail-desk"]:
        control.behave(address, token_s=1.0)
    with futures.ThreadPoolExecutor() as pool:
        first = pool.submit(_sign_off, running, "entry-1", "during")
        assert deployment.wait_until(lambda: _runs(running, "during"))
        _kill_and_restart(running, "entry-1")
        with pytest.raises(errors.EndpointError):
            first.result()
    for address in running.engines["trail-desk"]:
        control.behave(address, token_s=0.01)
    codes = []

    def unknown():
        answer = _sign_off(running, "entry-2", "during")
        codes.append(answer.error["code"])
        return codes[-1] == errors.ErrorKind.OUTCOME_UNKNOWN.value

    assert deployment.wait_until(unknown, 30)
    assert codes[0] == errors.ErrorKind.KEY_IN_FLIGHT.value
    assert len(_runs(running, "during")) == 1


def test_entry_killed_after_the_call(running):
    # The entry dies right after it answered; the phone, which lost the
    # answer, gets the same one from another entry.
    first = _sign_off(running, "entry-1", "after")
    _kill_and_restart(running, "entry-1")
    again = _sign_off(running, "entry-2", "after")
    assert (first.status, first.body) == (again.status, again.body)
    assert first.status == 200
    assert len(_runs(running, "after")) == 1


def test_entry_killed_before_the_call(running):
    # The entry dies before the call reaches it; a resend runs.
    running.signal("entry-1", signal.SIGKILL)
    running.processes["entry-1"].wait()
    with pytest.raises(errors.EndpointError):
        _sign_off(running, "entry-1", "before")
    assert _sign_off(running, "entry-2", "before").status == 200
    assert len(_runs(running, "before")) == 1
    running.start_instance("entry-1")
    running.wait_ready("entry-1")


@pytest.mark.parametrize("fault", ["cut", "silent"])
def test_no_quorum_in_reach_means_not_run(running, fault):
    # The entry loses the control processes. It tells the groomer that the
    # pass was not signed off, which must be true; and once they are back,
    # the same key must go through instead of being under way for ever.
    links = running.proxy.between({"entry-1"}, {"control-1"})
    for link in links:
        link.cut() if fault == "cut" else link.silence(new_too=True)
    answer = _sign_off(running, "entry-1", fault)
    assert answer.status == 503
    assert answer.error["code"] == errors.ErrorKind.NO_QUORUM.value
    assert answer.error["not_run"] is True
    assert _runs(running, fault) == []
    for link in links:
        link.mend()
    assert deployment.wait_until(
        lambda: _sign_off(running, "entry-1", fault).status == 200
    )
    assert len(_runs(running, fault)) == 1


def test_answer_of_the_claim_is_lost(running):
    # The control process commits the claim but its answer never arrives: the
    # link goes silent. The entry tells the caller that nothing ran; the claim
    # stands in the ledger all the same, until the entry withdraws it.
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
