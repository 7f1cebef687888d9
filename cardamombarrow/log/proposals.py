"""Delivery of proposals to the leader and into the log."""

import dataclasses

from cardamombarrow.log import leading as leading_module
from cardamombarrow.log import membership as membership_module
from cardamombarrow.log import messages
from cardamombarrow.log import state as state_module

__all__ = ["Proposals"]

_MAX_APPENDED_IDS = 4_096
"""Maximum number of proposal ids that a leader records as appended."""


@dataclasses.dataclass
class _Pending:
    """A proposal of this member that is not committed here yet."""

    proposal: messages.Proposal
    sent_to: tuple[int, membership_module.VoterId] | None = None
    sent_s: float = float("-inf")


class Proposals:
    """Sends proposals to the leader until they are committed here.

    A proposal is sent again if it may be lost, so the leader may receive it
    twice and drops the ids that it has already appended. A proposal that is
    still in the log twice is applied once (see `replica`).
    """

    def __init__(
        self,
        state: state_module.CoreState,
        leading: leading_module.Leading,
    ):
        self._state = state
        self._leading = leading
        self._pending: dict[messages.ProposalId, _Pending] = {}
        self._forwarded: list[messages.Proposal] = []
        self._appended_ids: dict[messages.ProposalId, None] = {}
        self._appended_term = 0

    def add(self, kind: messages.EntryKind, data: bytes) -> messages.ProposalId:
        """Adds a proposal of this member."""
        number = messages.ProposalId(self._state.rng.getrandbits(63) or 1)
        proposal = messages.Proposal(number, kind, data)
        self._pending[number] = _Pending(proposal)
        return number

    def stop_resending(self, number: messages.ProposalId) -> None:
        """Stops sending a proposal that is committed or abandoned."""
        self._pending.pop(number, None)

    def on_forward(self, forward: messages.Forward) -> None:
        """Receives proposals of another member, if this one is the leader."""
        if self._state.is_leader:
            self._forwarded.extend(forward.proposals)

    def flush(self) -> None:
        """Sends proposals that are new, due again or new to this leader."""
        state = self._state
        if not state.leader:
            self._forwarded.clear()
            return
        to_send = [p for p in self._pending.values() if self._is_due(p)]
        for pending in to_send:
            pending.sent_to = (state.term, state.leader)
            pending.sent_s = state.now_s
        proposals = tuple(pending.proposal for pending in to_send)
        if state.is_leader:
            forwarded, self._forwarded = self._forwarded, []
            for proposal in (*proposals, *forwarded):
                self._append(proposal)
        elif proposals:
            state.send(state.leader, messages.Forward(state.term, proposals))

    def _is_due(self, pending: _Pending) -> bool:
        state = self._state
        if pending.sent_to != (state.term, state.leader):
            return True
        return state.now_s - pending.sent_s >= state.timing.retry_s

    def _append(self, proposal: messages.Proposal) -> None:
        if self._appended_term != self._state.term:
            self._appended_ids = {}
            self._appended_term = self._state.term
        if proposal.proposal in self._appended_ids:
            return
        kind, data = proposal.kind, proposal.data
        if kind is messages.EntryKind.CHANGE:
            if not self._leading.may_change():
                return
            kind, data = self._resolve_change(
                membership_module.Change.decode(data)
            )
        self._appended_ids[proposal.proposal] = None
        while len(self._appended_ids) > _MAX_APPENDED_IDS:
            del self._appended_ids[next(iter(self._appended_ids))]
        self._leading.append(kind, proposal.proposal, data)

    def _resolve_change(
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
        """Refuses a membership that could not commit any entry.

        If an operator removes a live voter while another one is dead, the
        remaining ones may have no majority, and no later change could be
        committed to correct it.

        Raises:
            ValueError: No majority of its voters is alive.
        """
        if not after.is_majority(self._leading.reachable_members()):
            raise ValueError("it would leave no majority of live voters")

    def change(self, change: membership_module.Change) -> None:
        """Appends a change that the leader initiates."""
        number = messages.ProposalId(self._state.rng.getrandbits(63) or 1)
        self._append(
            messages.Proposal(
                number, messages.EntryKind.CHANGE, change.encode()
            )
        )
