"""The order within a tier: deficit round robin, earliest deadline first.

Load pattern: one workspace sends far more than the others. In order of
arrival, its backlog is served before their requests, and the others miss their
targets because of a burst that is not theirs.

Each workspace has a credit of estimated tokens. Each round adds a quantum
times its weight; a served job is charged to it, and a workspace whose credit
is used up is suspended until enough rounds have passed. Among the workspaces
with credit the earliest deadline (arrival plus target of the first token) goes
first, so that the order differs from plain earliest-deadline-first only if a
workspace uses more than its fair share. The difference between the actual and
the estimated length of an answer is charged when it has ended, so that a
workspace with long answers of unknown length is charged for them as well.

The scheme is Shreedhar and Varghese, "Efficient Fair Queuing using Deficit
Round Robin", SIGCOMM 1995, in the variant that charges after service: the
length of a job is not known when it is served. Removing a job costs O(log n) in
the number of workspaces with jobs; idle workspaces cost nothing.

Where the overload controls are enabled, a job that can no longer meet its
target (see `lateness`) goes behind those of its tier that can, in order of
arrival. It is charged to the same credit of its workspace, so that a workspace
gains nothing by being late. In a burst that lasts, late jobs would get nothing
until they are refused; after `IN_TIME_PER_LATE` jobs in time the late one that
arrived first goes next, unless its workspace is suspended.

The quantum follows the mean estimated length in this tier, so that a round is
about one job per workspace; a smaller one only adds rounds, a larger one lets
a hot workspace send several jobs in a row.
"""

from collections import abc
import heapq
import itertools
import math

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["FairQueue"]

FIRST_QUANTUM_TOKENS = 200.0
QUANTUM_WEIGHT = 0.05
"""Weight of one pushed job in the mean length that sets the quantum."""

IN_TIME_PER_LATE = 7
"""Jobs in time that are served in a row while late ones wait."""

DEBT_MAX_ROUNDS = 100
"""Maximum rounds that a workspace is suspended, even for an endless answer."""


IsLate = abc.Callable[[messages.Job], bool]


class _Entry:
    """A queued job in its workspace's heap; `job` is None once removed.

    Attributes:
        is_late: Whether it goes behind the jobs that can be in time.
        due_s: Time by which entries that are equally late are ordered.
    """

    __slots__ = ("due_s", "flow", "is_late", "job", "number", "position")

    def __init__(
        self,
        job: messages.Job,
        flow: "_Flow",
        number: int,
        position: int,
        is_late: bool = False,
    ):
        self.job: messages.Job | None = job
        self.flow = flow
        self.number = number
        self.position = position
        self.is_late = is_late
        self.due_s = job.arrived_s
        if not is_late:
            self.due_s += job.target_first_token_s

    def __lt__(self, other: "_Entry") -> bool:
        return (self.is_late, self.due_s, self.number) < (
            other.is_late,
            other.due_s,
            other.number,
        )


class _Flow:
    """One workspace's jobs.

    Attributes:
        live: Number of jobs in the heap that were not removed.
        taken: Number of jobs that have left, to compute positions.
        ready_round: First round in which the workspace is served again; 0 if
            it was never suspended.
    """

    __slots__ = (
        "credit",
        "heap",
        "live",
        "pushed",
        "ready_round",
        "taken",
        "weight",
        "workspace",
    )

    def __init__(self, workspace: ids.WorkspaceId, credit: float):
        self.workspace = workspace
        self.weight = 1.0
        self.credit = credit
        self.heap: list[_Entry] = []
        self.live = 0
        self.pushed = 0
        self.taken = 0
        self.ready_round = 0

    def head(self) -> _Entry | None:
        """Returns the earliest entry, dropping removed ones before it."""
        while self.heap and self.heap[0].job is None:
            heapq.heappop(self.heap)
        return self.heap[0] if self.heap else None


