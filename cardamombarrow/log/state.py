"""State shared by the parts of the log's core."""

import dataclasses
import enum
import random

from cardamombarrow.log import entries as entries_module
from cardamombarrow.log import membership
from cardamombarrow.log import messages

__all__ = ["CoreState", "DurableState", "MembershipPolicy", "Role", "Timing"]


class Role(enum.Enum):
    """Roles of a member in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True)
class Timing:
    """Timeouts and intervals of the protocol.

    Attributes:
        heartbeat_s: Interval of an idle leader's heartbeats. Three fit in an
            election timeout, so that the loss of one does not lead to an
            election.
        election_min_s: Minimum election timeout of a follower; also how long
            a leader stays one without contact to a majority. More than three
            round trips between regions (30 ms one way) plus a slow sync.
        election_max_s: Maximum election timeout. Each timeout is drawn at
            random, so that two followers rarely become candidates at once.
        start_delay_s: Time from the start to the first election of the
            voter that sorts first by identity; the other voters start to
            listen in the meantime.
        start_stagger_s: Added for each further voter in that order. Longer than
            an election takes with 30 ms one way, so that voters that start
            together don't split the vote.
        candidate_retry_min_s: Minimum time after which a candidate without a
            majority starts its next election.
        candidate_retry_max_s: Maximum of that time.
        relay_after_s: Time without messages on a direct link after which
            messages are also relayed by a third voter. Well below
            `election_min_s`, so that the loss of one link does not lead to an
            election.
        retry_s: Time after which an uncommitted proposal is sent again.
        join_interval_s: Interval of the join requests of a process that is
            not a member.
    """

    heartbeat_s: float = 0.4
    election_min_s: float = 1.2
    election_max_s: float = 2.2
    start_delay_s: float = 0.1
    start_stagger_s: float = 0.25
    candidate_retry_min_s: float = 0.2
    candidate_retry_max_s: float = 0.8
    relay_after_s: float = 0.9
    retry_s: float = 1.0
    join_interval_s: float = 0.5


@dataclasses.dataclass(frozen=True)
class MembershipPolicy:
    """How the leader changes the membership without an operator.

    The replacement of a lost process may have another address and name, so
    the group cannot know which member it replaces. Every process that requests
    to join is therefore added, and a silent voter is removed once the group
    has more voters than wanted. A removed voter that was only unreachable
    requests to join again.

    Attributes:
        wanted_voters: Number of voters at or below which none is removed,
            however long it is silent; 0 leaves all changes to operators.
        max_members: Maximum number of members.
        remove_after_s: Silence after which a voter above the wanted number is
            removed. Longer than an election, and shorter than the time in
            which the next loss may follow.
        rejoin_after_s: Time without a leader after which a member requests to
            join again, because it may have been removed.
    """

    wanted_voters: int = 0
    max_members: int = 7
    remove_after_s: float = 2.5
    rejoin_after_s: float = 3.0


@dataclasses.dataclass
class DurableState:
    """State that storage restores after a restart."""

    term: int = 0
    vote: membership.VoterId = membership.NO_MEMBER
    entries: entries_module.Entries = dataclasses.field(
        default_factory=entries_module.Entries
    )
    commit_index: int = 0


class CoreState:
    """Term, role, log, links and pending output of one member."""

    def __init__(
        self,
        me: membership.Member,
        durable: DurableState,
        timing: Timing,
        rng: random.Random,
        now_s: float,
        membership_policy: MembershipPolicy | None = None,
    ):
        self.me = me
        self.timing = timing
        self.membership_policy = membership_policy or MembershipPolicy()
        self.rng = rng
        self.now_s = now_s
        self.term = durable.term
        self.vote = durable.vote
        self.log = durable.entries
        self.commit_index = max(self.log.snapshot.index, durable.commit_index)
        self.role = Role.FOLLOWER
        self.leader = membership.NO_MEMBER
        self.leader_contact_s = float("-inf")
        self.redundant = False
        self.output = messages.Output()
        self._direct_s: dict[membership.VoterId, float] = {}
        self._relayed: dict[
            membership.VoterId, tuple[float, membership.VoterId]
        ] = {}
        self._relay_count = 0
        # Where all members start at once, waiting for a whole election timeout
        # only lengthens the outage. Where there is a leader already, the other
        # members refuse the pre-vote.
        self.set_start_timer()

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter in its newest known membership."""
        return self.me.id in self.log.membership.voter_ids

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader of its term."""
        return self.role is Role.LEADER

    def reset_election_timer(self) -> None:
        """Draws a random election timeout."""
        self.election_due_s = self.now_s + self.rng.uniform(
            self.timing.election_min_s, self.timing.election_max_s
        )

    def set_start_timer(self) -> None:
        """Sets the first election time after a start, in order of identity.

        When all voters start at once, random timeouts split the vote in one
        start of three and delay the first election in the others; no request
        is served until a leader is elected. So the voter that sorts first by
        identity starts an election alone, and the others follow in order if
        it is not running.
        """
        timing = self.timing
        voters = sorted(self.log.membership.voter_ids)
        position = voters.index(self.me.id) if self.is_voter else len(voters)
        delay_s = position * timing.start_stagger_s
        self.election_due_s = self.now_s + timing.start_delay_s + delay_s

    def set_candidate_timer(self, lost_rounds: int) -> None:
        """Draws when a candidate without a majority starts a new election.

        Two candidates may split the vote, and then there is no leader until
        one of them tries again. With a whole election timeout as the wait, two
        split votes in a row lasted longer than a voter with a lost disk may
        take to rejoin, and the loss of the next disk cost the majority for
        good. Each lost round doubles the wait, up to that of followers,
        because slow disks and links need longer rounds.

        Args:
            lost_rounds: Consecutive rounds that this candidate has lost.
        """
        timing = self.timing
        factor = 2.0**lost_rounds
        min_s = min(
            factor * timing.candidate_retry_min_s, timing.election_min_s
        )
        max_s = min(
            factor * timing.candidate_retry_max_s, timing.election_max_s
        )
        self.election_due_s = self.now_s + self.rng.uniform(min_s, max_s)

    def set_term(self, term: int, vote: membership.VoterId) -> None:
        """Sets term and vote and adds a write that makes them durable."""
        self.term = term
        self.vote = vote
        self.output.writes.append(messages.VoteWrite(term, vote))

    def follow(self, term: int, leader: membership.VoterId) -> None:
        """Becomes a follower of a known leader, or of none yet."""
        if term > self.term:
            self.set_term(term, membership.NO_MEMBER)
        if self.role is not Role.FOLLOWER or self.leader != leader:
            self.reset_election_timer()
        self.role = Role.FOLLOWER
        self.leader = leader

    def has_live_leader(self) -> bool:
        """Whether there was contact with a leader in `election_min_s`.

        A member with a live leader grants no vote. Otherwise a voter that
        returns from a long partition with a higher term would depose a leader
        that all other members can reach.
        """
        if self.is_leader:
            return True
        silent_s = self.now_s - self.leader_contact_s
        return bool(self.leader) and silent_s < self.timing.election_min_s

    def record_route(self, envelope: messages.Envelope, via: str) -> None:
        """Records whether a message arrived directly or by a relay."""
        source = envelope.source
        if envelope.relayed:
            self._relayed[source] = (self.now_s, membership.VoterId(via))
        else:
            self._direct_s[source] = self.now_s

    def send(
        self, target: membership.VoterId, message: messages.Message
    ) -> None:
        """Sends a message, also by a third voter if the link is silent.

        Without the relay, two voters that only a third one can reach would
        compete for leadership as long as their link is cut, and proposals at
        the one without a link to the leader would be lost.
        """
        self._enqueue(target, target, False, message)
        third = self._choose_relay(target)
        if third is not None:
            self._enqueue(target, third, True, message)

    def _enqueue(
        self,
        target: membership.VoterId,
        hop: membership.VoterId,
        relayed: bool,
        message: messages.Message,
    ) -> None:
        self.output.envelopes.append(
            messages.Envelope(self.me.id, target, hop, relayed, message)
        )

    def _choose_relay(
        self, target: membership.VoterId
    ) -> membership.VoterId | None:
        since_s = self.now_s - self.timing.relay_after_s
        received_s, via = self._relayed.get(target, (float("-inf"), self.me.id))
        if received_s >= since_s and via != self.me.id:
            return via
        if self._direct_s.get(target, float("-inf")) >= since_s:
            return None
        others = [
            member.id
            for member in self.log.membership.members
            if member.id not in (self.me.id, target)
            and self._direct_s.get(member.id, float("-inf")) >= since_s
        ]
        if not others:
            return None
        self._relay_count += 1
        return others[self._relay_count % len(others)]

    def relay(self, envelope: messages.Envelope) -> None:
        """Forwards a relayed message to its target."""
        self.output.envelopes.append(
            dataclasses.replace(envelope, hop=envelope.target)
        )
