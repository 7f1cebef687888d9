"""Founding a group, and joining one with an empty data folder."""

from collections import abc

from cardamombarrow.log import membership as membership_module
from cardamombarrow.log import messages
from cardamombarrow.log import proposals as proposals_module
from cardamombarrow.log import state as state_module

__all__ = ["Joining"]


class Joining:
    """Founds a group, sends join requests and answers them.

    The first process in the settings' list of voters founds the group, but
    only after all others have replied that they belong to none. A process that
    lost its folder gets replies from an existing group and joins it as a
    learner, so it cannot found a second one.
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
        self._next_request_s = 0.0
        self._ungrouped: dict[str, membership_module.Member] = {}
        self.applicants: dict[str, membership_module.Member] = {}

    @property
    def is_outside(self) -> bool:
        """Whether this process belongs to no group yet."""
        return not self._state.log.membership.members

    @property
    def next_request_s(self) -> float:
        """Time of the next join request."""
        return self._next_request_s

    def tick(self) -> None:
        """Founds the group or sends join requests, if due."""
        state = self._state
        if state.now_s < self._next_request_s:
            return
        if not self.is_outside:
            self._request_rejoin()
            return
        self._next_request_s = state.now_s + state.timing.join_interval_s
        if self._is_founder and len(self._ungrouped) == len(self._contacts):
            self._found_group()
            return
        self._send_requests(self._contacts)

    def _request_rejoin(self) -> None:
        """Requests to join again after a long time without a leader.

        A member that was unreachable may have been removed in the meantime.
        The group sends no more messages to it, so it would wait forever.
        """
        state = self._state
        self._next_request_s = state.now_s + 2 * state.timing.join_interval_s
        silent_s = state.now_s - state.leader_contact_s
        if not state.membership_policy.wanted_voters or state.is_leader:
            return
        if silent_s < state.membership_policy.rejoin_after_s:
            return
        known = [m for m in state.log.membership.members if m != state.me]
        addresses = {member.address for member in known}
        remaining = [c for c in self._contacts if c.address not in addresses]
        self._send_requests((*known, *remaining))

    def _send_requests(
        self, contacts: abc.Iterable[membership_module.Member]
    ) -> None:
        state = self._state
        request = messages.JoinRequest(state.term, state.me)
        for contact in contacts:
            state.output.envelopes.append(
                messages.Envelope(
                    state.me.id,
                    membership_module.NO_MEMBER,
                    membership_module.NO_MEMBER,
                    False,
                    request,
                    contact.address,
                )
            )

    def _found_group(self) -> None:
        state = self._state
        if state.log.last_index:
            return
        voters = tuple(sorted((state.me, *self._ungrouped.values())))
        entry = messages.Entry(
            1,
            1,
            messages.EntryKind.MEMBERSHIP,
            data=membership_module.Membership(voters).encode(),
        )
        state.set_term(max(1, state.term), membership_module.NO_MEMBER)
        state.log.append([entry])
        state.output.writes.append(messages.EntryWrite((entry,)))
        state.election_due_s = state.now_s

    def on_request(
        self, source: membership_module.VoterId, request: messages.JoinRequest
    ) -> None:
        """Replies with the membership; adds the applicant if allowed."""
        state = self._state
        membership = state.log.membership
        applicant = request.member
        self._send_reply(applicant)
        if not state.leader or membership.find(applicant.id) is not None:
            return
        if source == applicant.id and not state.is_leader:
            # The leader may be missing in the applicant's settings.
            state.send(state.leader, request)
        wanted = state.membership_policy.wanted_voters
        has_room = wanted and (
            len(membership.members) < state.membership_policy.max_members
        )
        if has_room or any(
            other.automatic or other in membership.voters
            for other in membership.other_identities(applicant)
        ):
            self._add_learner(applicant)
        else:
            self.applicants[membership_module.name_of(applicant.id)] = applicant

    def _send_reply(self, applicant: membership_module.Member) -> None:
        state = self._state
        reply = messages.JoinReply(state.term, state.me, state.log.membership)
        state.output.envelopes.append(
            messages.Envelope(
                state.me.id,
                applicant.id,
                applicant.id,
                False,
                reply,
                applicant.address,
            )
        )

    def _add_learner(self, member: membership_module.Member) -> None:
        """Adds a learner that is promoted once it has caught up."""
        if not self._state.is_leader:
            return
        learner = membership_module.Member(member.id, member.address, True)
        self._proposals.change(
            membership_module.Change(
                membership_module.ChangeKind.ADD_LEARNER, learner
            )
        )

    def on_reply(self, reply: messages.JoinReply) -> None:
        """Records whether another process belongs to a group."""
        name = membership_module.name_of(reply.member.id)
        if reply.membership.members:
            self._is_founder = False
        elif name in {contact.id for contact in self._contacts}:
            self._ungrouped[name] = reply.member
