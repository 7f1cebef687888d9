"""Members of the group, their changes, and majorities."""

import dataclasses
import enum
import json
import typing

__all__ = [
    "NO_MEMBER",
    "Change",
    "ChangeKind",
    "Member",
    "Membership",
    "VoterId",
    "name_of",
]

VoterId = typing.NewType("VoterId", str)
"""``<name>.<random>``, where the random part is unique to one data folder.

A voter that loses its folder may have granted a vote or acknowledged an entry
of which it has no record. With a new identity it cannot contradict them.
"""


NO_MEMBER = VoterId("")
"""Stands for no member: no known leader, or no vote granted."""


def name_of(voter: VoterId) -> str:
    """Returns the instance's name, the same before and after a lost disk."""
    return voter.rpartition(".")[0] or voter


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Member:
    """A process of the group.

    Attributes:
        address: Where it listens, as ``host:port``.
        automatic: Whether the leader promotes it without an operator once it
            has caught up, as the replacement of a lost voter.
    """

    id: VoterId
    address: str
    automatic: bool = False

    def to_json(self) -> list:
        """Returns the member as plain JSON values."""
        return [self.id, self.address, self.automatic]

    @classmethod
    def from_json(cls, raw: list) -> "Member":
        """Reads what `to_json` wrote."""
        return cls(VoterId(raw[0]), raw[1], raw[2])


class ChangeKind(enum.Enum):
    """Kinds of membership changes."""

    ADD_LEARNER = "add-learner"
    PROMOTE = "promote"
    REMOVE = "remove"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of one member."""

    kind: ChangeKind
    member: Member

    def encode(self) -> bytes:
        """Returns the change as JSON."""
        return json.dumps([self.kind.value, self.member.to_json()]).encode()

    @classmethod
    def decode(cls, raw: bytes) -> "Change":
        """Reads what `encode` wrote."""
        kind, member = json.loads(raw)
        return cls(ChangeKind(kind), Member.from_json(member))


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """Voters, who count for a majority, and learners, who do not."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def members(self) -> tuple[Member, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    @property
    def voter_ids(self) -> frozenset[VoterId]:
        """Identities of the voters."""
        return frozenset(member.id for member in self.voters)

    @property
    def quorum(self) -> int:
        """The least number of voters that is a majority."""
        return len(self.voters) // 2 + 1

    def find(self, voter: VoterId) -> Member | None:
        """Returns the member with this identity, or None."""
        for member in self.members:
            if member.id == voter:
                return member
        return None

    def other_identities(self, member: Member) -> list[Member]:
        """Returns the other identities of a member's instance."""
        name = name_of(member.id)
        return [
            other
            for other in self.members
            if other != member and name_of(other.id) == name
        ]

    def is_majority(self, voters: typing.Iterable[VoterId]) -> bool:
        """Whether these identities include a majority of the voters."""
        return len(self.voter_ids.intersection(voters)) >= self.quorum

    def after(self, change: Change) -> "Membership":
        """Returns the membership after one change.

        Raises:
            ValueError: The change is not possible; the message says why.
        """
        member = change.member
        known = self.find(member.id)
        if change.kind is ChangeKind.ADD_LEARNER:
            if known is not None:
                raise ValueError(f"{member.id} is already a member")
            return Membership(self.voters, (*self.learners, member))
        if known is None:
            raise ValueError(f"{member.id} is not a member")
        voters = tuple(m for m in self.voters if m.id != member.id)
        learners = tuple(m for m in self.learners if m.id != member.id)
        if change.kind is ChangeKind.REMOVE:
            if not voters:
                raise ValueError("the last voter cannot be removed")
            return Membership(voters, learners)
        if known in self.voters:
            raise ValueError(f"{member.id} is already a voter")
        return Membership((*voters, known), learners)

    def encode(self) -> bytes:
        """Returns the membership as JSON."""
        return json.dumps(
            [
                [member.to_json() for member in self.voters],
                [member.to_json() for member in self.learners],
            ]
        ).encode()

    @classmethod
    def decode(cls, raw: bytes) -> "Membership":
        """Reads what `encode` wrote."""
        voters, learners = (
            tuple(Member.from_json(member) for member in group)
            for group in json.loads(raw)
        )
        return cls(voters, learners)
