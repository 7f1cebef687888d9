"""The ledger as a state machine: each key is claimed for one run at most.

An unrepeatable request is claimed before any byte of it is sent. A later
request with the same key finds the claim and gets the stored answer, or an
error if the outcome is unknown; it is not run again.

The state machine uses no clock. It compares the timestamps of the commands, so
that all voters make the same decisions.
"""

import base64
import collections
from collections import abc
import dataclasses
import enum
import typing

from cardamombarrow.kernel import ids

__all__ = [
    "CLAIM_RETENTION_S",
    "MAX_ANSWER_BYTES",
    "MAX_CLAIMS",
    "MAX_CLAIM_AGE_S",
    "Claim",
    "ClaimState",
    "LedgerState",
    "Verdict",
    "VerdictKind",
]

MAX_CLAIMS = 50_000
"""Maximum number of claims. When it is reached, requests with a new key are
refused: dropping another claim early would allow a second run of its key."""

CLAIM_RETENTION_S = 86_400.0
"""Minimum retention of a claim. A request that is resent later may run again;
docs/ledger.md documents this for callers."""

MAX_CLAIM_AGE_S = 180.0
"""A claim that is older than the newest one by more than this is withdrawn,
since its entry has stopped waiting for it. The clocks of two instances
differ by 120 s at most, because instances whose clocks differ by more than
60 s from those of the control processes are refused."""

MAX_ANSWER_BYTES = 16_000_000
"""Maximum total size of stored answers. Beyond it the oldest answers are
dropped, but not their claims."""

MAX_WITHDRAWN_PER_KEY = 8
"""Maximum number of withdrawn attempts recorded per key."""


