"""What the parts of the log's core share."""

import dataclasses
import enum
import random

from cardamombarrow.log import entries as entries_module
from cardamombarrow.log import membership
from cardamombarrow.log import messages

__all__ = ["CoreState", "Durable", "Role", "Tending", "Timing"]


class Role(enum.Enum):
    """What a member is doing."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True)
class Timing:
    """Times of the protocol.

    Attributes:
        heartbeat_s: Between two heartbeats of an idle leader. Three fit in an
            election timeout, so that a lost one deposes nobody.
        election_min_s: Least silence after which a follower stands for
            election, and the longest that a leader leads without hearing from
            a majority. Over three round trips between regions (30 ms one way)
            plus a slow sync.
        election_max_s: Greatest such silence; drawn anew each time, so that
            two followers rarely stand at once.
        start_election_s: From a start to the first election of the voter that
            comes first by identity: time for the others to listen.
        start_step_s: How much later each next voter stands: longer than an
            election of the one before takes with 30 ms one way, so that
            voters that start together don't tie.
        first_election_min_s: Least time from a tie to the next election.
        first_election_max_s: Greatest such time.
        relay_after_s: Silence of a direct link after which messages also go
            by way of a third voter; well under `election_min_s`, so that a
            cut of one link deposes nobody.
        retry_s: When a proposal that is not committed is sent again.
        join_s: Between two requests of a process that is in no membership.
    """

    heartbeat_s: float = 0.4
    election_min_s: float = 1.2
    election_max_s: float = 2.2
    start_election_s: float = 0.1
    start_step_s: float = 0.25
    first_election_min_s: float = 0.2
    first_election_max_s: float = 0.8
    relay_after_s: float = 0.9
    retry_s: float = 1.0
    join_s: float = 0.5


@dataclasses.dataclass(frozen=True)
class Tending:
    """How the leader tends the membership without an operator.

    A process that takes the place of a lost one may come with another address
    and name, so that nothing tells whom it replaces. Every process that asks
    is therefore let in, and one that has gone silent is let go as soon as
    there are more voters than wanted without it. One that was only cut off
    asks to be let in again when it is back.

    Attributes:
        wanted_voters: Voters that must stay, however long they are silent;
            with 0 the operators alone change the membership.
        most_members: Nobody more is let in than this.
        gone_after_s: Silence after which a voter above the wanted number is
            let go; longer than an election, shorter than the time that the
            next loss may take.
        rejoin_after_s: Time without a leader after which a member asks
            whether it is still one.
    """

    wanted_voters: int = 0
    most_members: int = 7
    gone_after_s: float = 2.5
    rejoin_after_s: float = 3.0


@dataclasses.dataclass
class Durable:
    """What storage gives back after a restart."""

    term: int = 0
    vote: membership.VoterId = membership.NOBODY
    entries: entries_module.Entries = dataclasses.field(
        default_factory=entries_module.Entries
    )
    commit_index: int = 0


class CoreState:
    """Term, role, log and links of one member, and what a step puts out."""

    def __init__(
        self,
        me: membership.Member,
        durable: Durable,
        timing: Timing,
        rng: random.Random,
        now_s: float,
        tending: Tending | None = None,
    ):
        self.me = me
        self.timing = timing
        self.tending = tending or Tending()
        self.rng = rng
        self.now_s = now_s
        self.term = durable.term
        self.vote = durable.vote
        self.log = durable.entries
        self.commit_index = max(self.log.snapshot.index, durable.commit_index)
        self.role = Role.FOLLOWER
        self.leader = membership.NOBODY
        self.leader_heard_s = float("-inf")
        self.redundant = False
        self.output = messages.Output()
        self._direct_s: dict[membership.VoterId, float] = {}
        self._relayed: dict[
            membership.VoterId, tuple[float, membership.VoterId]
        ] = {}
        self._relay_turn = 0
        # Who has just started has no leader to be loyal to. Where all start
        # at once, waiting a whole election timeout only lengthens the outage;
        # where there is a leader, the others refuse the pre-vote.
        self.set_start_timer()

    @property
    def is_voter(self) -> bool:
        """Whether this member counts for a majority, as far as it knows."""
        return self.me.id in self.log.membership.voter_ids

    @property
    def is_leader(self) -> bool:
        """Whether this member leads its term."""
        return self.role is Role.LEADER

    def reset_election_timer(self) -> None:
        """Draws the next time at which silence leads to an election."""
        self.election_due_s = self.now_s + self.rng.uniform(
            self.timing.election_min_s, self.timing.election_max_s
        )

    def set_start_timer(self) -> None:
        """Sets when this voter stands after its start, by its place.

        Where all start at once, times that are drawn lead to a tie in one
        start of three, and to a first election that comes late in the others;
        nobody is served until it is over. The first voter by identity stands
        at once and alone; the next ones follow where it is gone.
        """
        timing = self.timing
        voters = sorted(self.log.membership.voter_ids)
        place = voters.index(self.me.id) if self.is_voter else len(voters)
        step_s = place * timing.start_step_s
        self.election_due_s = self.now_s + timing.start_election_s + step_s

    def set_candidate_timer(self, lost: int) -> None:
        """Draws when a candidate stands again if it does not win.

        Two that stand at once take each other's votes, and nobody leads until
        one stands again. Waiting a whole election timeout for that, a second
        tie in a row outlasted the time in which a voter that had lost its
        disk must be back in the membership: the next lost disk was then one
        too many for good. Each round that is lost doubles the wait, up to
        that of followers, because slow disks and links need longer rounds.

        Args:
            lost: Rounds that this candidate has lost in a row.
        """
        timing = self.timing
        factor = 2.0**lost
        least_s = min(
            factor * timing.first_election_min_s, timing.election_min_s
        )
        most_s = min(
            factor * timing.first_election_max_s, timing.election_max_s
        )
        self.election_due_s = self.now_s + self.rng.uniform(least_s, most_s)

    def set_term(self, term: int, vote: membership.VoterId) -> None:
        """Sets term and vote, and asks for both to be made durable."""
        self.term = term
        self.vote = vote
        self.output.writes.append(messages.VoteWrite(term, vote))

    def follow(self, term: int, leader: membership.VoterId) -> None:
        """Becomes a follower, of a known leader or of none yet."""
        if term > self.term:
            self.set_term(term, membership.NOBODY)
        if self.role is not Role.FOLLOWER or self.leader != leader:
            self.reset_election_timer()
        self.role = Role.FOLLOWER
        self.leader = leader

    def follows_live_leader(self) -> bool:
        """Whether a leader was heard of within the least election timeout.

        Such a member gives no vote. Otherwise a voter that was cut off for
        long and comes back with a higher term would depose a leader that
        serves everyone else.
        """
        if self.is_leader:
            return True
        silent_s = self.now_s - self.leader_heard_s
        return bool(self.leader) and silent_s < self.timing.election_min_s

    def heard_from(self, envelope: messages.Envelope, via: str) -> None:
        """Notes over which way a message came."""
        source = envelope.source
        if envelope.relayed:
            self._relayed[source] = (self.now_s, membership.VoterId(via))
        else:
            self._direct_s[source] = self.now_s

    def send(
        self, target: membership.VoterId, message: messages.Message
    ) -> None:
        """Sends a message, also over a third voter if the link is silent.

        Two voters whose link is cut while a third sees both would otherwise
        contend for the lead for as long as the cut lasts, and what clients
        hand to the one that cannot reach the leader would be lost.
        """
        self._put(target, target, False, message)
        third = self._relay_for(target)
        if third is not None:
            self._put(target, third, True, message)

    def _put(
        self,
        target: membership.VoterId,
        hop: membership.VoterId,
        relayed: bool,
        message: messages.Message,
    ) -> None:
        self.output.envelopes.append(
            messages.Envelope(self.me.id, target, hop, relayed, message)
        )

    def _relay_for(
        self, target: membership.VoterId
    ) -> membership.VoterId | None:
        fresh_s = self.now_s - self.timing.relay_after_s
        came_s, via = self._relayed.get(target, (float("-inf"), self.me.id))
        if came_s >= fresh_s and via != self.me.id:
            return via
        if self._direct_s.get(target, float("-inf")) >= fresh_s:
            return None
        others = [
            member.id
            for member in self.log.membership.members
            if member.id not in (self.me.id, target)
            and self._direct_s.get(member.id, float("-inf")) >= fresh_s
        ]
        if not others:
            return None
        self._relay_turn += 1
        return others[self._relay_turn % len(others)]

    def pass_on(self, envelope: messages.Envelope) -> None:
        """Hands a message of one member directly to another."""
        self.output.envelopes.append(
            dataclasses.replace(envelope, hop=envelope.target)
        )