class FairQueue:
    """The queued jobs of one tier of one service.

    Attributes:
        entries: The queued jobs by id; empty while nothing waits.
        active: Number of workspaces with queued jobs.
        late: Number of queued jobs that are behind those in time.
    """

    def __init__(self):
        self._flows: dict[ids.WorkspaceId, _Flow] = {}
        self.entries: dict[ids.RequestId, _Entry] = {}
        self._eligible: list[_Entry] = []
        self._suspended: list[tuple[int, int, _Flow]] = []
        self._numbers = itertools.count()
        self._round = 0
        self._quantum = FIRST_QUANTUM_TOKENS
        self._is_late: IsLate | None = None
        self._late: list[_Entry] = []
        self._in_time_in_a_row = 0
        self._skips_turn = False
        self.active = 0
        self.late = 0

    def __len__(self) -> int:
        """Counts the queued jobs."""
        return len(self.entries)

    def __contains__(self, request_id: ids.RequestId) -> bool:
        """Returns whether a job is queued here."""
        return request_id in self.entries

    def set_lateness(self, is_late: IsLate | None) -> None:
        """Sets how to examine the jobs that would be next.

        Args:
            is_late: Returns whether a job can no longer meet its target; None
                to put no further jobs behind.
        """
        self._is_late = is_late
        self._skips_turn = False

    def skip_turn(self) -> None:
        """Leaves out the turn of a late job until a job has been taken.

        Without this a late job that fits no free slot would hold up the others.
        """
        self._skips_turn = True

    def jobs(self) -> list[messages.Job]:
        """Returns all queued jobs, in arbitrary order."""
        return [e.job for e in self.entries.values() if e.job is not None]

    def push(self, job: messages.Job, weight: float) -> None:
        """Adds a job of a workspace with the given weight."""
        self._quantum += QUANTUM_WEIGHT * (_cost(job) - self._quantum)
        flow = self._flow(job.workspace)
        flow.weight = max(weight, 1e-3)
        entry = _Entry(job, flow, next(self._numbers), flow.pushed)
        flow.pushed += 1
        flow.live += 1
        self.active += flow.live == 1
        heapq.heappush(flow.heap, entry)
        self.entries[job.request_id] = entry
        if flow.ready_round <= self._round and flow.heap[0] is entry:
            heapq.heappush(self._eligible, entry)

    def remove(self, request_id: ids.RequestId) -> messages.Job | None:
        """Removes a job without serving it."""
        entry = self.entries.pop(request_id, None)
        if entry is None:
            return None
        job = self._detach(entry)
        # The job behind a removed head is not among the eligible ones yet;
        # without this the workspace would never be served again.
        if entry.flow.ready_round <= self._round:
            self._reschedule(entry.flow)
        return job

    def peek(self) -> messages.Job | None:
        """Returns the next job."""
        entry = self._next()
        return None if entry is None else entry.job

    def pop(self) -> messages.Job | None:
        """Removes the next job and charges its workspace for it."""
        entry = self._next()
        if entry is None or entry.job is None:
            return None
        self._count_turn(entry)
        if self._eligible[0] is entry:
            heapq.heappop(self._eligible)
            heapq.heappop(entry.flow.heap)
        del self.entries[entry.job.request_id]
        job = self._detach(entry)
        entry.flow.credit -= _cost(job)
        self._reschedule(entry.flow)
        return job

    def settle(self, job: messages.Job, tokens: int) -> None:
        """Charges a workspace for the error of the length estimate."""
        flow = self._flow(job.workspace)
        flow.credit -= tokens - _cost(job)
        if flow.ready_round <= self._round and (
            flow.credit <= 0.0 or not flow.live
        ):
            self._reschedule(flow)

    def heads(self, most: int) -> list[messages.Job]:
        """Returns the next jobs, in order."""
        hidden = list(itertools.islice(self._hide_all(), most))
        for entry in hidden:
            self.restore(entry)
        return [entry.job for entry in hidden if entry.job is not None]

    def _hide_all(self) -> abc.Iterator[_Entry]:
        while (entry := self.hide()) is not None:
            yield entry

    def hide(self) -> _Entry | None:
        """Hides the next job from `peek` and `pop`; it stays counted."""
        entry = self._next_in_order()
        if entry is not None:
            heapq.heappop(self._eligible)
            heapq.heappop(entry.flow.heap)
            self._push_head(entry.flow)
        return entry

    def restore(self, entry: _Entry) -> None:
        """Undoes `hide`."""
        heapq.heappush(entry.flow.heap, entry)
        if entry.flow.ready_round <= self._round:
            heapq.heappush(self._eligible, entry)

    def position(self, job: messages.Job) -> int:
        """Returns an upper bound on the jobs of this tier before a job."""
        entry = self.entries.get(job.request_id)
        flow = self._flows.get(job.workspace)
        if entry is not None:
            earlier = max(entry.position - entry.flow.taken, 0)
        else:
            earlier = flow.live if flow else 0
        others = self.active - (1 if flow and flow.live else 0)
        queued = len(self.entries) - (1 if entry is not None else 0)
        # While the workspace is suspended, later jobs of others go first.
        rounds_left = max(flow.ready_round - self._round, 0) if flow else 0
        overtaking_jobs = rounds_left * others
        return min(queued, earlier + (earlier + 1) * others) + overtaking_jobs

    def share_ahead(self, job: messages.Job, is_late: bool) -> float:
        """Returns the share of the jobs of this tier before a job, 0 to 1.

        Args:
            job: The job, which need not be queued.
            is_late: Whether it can no longer meet its target.
        """
        most = len(self.entries) - (0 if is_late else self.late)
        return min(self.position(job), most) / max(len(self.entries), 1)

    def longest(self) -> messages.Job | None:
        """Returns the last job of the workspace with the most jobs."""
        if not self.entries:
            return None
        flow = max(self._flows.values(), key=lambda flow: flow.live)
        return max(e for e in flow.heap if e.job is not None).job

    # -- rounds ------------------------------------------------------------

    def _flow(self, workspace: ids.WorkspaceId) -> _Flow:
        flow = self._flows.get(workspace)
        if flow is None:
            flow = _Flow(workspace, self._quantum)
            self._flows[workspace] = flow
        return flow

    def _detach(self, entry: _Entry) -> messages.Job:
        job = entry.job
        assert job is not None
        entry.job = None
        self.late -= entry.is_late
        entry.flow.live -= 1
        entry.flow.taken += 1
        if not entry.flow.live:
            self.active -= 1
        return job

    def _next(self) -> _Entry | None:
        """Returns the late entry whose turn it is, or the next in order."""
        entry = self._next_in_order()
        if entry is None or entry.is_late or self._skips_turn:
            return entry
        return self._late_in_turn() or entry

    def _count_turn(self, taken: _Entry) -> None:
        self._skips_turn = False
        if taken.is_late or not self._late:
            self._in_time_in_a_row = 0
        else:
            self._in_time_in_a_row += 1

    def _late_in_turn(self) -> _Entry | None:
        if self._in_time_in_a_row < IN_TIME_PER_LATE:
            return None
        self._drop_ended_late()
        if not self._late or self._late[0].flow.ready_round > self._round:
            return None
        return self._late[0]

    def _drop_ended_late(self) -> None:
        while self._late and self._late[0].job is None:
            heapq.heappop(self._late)

    def _next_in_order(self) -> _Entry | None:
        """Returns the earliest entry among workspaces with credit."""
        while self.entries:
            while self._eligible:
                entry = self._eligible[0]
                if not self._is_current(entry):
                    heapq.heappop(self._eligible)
                elif self._has_become_late(entry):
                    self._put_behind(entry)
                else:
                    return entry
            if not self._suspended:
                break
            self._round = max(self._round, self._suspended[0][0])
            self._start_round()
        return None

    def _has_become_late(self, entry: _Entry) -> bool:
        if self._is_late is None or entry.is_late or entry.job is None:
            return False
        return self._is_late(entry.job)

    def _put_behind(self, entry: _Entry) -> None:
        """Puts a job behind those that can be in time.

        A new entry replaces the old one, whose place in the heaps may not
        change.
        """
        job, flow = entry.job, entry.flow
        assert job is not None
        entry.job = None
        late = _Entry(job, flow, next(self._numbers), flow.pushed, is_late=True)
        flow.pushed += 1
        flow.taken += 1
        self.late += 1
        self.entries[job.request_id] = late
        heapq.heappush(flow.heap, late)
        self._push_head(flow)
        self._drop_ended_late()
        heapq.heappush(self._late, late)

    def _is_current(self, entry: _Entry) -> bool:
        flow = entry.flow
        return flow.ready_round <= self._round and flow.head() is entry

    def _start_round(self) -> None:
        while self._suspended and self._suspended[0][0] <= self._round:
            _, _, flow = heapq.heappop(self._suspended)
            self._reschedule(flow)

    def _reschedule(self, flow: _Flow) -> None:
        if flow.credit <= 0.0:
            self._suspend(flow)
        elif flow.live:
            self._push_head(flow)
        else:
            # Thousands of idle workspaces take no memory; each starts with
            # a new credit at its next job.
            self._flows.pop(flow.workspace, None)

    def _push_head(self, flow: _Flow) -> None:
        head = flow.head()
        if head is not None:
            heapq.heappush(self._eligible, head)

    def _suspend(self, flow: _Flow) -> None:
        quantum = self._quantum * flow.weight
        rounds = math.floor(-flow.credit / quantum) + 1
        flow.credit += rounds * quantum
        flow.ready_round = self._round + min(rounds, DEBT_MAX_ROUNDS)
        heapq.heappush(
            self._suspended, (flow.ready_round, next(self._numbers), flow)
        )


def _cost(job: messages.Job) -> float:
    return max(job.expected_tokens, 1.0)
