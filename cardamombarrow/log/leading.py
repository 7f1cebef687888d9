"""Replication as seen by the leader."""

from cardamombarrow.log import membership as membership_module
from cardamombarrow.log import messages
from cardamombarrow.log import progress as progress_module
from cardamombarrow.log import state as state_module

__all__ = ["Leading"]

MESSAGE_LIMIT_BYTES = 262_144
"""Maximum entry bytes of one message: 20 ms at 100 Mbit/s, so that a message
does not delay heartbeats."""

CHUNK_LIMIT_BYTES = 262_144
"""Maximum snapshot bytes of one message."""

MAX_IN_FLIGHT_ENTRIES = 2_048
"""Maximum number of unacknowledged entries sent to a member."""

MAX_LAG_ENTRIES = 64
"""A member at most this many entries behind counts as caught up."""


class Leading:
    """Replicates entries to the members, commits them and checks the quorum."""

    def __init__(self, state: state_module.CoreState):
        self._state = state
        self._progress: dict[
            membership_module.VoterId, progress_module.Progress
        ] = {}
        self._heartbeat_due_s = 0.0
        self._first_index = 0

    def become_leader(self) -> None:
        """Becomes the leader of the current term and appends a no-op.

        Entries of earlier terms are committed only together with an entry of
        this term, which the no-op provides.
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

        Entries of one step share one write, so that many concurrent claims
        cost one sync.
        """
        state = self._state
        index = state.log.last_index + 1
        entry = messages.Entry(index, state.term, kind, proposal, data)
        if kind is messages.EntryKind.MEMBERSHIP:
            # The new voters may not tolerate a loss that the old ones did. A
            # reader of the old value might stop another voter; `tick`
            # computes the new one.
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
        """Returns the replication progress of a member."""
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
        """Time of the next heartbeat."""
        return self._heartbeat_due_s

    def tick(self) -> None:
        """Sends heartbeats; steps down without contact to a majority.

        A leader without a majority would keep its clients waiting while
        another one is elected on the other side of the partition. Once it has
        stepped down, its status reports that it is isolated.
        """
        state = self._state
        removed = not state.is_voter and self.may_change()
        if removed or not state.log.membership.is_majority(
            self.reachable_members()
        ):
            state.follow(state.term, membership_module.NO_MEMBER)
            return
        state.redundant = self._is_redundant()
        if state.now_s < self._heartbeat_due_s:
            return
        self._heartbeat_due_s = state.now_s + state.timing.heartbeat_s
        for voter in self._others():
            self._send(voter, self.progress_of(voter), heartbeat=True)

    def reachable_members(self) -> list[membership_module.VoterId]:
        """Returns this leader and the members with recent contact."""
        state = self._state
        since_s = state.now_s - state.timing.election_min_s
        voters = [state.me.id]
        for voter in self._others():
            if self.progress_of(voter).last_contact_s >= since_s:
                voters.append(voter)
        return voters

    def _is_redundant(self) -> bool:
        membership = self._state.log.membership
        reachable = set(self.reachable_members()) & membership.voter_ids
        caught_up = [voter for voter in reachable if self._is_caught_up(voter)]
        return len(caught_up) >= membership.quorum + 1

    def _is_caught_up(self, voter: membership_module.VoterId) -> bool:
        state = self._state
        if voter == state.me.id:
            return True
        match_index = self.progress_of(voter).match_index
        return 0 < match_index >= state.commit_index - MAX_LAG_ENTRIES

    def flush(self) -> None:
        """Sends the entries appended in this step."""
        for voter in self._others():
            progress = self.progress_of(voter)
            # A new commit index is sent at once. Otherwise a client of a
            # follower would wait for the next heartbeat.
            is_current = progress.sent_commit_index >= self._state.commit_index
            if (
                progress.next_index <= self._state.log.last_index
                or not is_current
            ):
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
        idle_s = self._state.now_s - progress.sent_s
        if progress.probing or idle_s < self._state.timing.heartbeat_s:
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
        last = min(log.last_index, progress.match_index + MAX_IN_FLIGHT_ENTRIES)
        entries: tuple[messages.Entry, ...] = ()
        if not progress.probing and last > prev_index:
            entries = log.slice(prev_index + 1, last, MESSAGE_LIMIT_BYTES)
            progress.next_index += len(entries)
            progress.sent_s = state.now_s
        progress.sent_commit_index = state.commit_index
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
        """Handles an acknowledgement or a mismatch of the logs."""
        progress = self.progress_of(source)
        progress.last_contact_s = self._state.now_s
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
        """Sends the next chunk of a snapshot, or continues with entries."""
        progress = self.progress_of(source)
        progress.last_contact_s = self._state.now_s
        if reply.done:
            progress.snapshot = None
            progress.probing = False
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = progress.match_index + 1
            self._advance_commit()
            return
        if progress.snapshot and progress.snapshot.index == reply.index:
            # A heartbeat sends the current chunk again. If each reply caused
            # the next chunk to be sent, one repeated chunk would double all
            # later ones. So only the first reply to a chunk does.
            advances = reply.next_offset > progress.offset
            progress.offset = reply.next_offset
            if advances:
                self._send_chunk(source, progress)

    def _advance_commit(self) -> None:
        """Commits up to an entry of this term that a majority has synced.

        An entry of an earlier term may be held by a majority and still be
        replaced by a leader whose last term is higher; one of this term cannot.
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
        """Returns the next automatic membership change, if any.

        A voter that lost its disk returns under a new identity with the same
        name. Once that one has caught up, the old identity is removed before
        the new one is promoted: in the other order the majority would need
        one more voter although no more voters are alive.
        """
        kinds = membership_module.ChangeKind
        membership = self._state.log.membership
        for learner in reversed(membership.learners):
            if not learner.automatic:
                continue
            is_ready = self._is_ready(learner)
            old_identities = membership.other_identities(learner)
            obsolete = [
                m
                for m in old_identities
                if is_ready or m in membership.learners
            ]
            if obsolete:
                return membership_module.Change(kinds.REMOVE, obsolete[0])
            if is_ready:
                return membership_module.Change(kinds.PROMOTE, learner)
        obsolete = self._superseded_voter() or self._removable_member()
        if obsolete is not None:
            return membership_module.Change(kinds.REMOVE, obsolete)
        return None

    def _superseded_voter(self) -> membership_module.Member | None:
        """Returns a voter whose instance is back under a newer identity.

        An operator may promote the new identity before the old one is removed.
        The old one never answers again but counts for the majority: with one
        dead voter of four, the loss of one link ends the leadership.
        """
        voters = self._state.log.membership.voters
        reachable = set(self.reachable_members())
        for position, voter in enumerate(voters):
            name = membership_module.name_of(voter.id)
            for newer in voters[position + 1 :]:
                is_same = membership_module.name_of(newer.id) == name
                if (
                    is_same
                    and newer.id in reachable
                    and voter.id not in reachable
                ):
                    return voter
        return None

    def _removable_member(self) -> membership_module.Member | None:
        """Returns the longest silent member above the wanted number."""
        state = self._state
        membership, policy = state.log.membership, state.membership_policy
        if not policy.wanted_voters:
            return None
        spare = len(membership.voters) > policy.wanted_voters
        candidates = membership.learners + (membership.voters if spare else ())
        by_contact = [
            (self.progress_of(member.id).last_contact_s, member)
            for member in candidates
            if member.id != state.me.id
        ]
        last_contact_s, member = min(by_contact, default=(state.now_s, None))
        if state.now_s - last_contact_s < policy.remove_after_s:
            return None
        return member

    def _is_ready(self, learner: membership_module.Member) -> bool:
        return learner.id in self.reachable_members() and self.has_synced(
            learner
        )

    def has_synced(self, learner: membership_module.Member) -> bool:
        """Whether a learner has synced nearly all entries."""
        return self._is_caught_up(learner.id)

    def may_change(self) -> bool:
        """Whether a membership change may be appended now.

        Only one change may be uncommitted, and an entry of this term must be
        committed first. Otherwise two leaders could use memberships whose
        majorities don't overlap.
        """
        state = self._state
        is_committed = state.log.membership_index <= state.commit_index
        return is_committed and state.commit_index >= self._first_index
