"""Typed messages, entries and writes of the replicated log's core."""

import abc
import dataclasses
import enum
import typing

from cardamombarrow.log import membership as membership_module

__all__ = [
    "AppendReply",
    "AppendRequest",
    "Entry",
    "EntryKind",
    "EntryWrite",
    "Envelope",
    "Forward",
    "JoinReply",
    "JoinRequest",
    "MemoryData",
    "Message",
    "Output",
    "Proposal",
    "ProposalId",
    "Snapshot",
    "SnapshotChunk",
    "SnapshotData",
    "SnapshotReply",
    "SnapshotWrite",
    "VoteReply",
    "VoteRequest",
    "VoteWrite",
    "Write",
]

ProposalId = typing.NewType("ProposalId", int)


class EntryKind(enum.Enum):
    """What an entry of the log is for.

    A `BARRIER` changes nothing: a new leader's no-op, a linearizable read, or
    the place of a refused membership change, whose reason is its data.
    A `CHANGE` is a proposal only: the leader turns it into a `MEMBERSHIP`.
    """

    COMMAND = "command"
    BARRIER = "barrier"
    MEMBERSHIP = "membership"
    CHANGE = "change"


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """Something that some voter wants in the log.

    Attributes:
        proposal: Random 64-bit id, by which the proposer knows it again.
        data: The command, or an encoded `membership.Change`.
    """

    proposal: ProposalId
    kind: EntryKind
    data: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log.

    Attributes:
        proposal: Id of the proposal, 0 for a leader's no-op.
        data: The command, an encoded membership, or a reason.
    """

    index: int
    term: int
    kind: EntryKind
    proposal: ProposalId = ProposalId(0)
    data: bytes = b""


class SnapshotData(abc.ABC):
    """The bytes of a snapshot, in memory or in a file."""

    @property
    @abc.abstractmethod
    def size_bytes(self) -> int:
        """Length of the whole."""

    @abc.abstractmethod
    def read(self, offset: int, size_bytes: int) -> bytes:
        """Returns up to `size_bytes` bytes from `offset` on."""


class MemoryData(SnapshotData):
    """A snapshot's bytes in memory."""

    def __init__(self, data: bytes):
        self._data = data

    @property
    def size_bytes(self) -> int:
        """Length of the whole."""
        return len(self._data)

    def read(self, offset: int, size_bytes: int) -> bytes:
        """Returns up to `size_bytes` bytes from `offset` on."""
        return self._data[offset : offset + size_bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after the entry `index`, which replaces all up to it."""

    index: int
    term: int
    membership: membership_module.Membership
    data: SnapshotData


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote; with `pre`, whether a vote would be given."""

    term: int
    pre: bool
    last_index: int
    last_term: int


@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """Answers a `VoteRequest`."""

    term: int
    pre: bool
    granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """The leader's entries after `prev_index`, or a heartbeat without any.

    Attributes:
        redundant: Whether the leader sees that one more loss is survived.
    """

    term: int
    prev_index: int
    prev_term: int
    commit_index: int
    entries: tuple[Entry, ...] = ()
    redundant: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """Answers an `AppendRequest`.

    Attributes:
        index: On success the last index known to match the leader's log, and
            synced; otherwise the index after which the leader should go on.
    """

    term: int
    success: bool
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A part of the leader's snapshot."""

    term: int
    index: int
    index_term: int
    membership: membership_module.Membership
    offset: int
    total_bytes: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Answers a `SnapshotChunk`: how much of it is there."""

    term: int
    index: int
    next_offset: int
    done: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Proposals on their way to the leader."""

    term: int
    proposals: tuple[Proposal, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequest:
    """Sent by a process that is in no membership yet."""

    term: int
    member: membership_module.Member


@dataclasses.dataclass(frozen=True, slots=True)
class JoinReply:
    """Says who is a member, as far as the sender knows."""

    term: int
    member: membership_module.Member
    membership: membership_module.Membership


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | Forward
    | JoinRequest
    | JoinReply
)


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message on its way.

    Attributes:
        source: Who wrote the message.
        target: Whom it is for; empty for whoever listens at `address`.
        hop: Whom it is handed to: the target, or a third voter that passes it
            on because the direct link is silent.
        relayed: Whether a third voter is, or was, between the two.
        address: Where to send it, when the target's identity is not known.
    """

    source: membership_module.VoterId
    target: membership_module.VoterId
    hop: membership_module.VoterId
    relayed: bool
    message: Message
    address: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class VoteWrite:
    """Term and vote, to be made durable."""

    term: int
    vote: membership_module.VoterId


@dataclasses.dataclass(frozen=True, slots=True)
class EntryWrite:
    """Entries, to be made durable; they replace all from the first one on."""

    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotWrite:
    """A snapshot to be made durable, and the entries kept after `base`.

    Attributes:
        base_index: The entries that stay follow this one.
        entries: All the entries that stay.
    """

    snapshot: Snapshot
    base_index: int
    base_term: int
    entries: tuple[Entry, ...]


Write = VoteWrite | EntryWrite | SnapshotWrite


@dataclasses.dataclass(slots=True)
class Output:
    """What a step of the core asks for, in this order.

    All `writes` must be synced before any of `envelopes` is sent and before
    any of `committed` is applied: a vote or an acknowledgement that a crash
    can take back may let two leaders win a term, or lose a committed entry.
    """

    writes: list[Write] = dataclasses.field(default_factory=list)
    envelopes: list[Envelope] = dataclasses.field(default_factory=list)
    restore: Snapshot | None = None
    committed: list[Entry] = dataclasses.field(default_factory=list)
