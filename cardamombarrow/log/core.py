"""The replicated log as a pure state machine.

Messages and the time go in; messages, writes and committed entries come out.
There is no socket, file, thread or clock in it, so that it can be fuzzed. The
protocol is Raft (Ongaro and Ousterhout 2014) with pre-vote, check-quorum and
membership changes of one member at a time (Ongaro's thesis 2014, 4 and 9.6).

Example:
    >>> core.step(envelope, now_s)  # doctest: +SKIP
    >>> output = core.take(now_s)  # doctest: +SKIP
    >>> storage.save(output.writes)  # doctest: +SKIP
    >>> transport.send(output.envelopes)  # doctest: +SKIP
"""

import random

from cardamombarrow.log import election as election_module
from cardamombarrow.log import following as following_module
from cardamombarrow.log import joining as joining_module
from cardamombarrow.log import leading as leading_module
from cardamombarrow.log import membership as membership_module
from cardamombarrow.log import messages
from cardamombarrow.log import proposals as proposals_module
from cardamombarrow.log import state as state_module

__all__ = ["KEEP_ENTRIES", "Core"]

KEEP_ENTRIES = 512
"""Entries kept before a snapshot, so that a short absence needs no transfer
of the whole state."""


class Core:
    """One member of the group; used by one thread.

    Attributes:
        state: Term, role, log; read it, change nothing in it.
    """

    def __init__(
        self,
        me: membership_module.Member,
        durable: state_module.Durable,
        rng: random.Random,
        now_s: float,
        timing: state_module.Timing | None = None,
        contacts: tuple[membership_module.Member, ...] = (),
        is_founder: bool = False,
        keep_entries: int = KEEP_ENTRIES,
        tending: state_module.Tending | None = None,
    ):
        """Starts a member.

        Args:
            me: Its identity and address.
            durable: What storage holds; empty for an empty folder.
            rng: Draws election timeouts and proposal ids.
            now_s: The time.
            timing: Times of the protocol.
            contacts: The other processes of the settings' list; their `id` is
                the name only.
            is_founder: Whether this one stands first in that list.
            keep_entries: Entries kept before a snapshot.
            tending: How a leader tends the membership.
        """
        timing = timing or state_module.Timing()
        state = state_module.CoreState(me, durable, timing, rng, now_s, tending)
        self.state = state
        self._keep_entries = keep_entries
        self._handed_out = state.log.snapshot.index
        self._election = election_module.Election(state)
        self._leading = leading_module.Leading(state)
        self._following = following_module.Following(state)
        self._proposals = proposals_module.Proposals(state, self._leading)
        self._joining = joining_module.Joining(
            state, self._proposals, contacts, is_founder
        )
        self._handlers = {
            messages.VoteRequest: self._election.on_request,
            messages.VoteReply: self._on_vote_reply,
            messages.AppendRequest: self._following.on_append,
            messages.AppendReply: self._on_append_reply,
            messages.SnapshotChunk: self._following.on_chunk,
            messages.SnapshotReply: self._on_snapshot_reply,
            messages.Forward: self._on_forward,
            messages.JoinRequest: self._joining.on_request,
            messages.JoinReply: self._on_join_reply,
        }

    def step(self, envelope: messages.Envelope, now_s: float, via: str) -> None:
        """Takes one message.

        Args:
            envelope: The message.
            now_s: The time.
            via: Who handed it over: its source, or the voter between.
        """
        state = self.state
        state.now_s = max(state.now_s, now_s)
        if envelope.target and envelope.target != state.me.id:
            if envelope.relayed and envelope.hop == state.me.id:
                state.pass_on(envelope)
            return
        state.heard_from(envelope, via)
        self._handlers[type(envelope.message)](
            envelope.source, envelope.message
        )

    def tick(self, now_s: float) -> None:
        """Lets timers run; call it at `next_wake_s` or more often."""
        self.state.now_s = max(self.state.now_s, now_s)
        self._joining.tick()
        if self._election.tick():
            self._leading.begin()
        state = self.state
        if state.is_leader:
            self._leading.tick()
        elif not state.follows_live_leader():
            silent_s = state.now_s - state.leader_heard_s
            if silent_s >= state.timing.election_max_s:
                state.leader = membership_module.NOBODY
        if state.is_leader and self._leading.may_change():
            change = self._leading.next_change()
            if change is not None:
                self._proposals.change(change)

    def propose(
        self, kind: messages.EntryKind, data: bytes
    ) -> messages.ProposalId:
        """Takes a proposal; its entry comes out of `take` once committed."""
        return self._proposals.add(kind, data)

    def forget(self, number: messages.ProposalId) -> None:
        """Gives a proposal up; it may still be committed."""
        self._proposals.forget(number)

    def compact(self, index: int, data: bytes) -> None:
        """Takes over a snapshot of the state machine, and drops entries.

        Args:
            index: The last entry that the state machine had applied.
            data: Its state.
        """
        log = self.state.log
        term = log.term_at(index)
        if index <= log.snapshot.index or term is None:
            return
        membership = log.membership_at(index)
        snapshot = messages.Snapshot(
            index, term, membership, messages.MemoryData(data)
        )
        log.compact(snapshot, self._keep_entries)
        self.state.output.writes.append(
            messages.SnapshotWrite(
                snapshot,
                log.base_index,
                log.base_term,
                log.slice(log.base_index + 1, log.last_index),
            )
        )

    def stored(self, snapshot: messages.Snapshot) -> None:
        """Uses a snapshot's file in place of its bytes in memory."""
        if snapshot.index == self.state.log.snapshot.index:
            self.state.log.snapshot = snapshot

    def take(self, now_s: float) -> messages.Output:
        """Returns what all steps since the last call ask for."""
        state = self.state
        state.now_s = max(state.now_s, now_s)
        self._proposals.flush()
        if state.is_leader:
            self._leading.flush()
        output, state.output = state.output, messages.Output()
        if output.restore is not None:
            self._handed_out = output.restore.index
        if self._handed_out < state.commit_index:
            output.committed = list(
                state.log.slice(self._handed_out + 1, state.commit_index)
            )
            self._handed_out = state.commit_index
        for entry in output.committed:
            self._proposals.forget(entry.proposal)
        return output

    @property
    def has_quorum(self) -> bool:
        """Whether a leader with a majority is known to be there."""
        state = self.state
        if state.is_leader:
            return True
        silent_s = state.now_s - state.leader_heard_s
        return bool(state.leader) and silent_s < state.timing.election_max_s

    @property
    def applicants(self) -> dict[str, membership_module.Member]:
        """Processes that asked to be let in, by name."""
        return self._joining.applicants

    def next_wake_s(self) -> float:
        """Returns when `tick` has something to do."""
        state = self.state
        if self._joining.is_outside:
            return self._joining.due_s
        if state.is_leader:
            return self._leading.heartbeat_due_s
        retry_s = state.now_s + state.timing.retry_s
        if not state.is_voter:
            # Only a voter's `tick` moves the election time on.
            return retry_s
        return min(state.election_due_s, retry_s)

    def _is_stale(self, term: int) -> bool:
        state = self.state
        if term > state.term:
            state.follow(term, membership_module.NOBODY)
        return term < state.term or not state.is_leader

    def _on_vote_reply(
        self, source: membership_module.VoterId, reply: messages.VoteReply
    ) -> None:
        if self._election.on_reply(source, reply):
            self._leading.begin()

    def _on_append_reply(
        self, source: membership_module.VoterId, reply: messages.AppendReply
    ) -> None:
        if not self._is_stale(reply.term):
            self._leading.on_append_reply(source, reply)

    def _on_snapshot_reply(
        self, source: membership_module.VoterId, reply: messages.SnapshotReply
    ) -> None:
        if not self._is_stale(reply.term):
            self._leading.on_snapshot_reply(source, reply)

    def _on_forward(
        self, _: membership_module.VoterId, forward: messages.Forward
    ) -> None:
        self._proposals.on_forward(forward)

    def _on_join_reply(
        self, _: membership_module.VoterId, reply: messages.JoinReply
    ) -> None:
        self._joining.on_reply(reply)
