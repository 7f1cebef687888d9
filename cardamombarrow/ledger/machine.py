"""The ledger as a state machine: a key is claimed once, and never again.

An unrepeatable request is claimed before any byte of it is sent. Whoever
sends the same key later finds the claim: it is answered from it or told that
the outcome is unknown. There is no second run.
"""

import dataclasses
import enum

from cardamombarrow.kernel import ids

__all__ = [
    "Claim",
    "ClaimState",
    "LedgerState",
    "Verdict",
    "VerdictKind",
]

CLAIMS_KEPT = 100_000
"""Claims remembered, oldest settled first out; docs/ledger.md has the bound."""


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


@dataclasses.dataclass
class Claim:
    """One claimed key.

    Attributes:
        body_sha256: Digest of the request; the same key with another body
            is an error of the caller.
        instance: The entry that may run it.
        attempt: Id of the request that made the claim.
        status: HTTP status of the stored answer.
        answer: The stored answer, bounded by the entry, base64.
    """

    body_sha256: str
    instance: ids.InstanceId
    attempt: ids.RequestId
    at_unix_s: float
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    content_type: str = ""
    answer: str = ""


@dataclasses.dataclass(frozen=True)
class Verdict:
    """The answer to a claim."""

    kind: VerdictKind
    claim: Claim | None = None


class LedgerState:
    """All claims, by workspace and key."""

    def __init__(self):
        self._claims: dict[str, Claim] = {}

    def claim(self, key: str, claim: Claim) -> Verdict:
        """Claims a key for one run, or tells what became of it."""
        known = self._claims.get(key)
        if known is None or known.state is ClaimState.NOT_RUN:
            if known is not None and known.body_sha256 != claim.body_sha256:
                return Verdict(VerdictKind.REUSED)
            self._claims[key] = claim
            self._forget()
            return Verdict(VerdictKind.RUN)
        if known.body_sha256 != claim.body_sha256:
            return Verdict(VerdictKind.REUSED)
        if known.attempt == claim.attempt:
            # The claim's answer was lost on its way and the same entry asks
            # again for the same attempt: it has not sent anything yet.
            return Verdict(VerdictKind.RUN)
        kinds = {
            ClaimState.CLAIMED: VerdictKind.IN_FLIGHT,
            ClaimState.ANSWERED: VerdictKind.ANSWERED,
            ClaimState.UNKNOWN: VerdictKind.UNKNOWN,
        }
        return Verdict(kinds[known.state], known)

    def settle(self, key: str, attempt: ids.RequestId, outcome: Claim) -> bool:
        """Records how a claimed request ended.

        Returns:
            False when the claim is not this attempt's; nothing changes.
        """
        known = self._claims.get(key)
        if known is None or known.attempt != attempt:
            return False
        if known.state is not ClaimState.CLAIMED:
            return False
        self._claims[key] = outcome
        return True

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

    def _forget(self) -> None:
        if len(self._claims) <= CLAIMS_KEPT:
            return
        for key, claim in self._claims.items():
            if claim.state is not ClaimState.CLAIMED:
                del self._claims[key]
                return

    def to_json(self) -> dict:
        """Returns all claims as plain JSON values, for a snapshot."""
        return {
            key: {**dataclasses.asdict(claim), "state": claim.state.value}
            for key, claim in self._claims.items()
        }

    @classmethod
    def from_json(cls, raw: dict) -> "LedgerState":
        """Reads what `to_json` wrote."""
        state = cls()
        for key, value in raw.items():
            value = {**value, "state": ClaimState(value["state"])}
            state._claims[key] = Claim(**value)
        return state
