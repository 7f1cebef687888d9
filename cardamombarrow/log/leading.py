"""The leader's side of replication."""

from cardamombarrow.log import membership as membership_module
from cardamombarrow.log import messages
from cardamombarrow.log import progress as progress_module
from cardamombarrow.log import state as state_module

__all__ = ["Leading"]

MESSAGE_LIMIT_BYTES = 262_144
"""Most entry bytes of one message: 20 ms at 100 Mbit/s, so that heartbeats are
not held up behind it."""

CHUNK_LIMIT_BYTES = 262_144
"""Most snapshot bytes of one message."""

WINDOW = 2_048
"""Entries sent ahead of a member's acknowledgement."""

CAUGHT_UP = 64
"""A learner this few entries behind is as good as there."""


class Leading:
    """Sends entries, counts acknowledgements, commits, watches its majority."""

    def __init__(self, state: state_module.CoreState):
        self._state = state
        self._progress: dict[
            membership_module.VoterId, progress_module.Progress
        ] = {}
        self._heartbeat_due_s = 0.0
        self._first_index = 0

    def begin(self) -> None:
        """Takes the lead of a new term with a no-op.

        Entries of earlier terms are committed only by way of an entry of this
        term; the no-op makes one at once.
        """
        state = self._state
        state.role = state_module.Role.LEADER
        state.leader = state.me.id
        self._progress = {}
        self._first_index = state.log.last_index + 1
        self._heartbeat_due_s = state.now_s
        self.append(messages.EntryKind.BARRIER)

    def append(
        self,
        kind: messages.EntryKind,
        proposal: messages.ProposalId = messages.ProposalId(0),
        data: bytes = b"",
    ) -> None:
        """Appends an entry to the leader's own log.

        Entries of one step share one write, so that many claims of one moment
        cost one sync.
        """
        state = self._state
        index = state.log.last_index + 1
        entry = messages.Entry(index, state.term, kind, proposal, data)
        if kind is messages.EntryKind.MEMBERSHIP:
            # Until the next look: what was true of the voters before need not
            # be true of these, and whoever reads it may take another away.
            state.redundant = False
        state.log.append([entry])
        writes = state.output.writes
        if writes and isinstance(writes[-1], messages.EntryWrite):
            writes[-1] = messages.EntryWrite((*writes[-1].entries, entry))
        else:
            writes.append(messages.EntryWrite((entry,)))
        self._advance_commit()

    def progress_of(
        self, voter: membership_module.VoterId
    ) -> progress_module.Progress:
        """Returns what is known of a member."""
        state = self._state
        if voter not in self._progress:
            self._progress[voter] = progress_module.Progress(
                state.log.last_index + 1, state.now_s
            )
        return self._progress[voter]

    def _others(self) -> list[membership_module.VoterId]:
        members = self._state.log.membership.members
        return [m.id for m in members if m.id != self._state.me.id]

    @property
    def heartbeat_due_s(self) -> float:
        """When the next heartbeat goes out."""
        return self._heartbeat_due_s

    def tick(self) -> None:
        """Sends heartbeats; steps down when no majority is in reach.

        A leader cut off from the majority would go on telling clients to wait
        while another one is elected on the other side; stepping down makes
        its status say that it is isolated.
        """
        state = self._state
        removed = not state.is_voter and self.may_change()
        if removed or not state.log.membership.is_majority(self.alive()):
            state.follow(state.term, membership_module.NOBODY)
            return
        state.redundant = self._is_redundant()
        if state.now_s < self._heartbeat_due_s:
            return
        self._heartbeat_due_s = state.now_s + state.timing.heartbeat_s
        for voter in self._others():
            self._send(voter, self.progress_of(voter), heartbeat=True)

    def alive(self) -> list[membership_module.VoterId]:
        """Returns this leader and the members that it heard of late."""
        state = self._state
        since_s = state.now_s - state.timing.election_min_s
        voters = [state.me.id]
        for voter in self._others():
            if self.progress_of(voter).heard_s >= since_s:
                voters.append(voter)
        return voters

    def _is_redundant(self) -> bool:
        membership = self._state.log.membership
        alive = set(self.alive()) & membership.voter_ids
        there = [voter for voter in alive if self._is_caught_up(voter)]
        return len(there) >= membership.quorum + 1

    def _is_caught_up(self, voter: membership_module.VoterId) -> bool:
        state = self._state
        if voter == state.me.id:
            return True
        match_index = self.progress_of(voter).match_index
        return 0 < match_index >= state.commit_index - CAUGHT_UP

    def flush(self) -> None:
        """Sends what was appended in this step."""
        for voter in self._others():
            progress = self.progress_of(voter)
            # A commit is told at once: whoever handed a command to a follower
            # would otherwise wait for the next heartbeat.
            is_told = progress.commit_sent >= self._state.commit_index
            if progress.next_index <= self._state.log.last_index or not is_told:
                self._send(voter, progress, heartbeat=False)

    def _send(
        self,
        voter: membership_module.VoterId,
        progress: progress_module.Progress,
        heartbeat: bool,
    ) -> None:
        if heartbeat:
            self._rewind_if_lost(progress)
        elif progress.probing:
            return
        behind = progress.next_index <= self._state.log.base_index
        if progress.snapshot or behind:
            if heartbeat or progress.snapshot is None:
                self._send_chunk(voter, progress)
            return
        self._send_entries(voter, progress)

    def _rewind_if_lost(self, progress: progress_module.Progress) -> None:
        quiet_s = self._state.now_s - progress.sent_s
        if progress.probing or quiet_s < self._state.timing.heartbeat_s:
            return
        if progress.match_index:
            progress.next_index = progress.match_index + 1
        else:
            progress.probing = True

    def _send_entries(
        self,
        voter: membership_module.VoterId,
        progress: progress_module.Progress,
    ) -> None:
        state, log = self._state, self._state.log
        prev_index = progress.next_index - 1
        last = min(log.last_index, progress.match_index + WINDOW)
        entries: tuple[messages.Entry, ...] = ()
        if not progress.probing and last > prev_index:
            entries = log.slice(prev_index + 1, last, MESSAGE_LIMIT_BYTES)
            progress.next_index += len(entries)
            progress.sent_s = state.now_s
        progress.commit_sent = state.commit_index
        state.send(
            voter,
            messages.AppendRequest(
                state.term,
                prev_index,
                log.term_at(prev_index),
                state.commit_index,
                entries,
                state.redundant,
            ),
        )

    def _send_chunk(
        self,
        voter: membership_module.VoterId,
        progress: progress_module.Progress,
    ) -> None:
        if progress.snapshot is None:
            progress.snapshot = self._state.log.snapshot
            progress.offset = 0
        snapshot = progress.snapshot
        self._state.send(
            voter,
            messages.SnapshotChunk(
                self._state.term,
                snapshot.index,
                snapshot.term,
                snapshot.membership,
                progress.offset,
                snapshot.data.size_bytes,
                snapshot.data.read(progress.offset, CHUNK_LIMIT_BYTES),
            ),
        )

    def on_append_reply(
        self, source: membership_module.VoterId, reply: messages.AppendReply
    ) -> None:
        """Takes an acknowledgement, or goes back to where the logs agree."""
        progress = self.progress_of(source)
        progress.heard_s = self._state.now_s
        if reply.success:
            progress.probing = False
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = max(progress.next_index, reply.index + 1)
            self._advance_commit()
        elif reply.index >= progress.match_index:
            progress.next_index = min(
                reply.index + 1, self._state.log.last_index + 1
            )
            progress.probing = False
        if progress.next_index <= self._state.log.last_index:
            self._send(source, progress, heartbeat=False)

    def on_snapshot_reply(
        self, source: membership_module.VoterId, reply: messages.SnapshotReply
    ) -> None:
        """Sends the next part of a snapshot, or goes on with entries."""
        progress = self.progress_of(source)
        progress.heard_s = self._state.now_s
        if reply.done:
            progress.snapshot = None
            progress.probing = False
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = progress.match_index + 1
            self._advance_commit()
            return
        if progress.snapshot and progress.snapshot.index == reply.index:
            # A heartbeat sends the current part again. If each answer led to
            # the next part, every part sent twice would double all that
            # follow; only the first answer to a part does.
            advances = reply.next_offset > progress.offset
            progress.offset = reply.next_offset
            if advances:
                self._send_chunk(source, progress)

    def _advance_commit(self) -> None:
        """Commits what a majority has synced, by entries of this term only.

        An entry of an earlier term can be on a majority and still be replaced
        by a leader whose last term is higher; one of the own term cannot.
        """
        state = self._state
        matches = sorted(
            state.log.last_index
            if voter == state.me.id
            else self.progress_of(voter).match_index
            for voter in state.log.membership.voter_ids
        )
        index = matches[len(matches) - state.log.membership.quorum]
        if index > state.commit_index and index >= self._first_index:
            state.commit_index = index

    def next_change(self) -> membership_module.Change | None:
        """Returns the change that replaces a voter whose disk was lost.

        The new identity bears the same name. Once it has caught up, the old
        identity goes first: with it the group would need one more voter for a
        majority while it has none more.
        """
        kinds = membership_module.ChangeKind
        membership = self._state.log.membership
        for learner in reversed(membership.learners):
            if not learner.automatic:
                continue
            is_ready = self._is_ready(learner)
            former = membership.others_named_as(learner)
            gone = [m for m in former if is_ready or m in membership.learners]
            if gone:
                return membership_module.Change(kinds.REMOVE, gone[0])
            if is_ready:
                return membership_module.Change(kinds.PROMOTE, learner)
        gone = self._former_identity() or self._gone()
        if gone is not None:
            return membership_module.Change(kinds.REMOVE, gone)
        return None

    def _former_identity(self) -> membership_module.Member | None:
        """Returns a voter whose instance has come back under a newer identity.

        An operator may promote the new identity before the old one is let go.
        The old one never answers again, and counts for the majority: of four
        voters one is dead, and the loss of one link ends the leadership.
        """
        voters = self._state.log.membership.voters
        alive = set(self.alive())
        for place, voter in enumerate(voters):
            name = membership_module.name_of(voter.id)
            for newer in voters[place + 1 :]:
                is_same = membership_module.name_of(newer.id) == name
                if is_same and newer.id in alive and voter.id not in alive:
                    return voter
        return None

    def _gone(self) -> membership_module.Member | None:
        """Returns the member above the wanted number that is silent longest."""
        state = self._state
        membership, tending = state.log.membership, state.tending
        if not tending.wanted_voters:
            return None
        spare = len(membership.voters) > tending.wanted_voters
        candidates = membership.learners + (membership.voters if spare else ())
        silent = [
            (self.progress_of(member.id).heard_s, member)
            for member in candidates
            if member.id != state.me.id
        ]
        heard_s, member = min(silent, default=(state.now_s, None))
        if state.now_s - heard_s < tending.gone_after_s:
            return None
        return member

    def _is_ready(self, learner: membership_module.Member) -> bool:
        return learner.id in self.alive() and self.has_synced(learner)

    def has_synced(self, learner: membership_module.Member) -> bool:
        """Whether a learner holds and has synced nearly all entries."""
        return self._is_caught_up(learner.id)

    def may_change(self) -> bool:
        """Whether a membership change may be appended now.

        One at a time, and only after an entry of this term is committed:
        otherwise two leaders could count with memberships whose majorities
        don't overlap.
        """
        state = self._state
        settled = state.log.membership_index <= state.commit_index
        return settled and state.commit_index >= self._first_index
