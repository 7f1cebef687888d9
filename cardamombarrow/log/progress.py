"""Replication progress of one member, as seen by the leader."""

import dataclasses

from cardamombarrow.log import messages

__all__ = ["Progress"]


@dataclasses.dataclass
class Progress:
    """Replication progress of one member.

    Attributes:
        next_index: First entry to send next.
        match_index: Last entry that it is known to have synced.
        last_contact_s: Time of the last message from it.
        probing: Whether the leader is still searching for the last entry on
            which the two logs agree; it then sends one message at a time.
        sent_s: When entries were last sent.
        sent_commit_index: The last commit index sent to it.
        snapshot: The snapshot being sent to it, or None.
        offset: Bytes of the snapshot that it has acknowledged.
    """

    next_index: int
    last_contact_s: float
    match_index: int = 0
    probing: bool = True
    sent_s: float = float("-inf")
    sent_commit_index: int = 0
    snapshot: messages.Snapshot | None = None
    offset: int = 0
