"""The gossip table: a versioned row per instance of the failure domain.

Each instance writes only its own row and increments the row's version with
each round. Two instances compare the versions that they have and send each
other the missing changes (anti-entropy by versions, as in R. van Renesse et
al., "Efficient reconciliation and flow control for anti-entropy protocols",
2008). If a row's version does not increase for too long, its instance is
considered dead or cut off.
"""

from collections import abc
import dataclasses

from cardamombarrow.gossip import rows
from cardamombarrow.kernel import ids

__all__ = ["DEAD_AGE_S", "Row", "Table"]

DEAD_AGE_S = 10.0
"""A row not refreshed for this long is dropped. With one partner a second a
row reaches 36 instances within about 6 rounds."""

TOMBSTONE_TTL_S = 60.0
"""How long a removed item is propagated: longer than `DEAD_AGE_S`, after which
an instance that missed the removal has dropped the whole row."""

DROPPED_ROW_TTL_S = 600.0
"""How long the version of a dropped row is stored, so that a late message does
not restore it. After this time no instance sends the row any more."""


@dataclasses.dataclass
class Row:
    """The state of one instance as known here.

    Attributes:
        refreshed_s: Local time at which the instance itself had `version`.
        items: By key, in the order of their last change.
        floor: Lowest version that a delta can start from: removals up to
            it are unknown here or have been discarded.
    """

    instance: ids.InstanceId
    incarnation: int
    version: int
    head: rows.RowHeader
    refreshed_s: float
    items: dict[rows.Key, rows.Item] = dataclasses.field(default_factory=dict)
    floor: int = 0

    def put(
        self,
        key: rows.Key,
        value: rows.Value | None,
        version: int,
        now_s: float,
    ) -> None:
        """Stores an item as the most recently changed one."""
        item = self.items.pop(key, None)
        if item is None:
            item = rows.Item(version, value, now_s)
        else:
            item.version = version
            item.value = value
            item.changed_s = now_s
        self.items[key] = item

    def changed_since(
        self, version: int
    ) -> list[tuple[rows.Key, rows.Value | None]]:
        """Returns the items that changed after a version."""
        changed = []
        for key, item in reversed(self.items.items()):
            if item.version <= version:
                break
            if version or item.value is not None:
                changed.append((key, item.value))
        changed.reverse()
        return changed

    def prune(self, oldest_s: float) -> None:
        """Discards items that were removed before `oldest_s`."""
        for key, item in list(self.items.items()):
            if item.changed_s >= oldest_s:
                return
            if item.value is None:
                del self.items[key]
                self.floor = max(self.floor, item.version)


@dataclasses.dataclass(frozen=True)
class _DroppedRow:
    """Last version of a dropped row."""

    incarnation: int
    version: int
    dropped_s: float


