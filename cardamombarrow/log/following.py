"""Replication as seen by a follower."""

from cardamombarrow.log import membership
from cardamombarrow.log import messages
from cardamombarrow.log import state as state_module

__all__ = ["Following"]


class Following:
    """Handles entries and snapshots from the leader."""

    def __init__(self, state: state_module.CoreState):
        self._state = state
        self._buffer = bytearray()
        self._buffer_key = (0, 0)

    def _accept_leader(self, source: membership.VoterId, term: int) -> bool:
        state = self._state
        if term < state.term:
            return False
        state.follow(term, source)
        state.leader_contact_s = state.now_s
        state.reset_election_timer()
        return True

    def on_append(
        self, source: membership.VoterId, request: messages.AppendRequest
    ) -> None:
        """Appends entries, or replies where the leader should continue."""
        state = self._state
        if not self._accept_leader(source, request.term):
            state.send(source, messages.AppendReply(state.term, False, 0))
            return
        state.redundant = request.redundant
        if not self._matches_log(request.prev_index, request.prev_term):
            # The leader's log contains all entries that are committed here.
            index = min(state.log.last_index, request.prev_index - 1)
            if request.prev_index <= state.log.last_index:
                index = state.commit_index
            state.send(source, messages.AppendReply(state.term, False, index))
            return
        self._append_new(request.entries)
        matched = request.prev_index + len(request.entries)
        matched = max(matched, state.commit_index)
        state.commit_index = max(
            state.commit_index, min(request.commit_index, matched)
        )
        state.send(source, messages.AppendReply(state.term, True, matched))

    def _matches_log(self, index: int, term: int) -> bool:
        state = self._state
        if index <= state.commit_index:
            return True
        return state.log.term_at(index) == term

    def _append_new(self, entries: tuple[messages.Entry, ...]) -> None:
        log = self._state.log
        new = [
            entry
            for entry in entries
            if entry.index > self._state.commit_index
            and log.term_at(entry.index) != entry.term
        ]
        if not new:
            return
        if new[0].index <= log.last_index:
            log.truncate_from(new[0].index)
        log.append(new)
        self._state.output.writes.append(messages.EntryWrite(tuple(new)))

    def on_chunk(
        self, source: membership.VoterId, chunk: messages.SnapshotChunk
    ) -> None:
        """Collects the chunks of a snapshot and installs it when complete."""
        state = self._state
        if not self._accept_leader(source, chunk.term):
            state.send(source, messages.AppendReply(state.term, False, 0))
            return
        if chunk.index <= state.commit_index:
            self._reply(source, chunk, 0, done=True)
            return
        key = (chunk.index, chunk.index_term)
        if key != self._buffer_key:
            self._buffer, self._buffer_key = bytearray(), key
        if chunk.offset == len(self._buffer):
            self._buffer += chunk.data
        size_bytes = len(self._buffer)
        if size_bytes < chunk.total_bytes:
            self._reply(source, chunk, size_bytes, done=False)
            return
        self._install(chunk)
        self._reply(source, chunk, size_bytes, done=True)

    def _install(self, chunk: messages.SnapshotChunk) -> None:
        state = self._state
        snapshot = messages.Snapshot(
            chunk.index,
            chunk.index_term,
            chunk.membership,
            messages.MemoryData(bytes(self._buffer)),
        )
        self._buffer, self._buffer_key = bytearray(), (0, 0)
        state.log.reset(snapshot)
        state.commit_index = snapshot.index
        state.output.restore = snapshot
        state.output.writes.append(
            messages.SnapshotWrite(
                snapshot,
                state.log.base_index,
                state.log.base_term,
                state.log.slice(state.log.base_index + 1, state.log.last_index),
            )
        )

    def _reply(
        self,
        source: membership.VoterId,
        chunk: messages.SnapshotChunk,
        next_offset: int,
        done: bool,
    ) -> None:
        reply = messages.SnapshotReply(
            self._state.term, chunk.index, next_offset, done
        )
        self._state.send(source, reply)
