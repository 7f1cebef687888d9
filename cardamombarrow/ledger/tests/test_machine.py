"""Claims whose entry died, gave up, or found no room."""

import dataclasses

import pytest

from cardamombarrow.kernel import errors
from cardamombarrow.ledger import client
from cardamombarrow.ledger import machine
from cardamombarrow.ledger import settler as settler_module

_Kind = machine.VerdictKind
_State = machine.ClaimState


def _claim(attempt="first", at_unix_s=100.0):
    return machine.Claim(
        body_sha256="x",
        instance="entry-1",
        attempt=attempt,
        at_unix_s=at_unix_s,
        deadline_unix_s=at_unix_s + 10.0,
    )


def _not_run(claim):
    return dataclasses.replace(claim, state=_State.NOT_RUN)


def test_a_claim_whose_entry_died_is_unknown_after_its_deadline():
    # The entry is killed after the claim. Whether the call ran is not known;
    # a resend must not run it, and must not be told for ever to come back.
    ledger = machine.LedgerState()
    assert ledger.claim("k", _claim()).kind is _Kind.RUN
    early = ledger.claim("k", _claim("second", 109.0))
    assert early.kind is _Kind.IN_FLIGHT
    late = ledger.claim("k", _claim("third", 111.0))
    assert late.kind is _Kind.UNKNOWN
    # The entry was only frozen: what it knows still counts.
    answered = dataclasses.replace(
        _claim(), state=_State.ANSWERED, status=200, answer=b"done"
    )
    assert ledger.settle("k", "first", answered)
    again = ledger.claim("k", _claim("fourth", 112.0))
    assert again.kind is _Kind.ANSWERED
    assert again.claim.answer == b"done"


def test_a_claim_committed_after_it_was_given_up_does_not_hold_the_key():
    # Without a quorum the caller is told that nothing ran. The claim is
    # committed later all the same, after the entry's "not run". The caller's
    # resend would be told that a request is under way that nobody runs.
    ledger = machine.LedgerState()
    assert ledger.settle("k", "first", _not_run(_claim()))
    assert ledger.claim("k", _claim()).kind is _Kind.WITHDRAWN
    assert ledger.claim("k", _claim("second")).kind is _Kind.RUN
    assert ledger.claim("k", _claim()).kind is _Kind.WITHDRAWN
    assert ledger.settle("k", "second", _not_run(_claim("second")))
    assert ledger.claim("k", _claim()).kind is _Kind.WITHDRAWN
    assert ledger.claim("k", _claim("third")).kind is _Kind.RUN


def test_a_full_ledger_refuses_and_forgets_no_key_early(monkeypatch):
    # More keys come than there is room for. Were the oldest forgotten to
    # make room, a late resend of it would run a second time.
    monkeypatch.setattr(machine, "CLAIMS_KEPT", 2)
    ledger = machine.LedgerState()
    for key in "ab":
        ledger.claim(key, _claim(key))
        ledger.settle(
            key, key, dataclasses.replace(_claim(key), state=_State.UNKNOWN)
        )
    assert ledger.claim("c", _claim("c")).kind is _Kind.FULL
    assert ledger.claim("a", _claim("again")).kind is _Kind.UNKNOWN
    later_s = 100.0 + machine.KEPT_S + machine.LATE_S + 11.0
    assert ledger.claim("c", _claim("c", later_s)).kind is _Kind.RUN


def test_a_claim_under_way_for_long_does_not_run_a_forgotten_key():
    # A claim is held up on its way until its key, claimed and run by another
    # attempt, is forgotten. It would find no trace and run a second time.
    # Found by the machine in a longer run: send(b), commit, send(b), wait
    # until b is forgotten, commit of another key, commit of the second.
    ledger = machine.LedgerState()
    assert ledger.claim("b", _claim("first")).kind is _Kind.RUN
    later_s = 100.0 + machine.KEPT_S + machine.LATE_S + 11.0
    assert ledger.claim("a", _claim("other", later_s)).kind is _Kind.RUN
    assert ledger.lookup("b") is None
    assert ledger.claim("b", _claim("late")).kind is _Kind.WITHDRAWN


class _NoQuorum(client.LedgerClient):
    """A ledger that can't be reached until it is told so."""

    def __init__(self):
        self.reached = False
        self.settled = []

    def claim(self, key, claim):
        raise errors.UnavailableError(errors.ErrorKind.NO_QUORUM, "cut off")

    def settle(self, key, outcome):
        if not self.reached:
            raise errors.UnavailableError(errors.ErrorKind.NO_QUORUM, "cut")
        self.settled.append((key, outcome.attempt, outcome.state))
        return True


def test_what_could_not_be_settled_is_settled_when_the_quorum_is_back():
    # A claim fails for want of a quorum, and so does the settlement of a call
    # that ran. Both keys would stay refused although the entry knows better.
    ledger = _NoQuorum()
    settler = settler_module.Settler(ledger)
    settler.start()
    with pytest.raises(errors.UnavailableError):
        settler.claim("a", _claim("first"))
    settler.record(
        "b", dataclasses.replace(_claim("second"), state=_State.ANSWERED)
    )
    ledger.reached = True
    settler.stop()
    assert ledger.settled == [
        ("a", "first", _State.NOT_RUN),
        ("b", "second", _State.ANSWERED),
    ]
