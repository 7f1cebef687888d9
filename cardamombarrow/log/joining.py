"""How a process with an empty data folder comes into a group."""

from collections import abc

from cardamombarrow.log import membership as membership_module
from cardamombarrow.log import messages
from cardamombarrow.log import proposals as proposals_module
from cardamombarrow.log import state as state_module

__all__ = ["Joining"]


class Joining:
    """Founds a group, asks to be let in, and answers those who ask.

    The process that stands first in the settings' list of voters founds the
    group, and only after every other one has said that it belongs to none. A
    process whose folder was lost is told of a group and joins it as a
    learner; it cannot found a second one.
    """

    def __init__(
        self,
        state: state_module.CoreState,
        proposals: proposals_module.Proposals,
        contacts: tuple[membership_module.Member, ...],
        is_founder: bool,
    ):
        self._state = state
        self._proposals = proposals
        self._contacts = contacts
        self._is_founder = is_founder
        self._due_s = 0.0
        self._fresh: dict[str, membership_module.Member] = {}
        self.applicants: dict[str, membership_module.Member] = {}

    @property
    def is_outside(self) -> bool:
        """Whether this process knows of no group that it belongs to."""
        return not self._state.log.membership.members

    @property
    def due_s(self) -> float:
        """When it asks again."""
        return self._due_s

    def tick(self) -> None:
        """Asks those of the settings' list to be let in, or founds."""
        state = self._state
        if state.now_s < self._due_s:
            return
        if not self.is_outside:
            self._ask_again()
            return
        self._due_s = state.now_s + state.timing.join_s
        if self._is_founder and len(self._fresh) == len(self._contacts):
            self._found()
            return
        self._ask(self._contacts)

    def _ask_again(self) -> None:
        """Asks the others to be let in, where no leader has been heard.

        A member that was cut off may have been let go meanwhile. Nobody sends
        to it any more, so that it would wait for ever.
        """
        state = self._state
        self._due_s = state.now_s + 2 * state.timing.join_s
        silent_s = state.now_s - state.leader_heard_s
        if not state.tending.wanted_voters or state.is_leader:
            return
        if silent_s < state.tending.rejoin_after_s:
            return
        known = [m for m in state.log.membership.members if m != state.me]
        addresses = {member.address for member in known}
        more = [c for c in self._contacts if c.address not in addresses]
        self._ask((*known, *more))

    def _ask(self, contacts: abc.Iterable[membership_module.Member]) -> None:
        state = self._state
        request = messages.JoinRequest(state.term, state.me)
        for contact in contacts:
            state.output.envelopes.append(
                messages.Envelope(
                    state.me.id,
                    membership_module.NOBODY,
                    membership_module.NOBODY,
                    False,
                    request,
                    contact.address,
                )
            )

    def _found(self) -> None:
        state = self._state
        if state.log.last_index:
            return
        voters = tuple(sorted((state.me, *self._fresh.values())))
        entry = messages.Entry(
            1,
            1,
            messages.EntryKind.MEMBERSHIP,
            data=membership_module.Membership(voters).encode(),
        )
        state.set_term(max(1, state.term), membership_module.NOBODY)
        state.log.append([entry])
        state.output.writes.append(messages.EntryWrite((entry,)))
        state.election_due_s = state.now_s

    def on_request(
        self, source: membership_module.VoterId, request: messages.JoinRequest
    ) -> None:
        """Answers who is a member; lets a former voter's name in again."""
        state = self._state
        membership = state.log.membership
        joiner = request.member
        self._reply_to(joiner)
        if not state.leader or membership.find(joiner.id) is not None:
            return
        if source == joiner.id and not state.is_leader:
            # The leader may not stand in the joiner's settings.
            state.send(state.leader, request)
        wanted = state.tending.wanted_voters
        wants_more = wanted and (
            len(membership.members) < state.tending.most_members
        )
        if wants_more or any(
            other.automatic or other in membership.voters
            for other in membership.others_named_as(joiner)
        ):
            self._let_in(joiner)
        else:
            self.applicants[membership_module.name_of(joiner.id)] = joiner

    def _reply_to(self, joiner: membership_module.Member) -> None:
        state = self._state
        reply = messages.JoinReply(state.term, state.me, state.log.membership)
        state.output.envelopes.append(
            messages.Envelope(
                state.me.id, joiner.id, joiner.id, False, reply, joiner.address
            )
        )

    def _let_in(self, member: membership_module.Member) -> None:
        """Makes it a learner that becomes a voter once it has caught up."""
        if not self._state.is_leader:
            return
        learner = membership_module.Member(member.id, member.address, True)
        self._proposals.change(
            membership_module.Change(
                membership_module.ChangeKind.ADD_LEARNER, learner
            )
        )

    def on_reply(self, reply: messages.JoinReply) -> None:
        """Notes that another process belongs to no group, or to one."""
        name = membership_module.name_of(reply.member.id)
        if reply.membership.members:
            self._is_founder = False
        elif name in {contact.id for contact in self._contacts}:
            self._fresh[name] = reply.member
