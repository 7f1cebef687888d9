"""Claims of crashed entries, late claims, and a full ledger."""

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


def test_claim_of_a_crashed_entry_is_unknown_after_its_deadline():
    # The entry is killed after the claim, and it is unknown whether the request
    # ran. A resent request must not run, and must not be refused as in flight
    # forever.
    ledger = machine.LedgerState()
    assert ledger.claim("k", _claim()).kind is _Kind.RUN
    early = ledger.claim("k", _claim("second", 109.0))
    assert early.kind is _Kind.IN_FLIGHT
    late = ledger.claim("k", _claim("third", 111.0))
    assert late.kind is _Kind.UNKNOWN
    # The entry was only frozen and still settles the claim.
    answered = dataclasses.replace(
        _claim(), state=_State.ANSWERED, status=200, answer=b"done"
    )
    assert ledger.settle("k", "first", answered)
    again = ledger.claim("k", _claim("fourth", 112.0))
    assert again.kind is _Kind.ANSWERED
    assert again.claim.answer == b"done"


def test_claim_committed_after_not_run_does_not_block_the_key():
    # Without a quorum the entry reports to the caller that nothing ran. The
    # claim is committed later, after the entry's "not run". A resent request
    # would be refused as in flight although nothing runs.
    ledger = machine.LedgerState()
    assert ledger.settle("k", "first", _not_run(_claim()))
    assert ledger.claim("k", _claim()).kind is _Kind.WITHDRAWN
    assert ledger.claim("k", _claim("second")).kind is _Kind.RUN
    assert ledger.claim("k", _claim()).kind is _Kind.WITHDRAWN
    assert ledger.settle("k", "second", _not_run(_claim("second")))
    assert ledger.claim("k", _claim()).kind is _Kind.WITHDRAWN
    assert ledger.claim("k", _claim("third")).kind is _Kind.RUN


def test_full_ledger_refuses_new_keys_and_drops_no_claim_early(monkeypatch):
    # The ledger is full. If the oldest claim were dropped for a new key, a late
    # resend of the old one would run a second time.
    monkeypatch.setattr(machine, "MAX_CLAIMS", 2)
    ledger = machine.LedgerState()
    for key in "ab":
        ledger.claim(key, _claim(key))
        ledger.settle(
            key, key, dataclasses.replace(_claim(key), state=_State.UNKNOWN)
        )
    assert ledger.claim("c", _claim("c")).kind is _Kind.FULL
    assert ledger.claim("a", _claim("again")).kind is _Kind.UNKNOWN
    later_s = 100.0 + machine.CLAIM_RETENTION_S + machine.MAX_CLAIM_AGE_S + 11.0
    assert ledger.claim("c", _claim("c", later_s)).kind is _Kind.RUN


def test_delayed_claim_does_not_run_an_expired_key():
    # A claim is delayed until the claim of an earlier run of the same key has
    # expired, and the request would run a second time. Found by a longer run of
    # the fuzzer: send(b), commit, send(b), wait until b has expired, commit of
    # another key, commit of the second.
    ledger = machine.LedgerState()
    assert ledger.claim("b", _claim("first")).kind is _Kind.RUN
    later_s = 100.0 + machine.CLAIM_RETENTION_S + machine.MAX_CLAIM_AGE_S + 11.0
    assert ledger.claim("a", _claim("other", later_s)).kind is _Kind.RUN
    assert ledger.lookup("b") is None
    assert ledger.claim("b", _claim("late")).kind is _Kind.WITHDRAWN


class _NoQuorum(client.LedgerClient):
    """A ledger that is unreachable until `reached` is set."""

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


def test_failed_settlements_are_retried_when_the_quorum_is_back():
    # A claim fails without a quorum, and so does the settlement of a request
    # that ran. Both keys would remain refused although the entry knows the
    # outcome.
    ledger = _NoQuorum()
    settler = settler_module.Settler(ledger)
    settler.start()
    with pytest.raises(errors.UnavailableError):
        settler.claim("a", _claim("first"))
    settler.settle_or_retry(
        "b", dataclasses.replace(_claim("second"), state=_State.ANSWERED)
    )
    ledger.reached = True
    settler.stop()
    assert ledger.settled == [
        ("a", "first", _State.NOT_RUN),
        ("b", "second", _State.ANSWERED),
    ]
