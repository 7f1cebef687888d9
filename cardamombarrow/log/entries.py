"""The log entries that a member holds in memory."""

from collections import abc

from cardamombarrow.log import membership as membership_module
from cardamombarrow.log import messages

__all__ = ["NO_SNAPSHOT", "Entries"]

NO_SNAPSHOT = messages.Snapshot(
    0, 0, membership_module.Membership(), messages.MemoryData(b"")
)


class Entries:
    """A window of the log: everything after `base_index`.

    Attributes:
        snapshot: The last snapshot. `base_index` is at or before its index,
            so that a follower that is slightly behind needs no snapshot.
        base_index: Index of the last dropped entry.
        base_term: Term of that entry.
    """

    def __init__(
        self,
        snapshot: messages.Snapshot = NO_SNAPSHOT,
        base_index: int = 0,
        base_term: int = 0,
        entries: abc.Iterable[messages.Entry] = (),
    ):
        self.snapshot = snapshot
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[messages.Entry] = []
        self._memberships = [(snapshot.index, snapshot.membership)]
        self.append(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def held_bytes(self) -> int:
        """Size of the entries' data in memory."""
        return sum(len(entry.data) for entry in list(self._entries))

    @property
    def membership(self) -> membership_module.Membership:
        """The newest membership, committed or not.

        A change takes effect as soon as it is in the log, so that the
        majorities before and after a change of one member overlap.
        """
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the entry that set `membership`."""
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> membership_module.Membership:
        """Returns the membership in effect after an entry."""
        found = self._memberships[0][1]
        for changed_index, value in self._memberships:
            if changed_index <= index:
                found = value
        return found

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def slice(
        self, first: int, last: int, limit_bytes: float = float("inf")
    ) -> tuple[messages.Entry, ...]:
        """Returns entries `first` to `last`, at least one, within a size."""
        start = first - self.base_index - 1
        stop = last - self.base_index
        found: list[messages.Entry] = []
        size_bytes = 0
        for entry in self._entries[start:stop]:
            size_bytes += len(entry.data)
            if found and size_bytes > limit_bytes:
                break
            found.append(entry)
        return tuple(found)

    def append(self, entries: abc.Iterable[messages.Entry]) -> None:
        """Appends entries; the first one must follow the last held."""
        for entry in entries:
            assert entry.index == self.last_index + 1
            self._entries.append(entry)
            is_new = entry.index > self._memberships[-1][0]
            if entry.kind is messages.EntryKind.MEMBERSHIP and is_new:
                value = membership_module.Membership.decode(entry.data)
                self._memberships.append((entry.index, value))

    def truncate_from(self, index: int) -> None:
        """Removes the entries from `index` on and their memberships."""
        del self._entries[index - self.base_index - 1 :]
        while self._memberships[-1][0] >= index:
            self._memberships.pop()

    def compact(self, snapshot: messages.Snapshot, keep: int) -> None:
        """Installs a snapshot and drops older entries.

        Args:
            snapshot: The state after one of the held entries.
            keep: Number of entries before the snapshot to retain for followers
                that are slightly behind.
        """
        base_index = max(self.base_index, snapshot.index - keep)
        base_term = self.term_at(base_index)
        del self._entries[: base_index - self.base_index]
        self.base_index, self.base_term = base_index, base_term
        self._set_snapshot(snapshot)

    def reset(self, snapshot: messages.Snapshot) -> None:
        """Replaces the held entries by a snapshot from the leader.

        Later entries are retained if the log agrees with the snapshot.
        """
        if self.term_at(snapshot.index) == snapshot.term:
            self.compact(snapshot, keep=0)
            return
        self._entries = []
        self.base_index, self.base_term = snapshot.index, snapshot.term
        self._memberships = [(snapshot.index, snapshot.membership)]
        self.snapshot = snapshot

    def _set_snapshot(self, snapshot: messages.Snapshot) -> None:
        self.snapshot = snapshot
        later = [m for m in self._memberships if m[0] > snapshot.index]
        self._memberships = [(snapshot.index, snapshot.membership), *later]
