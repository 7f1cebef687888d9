"""The replicated log as a pure state machine.

Its inputs are messages and the time, its outputs messages, writes and committed
entries. It uses no socket, file, thread or clock, so that it can be fuzzed. The
protocol is Raft (Ongaro and Ousterhout 2014) with pre-vote, check-quorum and
membership changes of one member at a time (Ongaro's thesis 2014, 4 and 9.6).

Example:
    >>> core.step(envelope, now_s)  # doctest: +SKIP
    >>> output = core.take_output(now_s)  # doctest: +SKIP
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
"""Entries retained before a snapshot, so that a follower that was unreachable
for a short time needs no transfer of the whole state."""


class Core:
    """One member of the group; used by one thread.

    Attributes:
        state: Term, role and log; read-only for callers.
    """

    def __init__(
        self,
        me: membership_module.Member,
        durable: state_module.DurableState,
        rng: random.Random,
        now_s: float,
        timing: state_module.Timing | None = None,
        contacts: tuple[membership_module.Member, ...] = (),
        is_founder: bool = False,
        keep_entries: int = KEEP_ENTRIES,
        membership_policy: state_module.MembershipPolicy | None = None,
    ):
        """Starts a member.

        Args:
            me: Its identity and address.
            durable: The persisted state; empty for an empty folder.
            rng: Draws election timeouts and proposal ids.
            now_s: The current time.
            timing: Timeouts and intervals of the protocol.
            contacts: The other processes in the settings' list of voters;
                their `id` is the name without the random part.
            is_founder: Whether this process may found the group.
            keep_entries: Entries retained before a snapshot.
            membership_policy: How the leader changes the membership without
                an operator.
        """
        timing = timing or state_module.Timing()
        state = state_module.CoreState(
            me, durable, timing, rng, now_s, membership_policy
        )
        self.state = state
        self._keep_entries = keep_entries
        self._last_output_index = state.log.snapshot.index
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
        """Handles one message.

        Args:
            envelope: The message.
            now_s: The current time.
            via: The member that delivered it: its source, or the voter that
                relayed it.
        """
        state = self.state
        state.now_s = max(state.now_s, now_s)
        if envelope.target and envelope.target != state.me.id:
            if envelope.relayed and envelope.hop == state.me.id:
                state.relay(envelope)
            return
        state.record_route(envelope, via)
        self._handlers[type(envelope.message)](
            envelope.source, envelope.message
        )

    def tick(self, now_s: float) -> None:
        """Handles expired timers; must be called by `next_wake_s`."""
        self.state.now_s = max(self.state.now_s, now_s)
        self._joining.tick()
        if self._election.tick():
            self._leading.become_leader()
        state = self.state
        if state.is_leader:
            self._leading.tick()
        elif not state.has_live_leader():
            silent_s = state.now_s - state.leader_contact_s
            if silent_s >= state.timing.election_max_s:
                state.leader = membership_module.NO_MEMBER
        if state.is_leader and self._leading.may_change():
            change = self._leading.next_change()
            if change is not None:
                self._proposals.change(change)

    def propose(
        self, kind: messages.EntryKind, data: bytes
    ) -> messages.ProposalId:
        """Adds a proposal; `take_output` returns its entry when committed."""
        return self._proposals.add(kind, data)

    def stop_resending(self, number: messages.ProposalId) -> None:
        """Stops sending a proposal again; it may still be committed."""
        self._proposals.stop_resending(number)

    def compact(self, index: int, data: bytes) -> None:
        """Installs a snapshot of the state machine and drops old entries.

        Args:
            index: The last entry that the state machine had applied.
            data: The state of the state machine.
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

    def use_stored_snapshot(self, snapshot: messages.Snapshot) -> None:
        """Replaces a snapshot in memory by its stored file."""
        if snapshot.index == self.state.log.snapshot.index:
            self.state.log.snapshot = snapshot

    def take_output(self, now_s: float) -> messages.Output:
        """Returns the output of all steps since the last call."""
        state = self.state
        state.now_s = max(state.now_s, now_s)
        self._proposals.flush()
        if state.is_leader:
            self._leading.flush()
        output, state.output = state.output, messages.Output()
        if output.restore is not None:
            self._last_output_index = output.restore.index
        if self._last_output_index < state.commit_index:
            output.committed = list(
                state.log.slice(self._last_output_index + 1, state.commit_index)
            )
            self._last_output_index = state.commit_index
        for entry in output.committed:
            self._proposals.stop_resending(entry.proposal)
        return output

    @property
    def has_quorum(self) -> bool:
        """Whether there is a leader with a majority, as far as is known."""
        state = self.state
        if state.is_leader:
            return True
        silent_s = state.now_s - state.leader_contact_s
        return bool(state.leader) and silent_s < state.timing.election_max_s

    @property
    def applicants(self) -> dict[str, membership_module.Member]:
        """Processes that have requested to join, by name."""
        return self._joining.applicants

    def next_wake_s(self) -> float:
        """Returns the time by which `tick` must be called next."""
        state = self.state
        if self._joining.is_outside:
            return self._joining.next_request_s
        if state.is_leader:
            return self._leading.heartbeat_due_s
        retry_s = state.now_s + state.timing.retry_s
        if not state.is_voter:
            # The election timer is in the past and advances for voters only;
            # returning it would make the log thread spin.
            return retry_s
        return min(state.election_due_s, retry_s)

    def _is_stale(self, term: int) -> bool:
        state = self.state
        if term > state.term:
            state.follow(term, membership_module.NO_MEMBER)
        return term < state.term or not state.is_leader

    def _on_vote_reply(
        self, source: membership_module.VoterId, reply: messages.VoteReply
    ) -> None:
        if self._election.on_reply(source, reply):
            self._leading.become_leader()

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
