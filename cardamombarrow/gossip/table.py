"""The gossip table: a versioned row per instance of the failure domain.

Each instance writes its own row only and raises the row's version with each
round. Two instances compare the versions that they know and send each other
what the other lacks (anti-entropy by versions, as in R. van Renesse et al.,
"Efficient reconciliation and flow control for anti-entropy protocols", 2008).
A row whose version stands still for too long belongs to an instance that is
dead or cut off.
"""

from collections import abc
import dataclasses

from cardamombarrow.gossip import rows
from cardamombarrow.kernel import ids

__all__ = ["DEAD_AGE_S", "Row", "Table"]

DEAD_AGE_S = 10.0
"""A row not refreshed for this long is dropped. With one partner a second a
row reaches 36 instances within about 6 rounds."""

REMOVED_KEPT_S = 60.0
"""How long a removed item is told of: longer than `DEAD_AGE_S`, after which
whoever has not heard of the removal has dropped the row altogether."""

DEAD_KEPT_S = 600.0
"""How long a dropped row's version is remembered, so that a late message does
not bring it back. No instance still tells of the row by then."""


@dataclasses.dataclass
class Row:
    """What is known of one instance.

    Attributes:
        refreshed_s: Local time at which the instance itself had `version`.
        items: By key, in the order of their last change.
        floor: Lowest version from which changes can be told here: removals
            up to it are not known, or forgotten.
    """

    instance: ids.InstanceId
    incarnation: int
    version: int
    head: rows.Head
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
        """Stores an item as the last changed."""
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
        """Forgets items that were removed before a time."""
        for key, item in list(self.items.items()):
            if item.changed_s >= oldest_s:
                return
            if item.value is None:
                del self.items[key]
                self.floor = max(self.floor, item.version)


@dataclasses.dataclass(frozen=True)
class _Dead:
    """The last version of a dropped row."""

    incarnation: int
    version: int
    dropped_s: float


class Table:
    """Rows of all instances that are thought to be alive, one's own too."""

    def __init__(
        self,
        instance: ids.InstanceId,
        incarnation: int,
        head: rows.Head,
        now_s: float,
    ):
        self.own = Row(instance, incarnation, 1, head, now_s)
        self._rows = {instance: self.own}
        self._dead: dict[ids.InstanceId, _Dead] = {}

    def live(self) -> abc.Collection[Row]:
        """Returns every live row, one's own too."""
        return self._rows.values()

    def others(self) -> list[Row]:
        """Returns the rows of the other live instances."""
        return [row for row in self._rows.values() if row is not self.own]

    # -- one's own row -----------------------------------------------------

    def update(
        self,
        head: rows.Head,
        items: dict[rows.Key, rows.Value],
        now_s: float,
    ) -> set[rows.Key]:
        """Replaces one's own row and raises its version.

        Args:
            head: The new head.
            items: All items of the row; those that it had before and that
                are absent here are removed.
            now_s: The time.

        Returns:
            The keys that changed.
        """
        own = self.own
        own.version += 1
        own.head = head
        own.refreshed_s = now_s
        changed = set()
        for key, value in items.items():
            known = own.items.get(key)
            if known is None or known.value != value:
                own.put(key, value, own.version, now_s)
                changed.add(key)
        for key, item in list(own.items.items()):
            if item.value is not None and key not in items:
                own.put(key, None, own.version, now_s)
                changed.add(key)
        return changed

    # -- exchange ------------------------------------------------------------

    def digest(self) -> rows.Digest:
        """Returns which version of each row is known here."""
        return {
            row.instance: (row.incarnation, row.version)
            for row in self._rows.values()
        }

    def deltas(self, known: rows.Digest, now_s: float) -> list[rows.RowDelta]:
        """Returns what an instance with this digest lacks."""
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
        """Takes what another instance sent; a version never goes back."""
        changes = rows.Changes()
        for delta in deltas:
            if delta.instance == self.own.instance:
                self._outlive(delta)
            elif self._is_news(delta):
                self._take(delta, now_s, changes)
        return changes

    def _outlive(self, delta: rows.RowDelta) -> None:
        """Rises above an earlier life of this instance.

        After a restart with a clock that was set back, the row of the earlier
        life would hide this one's: nobody would hear of it until that row is
        dropped.
        """
        own = self.own
        if (delta.incarnation, delta.version) > (own.incarnation, own.version):
            own.incarnation = delta.incarnation + 1

    def _is_news(self, delta: rows.RowDelta) -> bool:
        version = (delta.incarnation, delta.version)
        dead = self._dead.get(delta.instance)
        if dead is not None and version <= (dead.incarnation, dead.version):
            return False
        row = self._rows.get(delta.instance)
        if row is None or delta.incarnation > row.incarnation:
            return delta.since == 0
        if version <= (row.incarnation, row.version):
            return False
        return delta.since <= row.version

    def _take(
        self, delta: rows.RowDelta, now_s: float, changes: rows.Changes
    ) -> None:
        refreshed_s = now_s - delta.age_s
        if delta.age_s > DEAD_AGE_S:
            return
        self._dead.pop(delta.instance, None)
        row = self._rows.get(delta.instance)
        if row is None or delta.since == 0:
            self._replace(row, delta, changes)
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

    def _replace(
        self, old: Row | None, delta: rows.RowDelta, changes: rows.Changes
    ) -> None:
        """Notes the items that a whole row no longer has."""
        kept = {key for key, _ in delta.items}
        for key in old.items if old else ():
            if key not in kept:
                changes.items.append((delta.instance, key, None))

    # -- failure detection -----------------------------------------------------

    def expire(self, now_s: float) -> list[ids.InstanceId]:
        """Drops rows that stand still; returns their instances."""
        late = [
            row for row in self.others() if now_s - row.refreshed_s > DEAD_AGE_S
        ]
        for row in late:
            self._drop(row, now_s)
        for row in self._rows.values():
            row.prune(now_s - REMOVED_KEPT_S)
        for instance, dead in list(self._dead.items()):
            if now_s - dead.dropped_s > DEAD_KEPT_S:
                del self._dead[instance]
        return [row.instance for row in late]

    def _drop(self, row: Row, now_s: float) -> None:
        del self._rows[row.instance]
        self._dead[row.instance] = _Dead(row.incarnation, row.version, now_s)
