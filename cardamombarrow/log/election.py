"""Leader elections with pre-vote."""

from cardamombarrow.log import membership
from cardamombarrow.log import messages
from cardamombarrow.log import state as state_module

__all__ = ["Election"]

_ROLES = {
    True: state_module.Role.PRE_CANDIDATE,
    False: state_module.Role.CANDIDATE,
}
_CANDIDATE_ROLES = frozenset(_ROLES.values())


class Election:
    """Starts elections after a timeout and answers vote requests."""

    def __init__(self, state: state_module.CoreState):
        self._state = state
        self._granted: set[membership.VoterId] = set()
        self._lost_rounds = 0

    def tick(self) -> bool:
        """Starts an election if it is due; returns whether it is won."""
        state = self._state
        if state.is_leader or not state.is_voter:
            return False
        if state.now_s < state.election_due_s:
            return False
        return self._request_votes(pre=True)

    def _request_votes(self, pre: bool) -> bool:
        """Requests votes, first without raising the term (pre-vote).

        A voter that cannot win must not raise its term: with the higher term
        it would depose the leader as soon as it can reach it again.
        """
        state = self._state
        if pre:
            self._lost_rounds = (
                self._lost_rounds + 1 if state.role in _CANDIDATE_ROLES else 0
            )
        state.role = _ROLES[pre]
        state.leader = membership.NO_MEMBER
        state.set_candidate_timer(self._lost_rounds)
        if not pre:
            state.set_term(state.term + 1, state.me.id)
        self._granted = {state.me.id}
        term = state.term + 1 if pre else state.term
        request = messages.VoteRequest(
            term, pre, state.log.last_index, state.log.last_term
        )
        for voter in sorted(state.log.membership.voter_ids - {state.me.id}):
            state.send(voter, request)
        return self._check_majority(pre)

    def _check_majority(self, pre: bool) -> bool:
        if not self._state.log.membership.is_majority(self._granted):
            return False
        return self._request_votes(pre=False) if pre else True

    def on_request(
        self, source: membership.VoterId, request: messages.VoteRequest
    ) -> None:
        """Answers a request for a vote or a pre-vote.

        A member that is not a voter in its own membership answers too: it may
        be one in the candidate's newer membership, and its vote is durable.
        """
        state = self._state
        has_other_leader = state.has_live_leader() and source != state.leader
        if has_other_leader:
            self._reply(source, request, granted=False)
            return
        if request.term > state.term and not request.pre:
            state.follow(request.term, membership.NO_MEMBER)
        granted = self._may_grant(source, request)
        if granted and not request.pre:
            state.set_term(request.term, source)
            state.reset_election_timer()
        self._reply(source, request, granted)

    def _may_grant(
        self, source: membership.VoterId, request: messages.VoteRequest
    ) -> bool:
        state = self._state
        candidate_log = (request.last_term, request.last_index)
        if candidate_log < (state.log.last_term, state.log.last_index):
            return False
        if request.pre:
            return request.term > state.term
        return request.term == state.term and state.vote in ("", source)

    def _reply(
        self,
        source: membership.VoterId,
        request: messages.VoteRequest,
        granted: bool,
    ) -> None:
        term = request.term if granted else self._state.term
        self._state.send(source, messages.VoteReply(term, request.pre, granted))

    def on_reply(
        self, source: membership.VoterId, reply: messages.VoteReply
    ) -> bool:
        """Counts a vote; returns whether it wins the election."""
        state = self._state
        if not reply.granted:
            if reply.term > state.term:
                state.follow(reply.term, membership.NO_MEMBER)
            return False
        expected = state.term + 1 if reply.pre else state.term
        if state.role is not _ROLES[reply.pre] or reply.term != expected:
            return False
        self._granted.add(source)
        return self._check_majority(reply.pre)
