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
    """Kinds of log entries and proposals.

    A `BARRIER` changes no state: it is a new leader's no-op, a linearizable
    read, or a refused membership change with the reason as its data.
    A `CHANGE` is only proposed: the leader appends it as a `MEMBERSHIP`.
    """

    COMMAND = "command"
    BARRIER = "barrier"
    MEMBERSHIP = "membership"
    CHANGE = "change"


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A request to append an entry to the log.

    Attributes:
        proposal: Random 64-bit id, by which the proposer recognizes the
            committed entry.
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
        data: The command, an encoded membership, or the reason of a refusal.
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
        """Total length."""

    @abc.abstractmethod
    def read(self, offset: int, size_bytes: int) -> bytes:
        """Returns up to `size_bytes` bytes from `offset` on."""


class MemoryData(SnapshotData):
    """A snapshot's bytes in memory."""

    def __init__(self, data: bytes):
        self._data = data

    @property
    def size_bytes(self) -> int:
        """Total length."""
        return len(self._data)

    def read(self, offset: int, size_bytes: int) -> bytes:
        """Returns up to `size_bytes` bytes from `offset` on."""
        return self._data[offset : offset + size_bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after entry `index`; replaces all entries up to it."""

    index: int
    term: int
    membership: membership_module.Membership
    data: SnapshotData


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests a vote or, with `pre`, a pre-vote."""

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
        redundant: Whether the group would keep its majority after the loss of
            another voter, as seen by the leader.
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
        index: On success the last synced index that matches the leader's log;
            otherwise the index after which the leader should continue.
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
    """Answers a `SnapshotChunk` with the amount received so far."""

    term: int
    index: int
    next_offset: int
    done: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Proposals that a member forwards to the leader."""

    term: int
    proposals: tuple[Proposal, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequest:
    """Sent by a process that requests to become a member."""

    term: int
    member: membership_module.Member


@dataclasses.dataclass(frozen=True, slots=True)
class JoinReply:
    """Reports the membership as known to the sender."""

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
    """A message with its source and route.

    Attributes:
        source: The member that created the message.
        target: The member that handles it; empty for the process that listens
            at `address`.
        hop: The next receiver: the target, or a third voter that relays the
            message because the direct link is silent.
        relayed: Whether the route includes a third voter.
        address: Where to send it if the target's identity is not known.
    """

    source: membership_module.VoterId
    target: membership_module.VoterId
    hop: membership_module.VoterId
    relayed: bool
    message: Message
    address: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class VoteWrite:
    """Makes term and vote durable."""

    term: int
    vote: membership_module.VoterId


@dataclasses.dataclass(frozen=True, slots=True)
class EntryWrite:
    """Makes entries durable; they replace all from the first one on."""

    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotWrite:
    """Makes a snapshot durable, with the entries after `base_index`.

    Attributes:
        base_index: Index of the last dropped entry.
        entries: All entries that are retained.
    """

    snapshot: Snapshot
    base_index: int
    base_term: int
    entries: tuple[Entry, ...]


Write = VoteWrite | EntryWrite | SnapshotWrite


@dataclasses.dataclass(slots=True)
class Output:
    """Work that the core requests from its caller, in this order.

    All `writes` must be synced before any of `envelopes` is sent and before
    any of `committed` is applied. A vote or an acknowledgement that is lost in
    a crash may allow two leaders in one term, or lose a committed entry.
    """

    writes: list[Write] = dataclasses.field(default_factory=list)
    envelopes: list[Envelope] = dataclasses.field(default_factory=list)
    restore: Snapshot | None = None
    committed: list[Entry] = dataclasses.field(default_factory=list)
