"""Fuzzing of the ledger with crashes, resends and timeouts of entries."""

import dataclasses
import json
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from cardamombarrow.ledger import machine

_KEYS = ("a", "b", "c", "d")
_CLAIM_RETENTION_S = 100.0
_MAX_CLAIM_AGE_S = 20.0
_MAX_CLAIMS = 3
_MAX_ANSWER_BYTES = 40
_Kind = machine.VerdictKind
_State = machine.ClaimState


@dataclasses.dataclass
class _Attempt:
    """One attempt of an entry to run a request.

    Attributes:
        waiting: Whether the entry awaits the verdict and has sent nothing.
        ran: Whether the request reached an endpoint.
    """

    key: str
    claim: machine.Claim
    waiting: bool = True
    ran: bool = False
    outcome: machine.Claim | None = None


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Checks the ledger against a record of each key's runs and answers.

    Commands are lost, delayed and delivered again at any later time. Entries
    time out, and their clocks differ by some seconds.
    """

    def __init__(self):
        super().__init__()
        self.patches = [
            mock.patch.object(machine, name, value)
            for name, value in (
                ("CLAIM_RETENTION_S", _CLAIM_RETENTION_S),
                ("MAX_CLAIM_AGE_S", _MAX_CLAIM_AGE_S),
                ("MAX_CLAIMS", _MAX_CLAIMS),
                ("MAX_ANSWER_BYTES", _MAX_ANSWER_BYTES),
            )
        ]
        for patch in self.patches:
            patch.start()
        self.state = machine.LedgerState()
        self.now_s = 1_000.0
        self.attempts = []
        self.ran_at_s = {}
        self.answers = {}

    def teardown(self):
        for patch in self.patches:
            patch.stop()

    @stateful.rule(
        key=st.sampled_from(_KEYS),
        body=st.sampled_from(["x", "x", "x", "y"]),
        skew_s=st.sampled_from([0.0, 0.0, -3.0, 3.0]),
    )
    def send(self, key, body, skew_s):
        at_unix_s = self.now_s + skew_s
        claim = machine.Claim(
            body_sha256=body,
            instance="entry",
            attempt=f"attempt-{len(self.attempts)}",
            at_unix_s=at_unix_s,
            deadline_unix_s=at_unix_s + 10.0,
        )
        self.attempts.append(_Attempt(key, claim))

    def _pick(self, position):
        return self.attempts[position % len(self.attempts)]

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(position=st.integers(0, 1_000), lost=st.booleans())
    def commit_claim(self, position, lost):
        attempt = self._pick(position)
        verdict = self.state.claim(
            attempt.key, dataclasses.replace(attempt.claim)
        )
        if verdict.kind is _Kind.ANSWERED and verdict.claim.status:
            assert verdict.claim.answer == self.answers[attempt.key]
        if lost or not attempt.waiting:
            return
        attempt.waiting = False
        if verdict.kind is _Kind.RUN:
            self._run(attempt)

    def _run(self, attempt):
        last_s = self.ran_at_s.get(attempt.key)
        if last_s is not None:
            # A second run is allowed only after the documented retention.
            assert attempt.claim.at_unix_s - last_s > _CLAIM_RETENTION_S
        attempt.ran = True
        self.ran_at_s[attempt.key] = attempt.claim.at_unix_s

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(position=st.integers(0, 1_000), answered=st.booleans())
    def end_run(self, position, answered):
        attempt = self._pick(position)
        if not attempt.ran or attempt.outcome:
            return
        state = _State.ANSWERED if answered else _State.UNKNOWN
        answer = f"answer of {attempt.claim.attempt}".encode()
        attempt.outcome = dataclasses.replace(
            attempt.claim, state=state, status=200, answer=answer
        )
        self.answers[attempt.key] = answer

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(position=st.integers(0, 1_000))
    def give_up(self, position):
        attempt = self._pick(position)
        if attempt.waiting:
            attempt.waiting = False
            attempt.outcome = dataclasses.replace(
                attempt.claim, state=_State.NOT_RUN
            )

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(position=st.integers(0, 1_000))
    def commit_settle(self, position):
        attempt = self._pick(position)
        if attempt.outcome is None:
            return
        before = self.state.lookup(attempt.key)
        before = before and before.to_json()
        outcome = dataclasses.replace(attempt.outcome)
        self.state.settle(attempt.key, attempt.claim.attempt, outcome)
        if before and before["attempt"] != attempt.claim.attempt:
            after = self.state.lookup(attempt.key).to_json()
            assert {**after, "withdrawn": 0} == {**before, "withdrawn": 0}

    @stateful.rule(by_s=st.sampled_from([1.0, 8.0, 8.0, 60.0, 120.0]))
    def wait(self, by_s):
        self.now_s += by_s

    @stateful.rule()
    def restore(self):
        raw = json.loads(json.dumps(self.state.to_json()))
        self.state = machine.LedgerState.from_json(raw)
        assert json.loads(json.dumps(self.state.to_json())) == raw

    @stateful.invariant()
    def size_is_bounded(self):
        assert len(self.state) <= _MAX_CLAIMS
        claims = [self.state.lookup(key) for key in _KEYS]
        answer_bytes = sum(len(claim.answer) for claim in claims if claim)
        assert answer_bytes <= _MAX_ANSWER_BYTES


LedgerMachine.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=60, deadline=None
)
TestLedgerMachine = LedgerMachine.TestCase