class ClaimState(enum.Enum):
    """States of a claimed request."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class VerdictKind(enum.Enum):
    """Kinds of answers to a claim."""

    RUN = "run"
    ANSWERED = "answered"
    IN_FLIGHT = "in_flight"
    UNKNOWN = "unknown"
    REUSED = "reused"
    WITHDRAWN = "withdrawn"
    FULL = "full"


@dataclasses.dataclass(slots=True)
class Claim:
    """One claimed key.

    Attributes:
        body_sha256: Digest of the request; the same key with another body
            is a caller's error.
        instance: The entry that may run the request.
        attempt: Id of the request that made the claim.
        at_unix_s: Wall clock of the entry when it made the claim.
        deadline_unix_s: Latest time at which the entry settles the claim;
            after it the outcome counts as unknown.
        status: HTTP status of the stored answer; 0 if none is stored.
        answer: The stored answer; the entry limits its size.
        withdrawn: Ids of other attempts that ended without a run.
    """

    body_sha256: str
    instance: ids.InstanceId
    attempt: ids.RequestId
    at_unix_s: float
    deadline_unix_s: float = 0.0
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    content_type: str = ""
    answer: bytes = b""
    withdrawn: tuple[ids.RequestId, ...] = ()

    def to_json(self) -> dict[str, typing.Any]:
        """Returns the claim as plain JSON values."""
        return {
            **dataclasses.asdict(self),
            "state": self.state.value,
            "answer": base64.b64encode(self.answer).decode(),
        }

    @classmethod
    def from_json(cls, raw: dict[str, typing.Any]) -> "Claim":
        """Reads what `to_json` wrote."""
        return cls(
            **{
                **raw,
                "state": ClaimState(raw["state"]),
                "answer": base64.b64decode(raw["answer"]),
                "withdrawn": tuple(raw["withdrawn"]),
            }
        )


@dataclasses.dataclass(frozen=True)
class Verdict:
    """The answer to a claim."""

    kind: VerdictKind
    claim: Claim | None = None


class LedgerState:
    """All claims, by workspace and key, oldest first."""

    def __init__(self):
        self._claims: dict[str, Claim] = {}
        self._answered: collections.deque[str] = collections.deque()
        self._answer_bytes = 0
        self._newest_unix_s = 0.0

    def claim(self, key: str, claim: Claim) -> Verdict:
        """Claims a key for one run, or returns the state of its claim."""
        self._newest_unix_s = max(self._newest_unix_s, claim.at_unix_s)
        if claim.at_unix_s < self._newest_unix_s - MAX_CLAIM_AGE_S:
            # The claim of an earlier run of its key may have expired in the
            # meantime.
            return Verdict(VerdictKind.WITHDRAWN)
        self._drop_expired()
        known = self._claims.get(key)
        if known is None:
            return self._add_claim(key, claim)
        if known.body_sha256 != claim.body_sha256:
            return Verdict(VerdictKind.REUSED)
        if claim.attempt in known.withdrawn:
            return Verdict(VerdictKind.WITHDRAWN)
        if known.state is ClaimState.NOT_RUN:
            return self._claim_again(key, known, claim)
        return _verdict_for_known(known, claim)

    def _add_claim(self, key: str, claim: Claim) -> Verdict:
        if len(self._claims) >= MAX_CLAIMS:
            return Verdict(VerdictKind.FULL)
        self._claims[key] = claim
        return Verdict(VerdictKind.RUN)

    def _claim_again(self, key: str, known: Claim, claim: Claim) -> Verdict:
        if known.attempt == claim.attempt:
            # The claim is late or a duplicate: its entry has already reported
            # to the caller that nothing ran, and will not run it.
            return Verdict(VerdictKind.WITHDRAWN)
        withdrawn = (*known.withdrawn, known.attempt)[-MAX_WITHDRAWN_PER_KEY:]
        del self._claims[key]
        self._claims[key] = dataclasses.replace(claim, withdrawn=withdrawn)
        return Verdict(VerdictKind.RUN)

    def settle(self, key: str, attempt: ids.RequestId, outcome: Claim) -> bool:
        """Records how a claimed request ended.

        Returns:
            Whether the ledger now holds this outcome of this attempt.
        """
        known = self._claims.get(key)
        if known is None:
            return self._settle_unclaimed(key, outcome)
        if known.attempt != attempt:
            if outcome.state is ClaimState.NOT_RUN:
                self._withdraw(known, attempt)
            return False
        if known.state is not ClaimState.CLAIMED:
            return known.state is outcome.state
        known.state = outcome.state
        if outcome.state is ClaimState.ANSWERED:
            known.status = outcome.status
            known.content_type = outcome.content_type
            known.answer = outcome.answer
            self._store_answer(key, len(outcome.answer))
        return True

    def _settle_unclaimed(self, key: str, outcome: Claim) -> bool:
        """Records "not run" for an attempt whose claim may follow later.

        An entry without an answer to its claim reports to the caller that
        nothing ran, but the claim may still be committed later. Without this
        record the claim would remain open, and a resent request would be
        refused as in flight although nothing runs.
        """
        if outcome.state is not ClaimState.NOT_RUN:
            return False
        if len(self._claims) < MAX_CLAIMS:
            self._claims[key] = outcome
        return True

    def _withdraw(self, known: Claim, attempt: ids.RequestId) -> None:
        if attempt not in known.withdrawn:
            withdrawn = (*known.withdrawn, attempt)
            known.withdrawn = withdrawn[-MAX_WITHDRAWN_PER_KEY:]

    def _store_answer(self, key: str, size_bytes: int) -> None:
        if not size_bytes:
            return
        self._answered.append(key)
        self._answer_bytes += size_bytes
        while self._answer_bytes > MAX_ANSWER_BYTES:
            oldest = self._claims.get(self._answered.popleft())
            if oldest is not None:
                self._drop_answer(oldest)

    def _drop_answer(self, claim: Claim) -> None:
        self._answer_bytes -= len(claim.answer)
        claim.answer = b""
        claim.status = 0

    def abandon(self, instance: ids.InstanceId) -> int:
        """Sets the outcome of a lost instance's open claims to unknown.

        Returns:
            The number of claims changed.
        """
        count = 0
        for claim in self._claims.values():
            if claim.instance == instance and claim.state is ClaimState.CLAIMED:
                claim.state = ClaimState.UNKNOWN
                count += 1
        return count

    def lookup(self, key: str) -> Claim | None:
        """Returns the claim of a key, or None."""
        return self._claims.get(key)

    def __len__(self) -> int:
        """Returns the number of claims."""
        return len(self._claims)

    def _drop_expired(self) -> None:
        oldest_unix_s = (
            self._newest_unix_s - CLAIM_RETENTION_S - MAX_CLAIM_AGE_S
        )
        for key in list(self._expired_keys(oldest_unix_s)):
            claim = self._claims.pop(key)
            self._drop_answer(claim)
        while self._answered and self._answered[0] not in self._claims:
            self._answered.popleft()

    def _expired_keys(self, oldest_unix_s: float) -> abc.Iterator[str]:
        for key, claim in self._claims.items():
            end_unix_s = max(claim.at_unix_s, claim.deadline_unix_s)
            if end_unix_s >= oldest_unix_s:
                return
            yield key

    def to_json(self) -> dict[str, typing.Any]:
        """Returns all claims as plain JSON values, for a snapshot."""
        return {
            "claims": [
                [key, claim.to_json()] for key, claim in self._claims.items()
            ],
            "answered": list(self._answered),
            "newest_unix_s": self._newest_unix_s,
        }

    @classmethod
    def from_json(cls, raw: dict[str, typing.Any]) -> "LedgerState":
        """Reads what `to_json` wrote."""
        state = cls()
        for key, value in raw["claims"]:
            state._claims[key] = Claim.from_json(value)
        state._answered.extend(raw["answered"])
        state._newest_unix_s = raw["newest_unix_s"]
        state._answer_bytes = sum(
            len(claim.answer) for claim in state._claims.values()
        )
        return state


def _verdict_for_known(known: Claim, claim: Claim) -> Verdict:
    if known.state is ClaimState.ANSWERED:
        return Verdict(VerdictKind.ANSWERED, known)
    if known.state is ClaimState.UNKNOWN:
        return Verdict(VerdictKind.UNKNOWN, known)
    if known.attempt == claim.attempt:
        # The reply to the claim was lost, and the entry has repeated the claim
        # of the same attempt. It has not sent the request yet.
        return Verdict(VerdictKind.RUN)
    if claim.at_unix_s > known.deadline_unix_s:
        # Its entry would have settled the claim by now, so it crashed or lost
        # the quorum for good. The request may have run.
        return Verdict(VerdictKind.UNKNOWN, known)
    return Verdict(VerdictKind.IN_FLIGHT, known)
