"""Whether a control process still has all open streams that it acknowledged.

A majority of the control processes stores a group before the first event of its
first stream reaches a caller, and an entry asks a majority before it resumes an
unknown stream; the two have a control process in common. One that has restarted
has what it stored on its disk. Without it (the disk is new, or was written by
an earlier version) it must not take part in an answer before the others have
told it what it had stored.
"""

import dataclasses

from cardamombarrow.resumption import open_streams

__all__ = ["ENTRIES_WAIT_S", "STORING_S", "Recovery", "Word"]

STORING_S = 1.2
"""Time after its start in which others may still store what it acknowledged
before: above `open_streams_rounds.TIMEOUT_S`."""

ENTRIES_WAIT_S = 4.0
"""Time after its start in which entries reconnect and report their streams."""


@dataclasses.dataclass(frozen=True)
class Word:
    """An answer of another control process, whose streams have been merged.

    Attributes:
        source: The other control process.
        asked_s: When it was asked.
        knows_all: Whether it has all that it ever acknowledged.
    """

    source: str
    asked_s: float
    knows_all: bool


class Recovery:
    """What a control process has been told since its start."""

    def __init__(
        self, started_s: float, *, founds: bool, is_complete: bool = False
    ):
        """Begins a recovery.

        Args:
            started_s: When the process started.
            founds: Whether it is the first start of any process, or a founding
                process has lost its disk.
            is_complete: Whether the disk has all that was ever acknowledged.
        """
        self._started_s = started_s
        self._founds = founds
        self._is_complete = is_complete
        self._words: dict[str, Word] = {}
        self._entry_knows_all = False

    def add(self, word: Word) -> None:
        """Records an answer of another control process."""
        if word.knows_all and not self._is_complete:
            # Nobody knows anything before the first process has started.
            self._founds = False
        known = self._words.get(word.source)
        is_kept = known is not None and known.knows_all and not word.knows_all
        if word.asked_s >= self._started_s + STORING_S and not is_kept:
            self._words[word.source] = word

    def add_entry(self) -> None:
        """Records that an entry has reported all open streams."""
        self._entry_knows_all = True

    def is_complete(self, now_s: float, control_count: int) -> bool:
        """Returns whether all that was ever acknowledged is known.

        Args:
            now_s: The local time.
            control_count: Number of control processes; 0 if it is not known.
        """
        # A process that joins hears the leader before it has the membership.
        if not self._is_complete and control_count > 0:
            age_s = now_s - self._started_s
            # A majority of `n` that includes this process has `n // 2` of the
            # others. Any `n - n // 2` others include one of these.
            needed = control_count - control_count // 2
            knowing = sum(word.knows_all for word in self._words.values())
            self._is_complete = (
                age_s >= open_streams.LONGEST_STREAM_S
                or (self._founds and (control_count == 1 or age_s >= STORING_S))
                or knowing >= needed
                or self._told_after_common_restart(
                    age_s, min(needed, control_count - 1)
                )
            )
        return self._is_complete

    def _told_after_common_restart(self, age_s: float, needed: int) -> bool:
        """Returns whether what entries and others have left is all there is.

        Where so many have restarted that nobody can be told by enough others,
        entries in touch have reported their own streams by now.
        """
        if age_s < ENTRIES_WAIT_S:
            return False
        recent = [
            word
            for word in self._words.values()
            if word.knows_all
            or word.asked_s >= self._started_s + ENTRIES_WAIT_S
        ]
        knows_any = any(word.knows_all for word in recent)
        if not (knows_any or self._entry_knows_all):
            return False
        return len(recent) >= needed
