"""What a leader knows of each other member."""

import dataclasses

from cardamombarrow.log import messages

__all__ = ["Progress"]


@dataclasses.dataclass
class Progress:
    """How far one member is.

    Attributes:
        next_index: First entry to send next.
        match_index: Last entry known to be synced there.
        heard_s: When it was last heard from.
        probing: Whether the leader still looks for the point where the two
            logs agree; it then sends one message at a time.
        sent_s: When entries were last sent.
        commit_sent: The commit index it was last told.
        snapshot: The snapshot under way to it, or None.
        offset: How much of the snapshot it has.
    """

    next_index: int
    heard_s: float
    match_index: int = 0
    probing: bool = True
    sent_s: float = float("-inf")
    commit_sent: int = 0
    snapshot: messages.Snapshot | None = None
    offset: int = 0