class Table:
    """Rows of all instances considered alive, including this instance."""

    def __init__(
        self,
        instance: ids.InstanceId,
        incarnation: int,
        head: rows.RowHeader,
        now_s: float,
    ):
        self.own = Row(instance, incarnation, 1, head, now_s)
        self._rows = {instance: self.own}
        self._dropped: dict[ids.InstanceId, _DroppedRow] = {}

    def live(self) -> abc.Collection[Row]:
        """Returns all live rows, including the own row."""
        return self._rows.values()

    def others(self) -> list[Row]:
        """Returns the rows of the other live instances."""
        return [row for row in self._rows.values() if row is not self.own]

    # -- own row -----------------------------------------------------------

    def update(
        self,
        head: rows.RowHeader,
        items: dict[rows.Key, rows.Value],
        now_s: float,
    ) -> set[rows.Key]:
        """Replaces the own row and increments its version.

        Args:
            head: The new header.
            items: All items of the row; items absent here are removed.
            now_s: The current time.

        Returns:
            The keys that changed.
        """
        own = self.own
        own.version += 1
        own.head = head
        own.refreshed_s = now_s
        changed = set()
        for key, value in items.items():
            current = own.items.get(key)
            if current is None or current.value != value:
                own.put(key, value, own.version, now_s)
                changed.add(key)
        for key, item in list(own.items.items()):
            if item.value is not None and key not in items:
                own.put(key, None, own.version, now_s)
                changed.add(key)
        return changed

    # -- exchange ------------------------------------------------------------

    def digest(self) -> rows.Digest:
        """Returns the version of each row in this table."""
        return {
            row.instance: (row.incarnation, row.version)
            for row in self._rows.values()
        }

    def deltas(self, known: rows.Digest, now_s: float) -> list[rows.RowDelta]:
        """Returns the changes missing at an instance with this digest."""
        result = []
        for row in self._rows.values():
            incarnation, version = known.get(row.instance, (0, 0))
            if (incarnation, version) >= (row.incarnation, row.version):
                continue
            since = version if incarnation == row.incarnation else 0
            if since < row.floor:
                since = 0
            result.append(
                rows.RowDelta(
                    row.instance,
                    row.incarnation,
                    row.version,
                    since,
                    max(0.0, now_s - row.refreshed_s),
                    row.head,
                    row.changed_since(since),
                )
            )
        return result

    def apply(
        self, deltas: abc.Iterable[rows.RowDelta], now_s: float
    ) -> rows.Changes:
        """Applies deltas of another instance; versions never decrease."""
        changes = rows.Changes()
        for delta in deltas:
            if delta.instance == self.own.instance:
                self._supersede_earlier_incarnation(delta)
            elif self._is_applicable(delta):
                self._apply_delta(delta, now_s, changes)
        return changes

    def _supersede_earlier_incarnation(self, delta: rows.RowDelta) -> None:
        """Raises the own incarnation above that of an earlier process.

        After a restart with a clock that was set back, the other instances
        would ignore the new row until the earlier process's row is dropped.
        """
        own = self.own
        if (delta.incarnation, delta.version) > (own.incarnation, own.version):
            own.incarnation = delta.incarnation + 1

    def _is_applicable(self, delta: rows.RowDelta) -> bool:
        """Returns whether a delta is newer than its row and adjoins it."""
        version = (delta.incarnation, delta.version)
        dropped = self._dropped.get(delta.instance)
        if dropped is not None and version <= (
            dropped.incarnation,
            dropped.version,
        ):
            return False
        row = self._rows.get(delta.instance)
        if row is None or delta.incarnation > row.incarnation:
            return delta.since == 0
        if version <= (row.incarnation, row.version):
            return False
        return delta.since <= row.version

    def _apply_delta(
        self, delta: rows.RowDelta, now_s: float, changes: rows.Changes
    ) -> None:
        refreshed_s = now_s - delta.age_s
        if delta.age_s > DEAD_AGE_S:
            return
        self._dropped.pop(delta.instance, None)
        row = self._rows.get(delta.instance)
        if row is None or delta.since == 0:
            self._record_missing_items(row, delta, changes)
            row = Row(
                delta.instance,
                delta.incarnation,
                delta.version,
                delta.head,
                refreshed_s,
                floor=delta.version,
            )
            self._rows[delta.instance] = row
        row.version = delta.version
        row.head = dataclasses.replace(delta.head, address=row.head.address)
        row.refreshed_s = max(row.refreshed_s, refreshed_s)
        for key, value in delta.items:
            row.put(key, value, delta.version, now_s)
            changes.items.append((row.instance, key, value))
        changes.refreshed.add(row.instance)
        if delta.head.left:
            changes.left.append(row.instance)
            self._drop(row, now_s)

    def _record_missing_items(
        self, old: Row | None, delta: rows.RowDelta, changes: rows.Changes
    ) -> None:
        """Records as removed the items that a whole row no longer has."""
        remaining = {key for key, _ in delta.items}
        for key in old.items if old else ():
            if key not in remaining:
                changes.items.append((delta.instance, key, None))

    # -- failure detection -----------------------------------------------------

    def expire(self, now_s: float) -> list[ids.InstanceId]:
        """Drops rows that are no longer refreshed; returns their instances."""
        expired = [
            row for row in self.others() if now_s - row.refreshed_s > DEAD_AGE_S
        ]
        for row in expired:
            self._drop(row, now_s)
        for row in self._rows.values():
            row.prune(now_s - TOMBSTONE_TTL_S)
        for instance, dropped in list(self._dropped.items()):
            if now_s - dropped.dropped_s > DROPPED_ROW_TTL_S:
                del self._dropped[instance]
        return [row.instance for row in expired]

    def _drop(self, row: Row, now_s: float) -> None:
        del self._rows[row.instance]
        self._dropped[row.instance] = _DroppedRow(
            row.incarnation, row.version, now_s
        )
