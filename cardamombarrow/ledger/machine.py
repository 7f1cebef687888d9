"""The ledger as a state machine: a key is claimed once, and never again.

An unrepeatable request is claimed before any byte of it is sent. Whoever
sends the same key later finds the claim: it is answered from it or told that
the outcome is unknown. There is no second run.

The state machine has no clock. Where time matters it compares times that the
commands carry, so that every voter decides the same.
"""

import base64
import collections
from collections import abc
import dataclasses
import enum
import typing

from cardamombarrow.kernel import ids

__all__ = [
    "ANSWERS_KEPT_BYTES",
    "CLAIMS_KEPT",
    "KEPT_S",
    "LATE_S",
    "Claim",
    "ClaimState",
    "LedgerState",
    "Verdict",
    "VerdictKind",
]

CLAIMS_KEPT = 50_000
"""Most claims remembered. A key that finds no room is refused, not run: to
forget another key early would allow that one a second run."""

KEPT_S = 86_400.0
"""A claim is remembered for at least this long after it was made. A resend
after that may run again; docs/ledger.md tells callers so."""

LATE_S = 180.0
"""A claim that comes in this long behind the newest one is withdrawn: its
entry gave up waiting after seconds. Instances' clocks agree within 60 s with
the control processes', or they are refused, so two differ by 120 s at most."""

ANSWERS_KEPT_BYTES = 16_000_000
"""Most bytes of stored answers; beyond it the oldest answers are dropped, but
not their claims."""

WITHDRAWN_KEPT = 8
"""Attempts on one key remembered as given up before their claim came in."""


class ClaimState(enum.Enum):
    """Where the claimed request stands."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class VerdictKind(enum.Enum):
    """What the claimant may do."""

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
            is an error of the caller.
        instance: The entry that may run it.
        attempt: Id of the request that made the claim.
        at_unix_s: Wall clock of the entry when it made the claim.
        deadline_unix_s: When the entry will have settled it at the latest;
            after that its outcome is unknown.
        status: HTTP status of the stored answer; 0 where none is stored.
        answer: The stored answer, bounded by the entry.
        withdrawn: Other attempts that were given up without a run.
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
        """Claims a key for one run, or tells what became of it."""
        self._newest_unix_s = max(self._newest_unix_s, claim.at_unix_s)
        if claim.at_unix_s < self._newest_unix_s - LATE_S:
            # Its key may have been claimed, run and forgotten while it was
            # under way.
            return Verdict(VerdictKind.WITHDRAWN)
        self._forget()
        known = self._claims.get(key)
        if known is None:
            return self._open(key, claim)
        if known.body_sha256 != claim.body_sha256:
            return Verdict(VerdictKind.REUSED)
        if claim.attempt in known.withdrawn:
            return Verdict(VerdictKind.WITHDRAWN)
        if known.state is ClaimState.NOT_RUN:
            return self._claim_again(key, known, claim)
        return _verdict_on(known, claim)

    def _open(self, key: str, claim: Claim) -> Verdict:
        if len(self._claims) >= CLAIMS_KEPT:
            return Verdict(VerdictKind.FULL)
        self._claims[key] = claim
        return Verdict(VerdictKind.RUN)

    def _claim_again(self, key: str, known: Claim, claim: Claim) -> Verdict:
        if known.attempt == claim.attempt:
            # The claim comes late, or twice: its entry has given it up, told
            # the caller that nothing ran, and will not run it.
            return Verdict(VerdictKind.WITHDRAWN)
        withdrawn = (*known.withdrawn, known.attempt)[-WITHDRAWN_KEPT:]
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
            self._keep_answer(key, len(outcome.answer))
        return True

    def _settle_unclaimed(self, key: str, outcome: Claim) -> bool:
        """Takes "not run" of an attempt whose claim may still come.

        An entry that got no answer to its claim tells the caller that nothing
        ran. Its claim can be committed after that; without this record it
        would stand open, and the caller's resend would be told that a request
        is under way which nobody runs.
        """
        if outcome.state is not ClaimState.NOT_RUN:
            return False
        if len(self._claims) < CLAIMS_KEPT:
            self._claims[key] = outcome
        return True

    def _withdraw(self, known: Claim, attempt: ids.RequestId) -> None:
        if attempt not in known.withdrawn:
            withdrawn = (*known.withdrawn, attempt)
            known.withdrawn = withdrawn[-WITHDRAWN_KEPT:]

    def _keep_answer(self, key: str, size_bytes: int) -> None:
        if not size_bytes:
            return
        self._answered.append(key)
        self._answer_bytes += size_bytes
        while self._answer_bytes > ANSWERS_KEPT_BYTES:
            oldest = self._claims.get(self._answered.popleft())
            if oldest is not None:
                self._drop_answer(oldest)

    def _drop_answer(self, claim: Claim) -> None:
        self._answer_bytes -= len(claim.answer)
        claim.answer = b""
        claim.status = 0

    def abandon(self, instance: ids.InstanceId) -> int:
        """Marks the open claims of a lost instance as of unknown outcome.

        Returns:
            How many claims were marked.
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
        """Counts the claims."""
        return len(self._claims)

    def _forget(self) -> None:
        oldest_unix_s = self._newest_unix_s - KEPT_S - LATE_S
        for key in list(self._old_keys(oldest_unix_s)):
            claim = self._claims.pop(key)
            self._drop_answer(claim)
        while self._answered and self._answered[0] not in self._claims:
            self._answered.popleft()

    def _old_keys(self, oldest_unix_s: float) -> abc.Iterator[str]:
        for key, claim in self._claims.items():
            last_unix_s = max(claim.at_unix_s, claim.deadline_unix_s)
            if last_unix_s >= oldest_unix_s:
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


def _verdict_on(known: Claim, claim: Claim) -> Verdict:
    if known.state is ClaimState.ANSWERED:
        return Verdict(VerdictKind.ANSWERED, known)
    if known.state is ClaimState.UNKNOWN:
        return Verdict(VerdictKind.UNKNOWN, known)
    if known.attempt == claim.attempt:
        # The claim's answer was lost on its way and the same entry asks
        # again for the same attempt: it has not sent anything yet.
        return Verdict(VerdictKind.RUN)
    if claim.at_unix_s > known.deadline_unix_s:
        # Its entry died or lost the quorum for good: it would have settled
        # by now. The request may have run.
        return Verdict(VerdictKind.UNKNOWN, known)
    return Verdict(VerdictKind.IN_FLIGHT, known)
