"""The followers' side of replication."""

from cardamombarrow.log import membership
from cardamombarrow.log import messages
from cardamombarrow.log import state as state_module

__all__ = ["Following"]


class Following:
    """Takes entries and snapshots from the leader."""

    def __init__(self, state: state_module.CoreState):
        self._state = state
        self._buffer = bytearray()
        self._buffer_key = (0, 0)

    def _accept(self, source: membership.VoterId, term: int) -> bool:
        state = self._state
        if term < state.term:
            return False
        state.follow(term, source)
        state.leader_heard_s = state.now_s
        state.reset_election_timer()
        return True

    def on_append(
        self, source: membership.VoterId, request: messages.AppendRequest
    ) -> None:
        """Takes entries, or says after which entry the leader should go on."""
        state = self._state
        if not self._accept(source, request.term):
            state.send(source, messages.AppendReply(state.term, False, 0))
            return
        state.redundant = request.redundant
        if not self._agrees(request.prev_index, request.prev_term):
            # What is committed here is in the leader's log for certain.
            index = min(state.log.last_index, request.prev_index - 1)
            if request.prev_index <= state.log.last_index:
                index = state.commit_index
            state.send(source, messages.AppendReply(state.term, False, index))
            return
        self._take(request.entries)
        matched = request.prev_index + len(request.entries)
        matched = max(matched, state.commit_index)
        state.commit_index = max(
            state.commit_index, min(request.commit_index, matched)
        )
        state.send(source, messages.AppendReply(state.term, True, matched))

    def _agrees(self, index: int, term: int) -> bool:
        state = self._state
        if index <= state.commit_index:
            return True
        return state.log.term_at(index) == term

    def _take(self, entries: tuple[messages.Entry, ...]) -> None:
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
        """Collects a snapshot and takes it over once it is whole."""
        state = self._state
        if not self._accept(source, chunk.term):
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
