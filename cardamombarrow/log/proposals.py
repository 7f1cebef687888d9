"""Proposals on their way into the log."""

import dataclasses

from cardamombarrow.log import leading as leading_module
from cardamombarrow.log import membership as membership_module
from cardamombarrow.log import messages
from cardamombarrow.log import state as state_module

__all__ = ["Proposals"]

_REMEMBERED = 4_096
"""Proposal ids that a leader knows to be in its log already."""


@dataclasses.dataclass
class _Pending:
    """A proposal of this member that it has not seen committed."""

    proposal: messages.Proposal
    sent_to: tuple[int, membership_module.VoterId] | None = None
    sent_s: float = float("-inf")


class Proposals:
    """Hands proposals to the leader, again until they are committed here.

    A proposal whose message was lost is sent again, so the leader may get it
    twice. It drops what it knows; what still comes into the log twice is
    applied once (see `replica`).
    """

    def __init__(
        self,
        state: state_module.CoreState,
        leading: leading_module.Leading,
    ):
        self._state = state
        self._leading = leading
        self._pending: dict[messages.ProposalId, _Pending] = {}
        self._arrived: list[messages.Proposal] = []
        self._known: dict[messages.ProposalId, None] = {}
        self._known_term = 0

    def add(self, kind: messages.EntryKind, data: bytes) -> messages.ProposalId:
        """Takes a proposal of this member."""
        number = messages.ProposalId(self._state.rng.getrandbits(63) or 1)
        proposal = messages.Proposal(number, kind, data)
        self._pending[number] = _Pending(proposal)
        return number

    def forget(self, number: messages.ProposalId) -> None:
        """Stops sending a proposal, committed or given up."""
        self._pending.pop(number, None)

    def on_forward(self, forward: messages.Forward) -> None:
        """Takes proposals of another member, if this one leads."""
        if self._state.is_leader:
            self._arrived.extend(forward.proposals)

    def flush(self) -> None:
        """Sends what is new, due again, or not sent to this leader yet."""
        state = self._state
        if not state.leader:
            self._arrived.clear()
            return
        to_send = [p for p in self._pending.values() if self._is_due(p)]
        for pending in to_send:
            pending.sent_to = (state.term, state.leader)
            pending.sent_s = state.now_s
        proposals = tuple(pending.proposal for pending in to_send)
        if state.is_leader:
            arrived, self._arrived = self._arrived, []
            for proposal in (*proposals, *arrived):
                self._append(proposal)
        elif proposals:
            state.send(state.leader, messages.Forward(state.term, proposals))

    def _is_due(self, pending: _Pending) -> bool:
        state = self._state
        if pending.sent_to != (state.term, state.leader):
            return True
        return state.now_s - pending.sent_s >= state.timing.retry_s

    def _append(self, proposal: messages.Proposal) -> None:
        if self._known_term != self._state.term:
            self._known = {}
            self._known_term = self._state.term
        if proposal.proposal in self._known:
            return
        kind, data = proposal.kind, proposal.data
        if kind is messages.EntryKind.CHANGE:
            if not self._leading.may_change():
                return
            kind, data = self._decide(membership_module.Change.decode(data))
        self._known[proposal.proposal] = None
        while len(self._known) > _REMEMBERED:
            del self._known[next(iter(self._known))]
        self._leading.append(kind, proposal.proposal, data)

    def _decide(
        self, change: membership_module.Change
    ) -> tuple[messages.EntryKind, bytes]:
        membership = self._state.log.membership
        is_promotion = change.kind is membership_module.ChangeKind.PROMOTE
        try:
            if is_promotion and not self._leading.has_synced(change.member):
                raise ValueError(f"{change.member.id} has not caught up yet")
            after = membership.after(change)
            self._check_majority(after)
        except ValueError as error:
            return messages.EntryKind.BARRIER, str(error).encode()
        return messages.EntryKind.MEMBERSHIP, after.encode()

    def _check_majority(self, after: membership_module.Membership) -> None:
        """Refuses a membership that could not commit anything.

        A voter is dead and an operator removes another one: the two that are
        left could never agree again, and no later change could mend it.

        Raises:
            ValueError: No majority of its voters is alive.
        """
        if not after.is_majority(self._leading.alive()):
            raise ValueError("no majority would be alive after it")

    def change(self, change: membership_module.Change) -> None:
        """Appends a change that the leader itself has decided on."""
        number = messages.ProposalId(self._state.rng.getrandbits(63) or 1)
        self._append(
            messages.Proposal(
                number, messages.EntryKind.CHANGE, change.encode()
            )
        )
