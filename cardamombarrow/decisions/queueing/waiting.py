"""Bookkeeping of waiting jobs: counts, and the times to check them.

The time of the next check of each waiting job is held in a heap; checking all
jobs on each event would cost more than the decisions.
"""

import collections
from collections import abc
import heapq
import itertools

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["WaitingJobs"]

_Timed = tuple[float, int, messages.Job]


class WaitingJobs:
    """The waiting jobs of one instance, and the jobs of each workspace.

    Attributes:
        demand: Jobs that wait or run, by service.
        in_flight: Jobs that wait or run, by workspace.
    """

    def __init__(self):
        self.demand: collections.Counter[ids.ServiceId] = collections.Counter()
        self.in_flight: collections.Counter[ids.WorkspaceId] = (
            collections.Counter()
        )
        self._jobs: dict[ids.RequestId, messages.Job] = {}
        self._checks: list[_Timed] = []
        self._delayed: dict[ids.RequestId, messages.Job] = {}
        self._delay_ends: list[_Timed] = []
        self._service_checks: list[_Timed] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Counts the jobs that wait in the queue."""
        return len(self._jobs)

    def enter(self, job: messages.Job) -> None:
        """Counts an admitted job."""
        self.in_flight[job.workspace] += 1
        self.demand[job.service] += 1

    def leave(self, job: messages.Job) -> None:
        """Uncounts a job that was answered, refused or withdrawn."""
        self._jobs.pop(job.request_id, None)
        self.demand[job.service] -= 1
        self.in_flight[job.workspace] -= 1
        if not self.in_flight[job.workspace]:
            del self.in_flight[job.workspace]

    def add_queued(self, job: messages.Job) -> None:
        """Records that a job is queued."""
        self._jobs[job.request_id] = job

    def remove_queued(self, job: messages.Job) -> None:
        """Records that a job has left the queue for an endpoint."""
        del self._jobs[job.request_id]

    def schedule_check(self, job: messages.Job, next_check_s: float) -> None:
        """Schedules the next check of a waiting job."""
        heapq.heappush(self._checks, (next_check_s, next(self._numbers), job))

    def due_checks(self, now_s: float) -> abc.Iterator[messages.Job]:
        """Yields the jobs that still wait and whose check is due."""
        return filter(self._is_queued, _pop_due(self._checks, now_s))

    def delay(self, job: messages.Job, ready_s: float) -> None:
        """Delays a job before it is queued."""
        self._delayed[job.request_id] = job
        heapq.heappush(self._delay_ends, (ready_s, next(self._numbers), job))

    def remove_delayed(self, request_id: ids.RequestId) -> messages.Job | None:
        """Removes and returns a delayed job, or None."""
        return self._delayed.pop(request_id, None)

    def is_delayed(self, request_id: ids.RequestId) -> bool:
        """Returns whether a job is delayed before it is queued."""
        return request_id in self._delayed

    def delayed(self) -> list[messages.Job]:
        """Returns the delayed jobs."""
        return list(self._delayed.values())

    def due_delayed(self, now_s: float) -> abc.Iterator[messages.Job]:
        """Yields the jobs whose delay has passed."""
        for job in _pop_due(self._delay_ends, now_s):
            if self._delayed.pop(job.request_id, None) is not None:
                yield job

    def schedule_service_check(self, job: messages.Job, when_s: float) -> None:
        """Schedules a check of a job's service, in case it still waits."""
        heapq.heappush(self._service_checks, (when_s, next(self._numbers), job))

    def due_service_checks(self, now_s: float) -> abc.Iterator[messages.Job]:
        """Yields the jobs that still wait and whose service check is due."""
        return filter(self._is_queued, _pop_due(self._service_checks, now_s))

    def next_s(self) -> float | None:
        """Returns the time of the next due event, or None."""
        times = []
        for heap in (self._checks, self._service_checks):
            # A job that has left needs no wake-up.
            while heap and not self._is_queued(heap[0][2]):
                heapq.heappop(heap)
            if heap:
                times.append(heap[0][0])
        if self._delay_ends:
            times.append(self._delay_ends[0][0])
        return min(times, default=None)

    def _is_queued(self, job: messages.Job) -> bool:
        return self._jobs.get(job.request_id) is job


def _pop_due(heap: list[_Timed], now_s: float) -> abc.Iterator[messages.Job]:
    while heap and heap[0][0] <= now_s:
        yield heapq.heappop(heap)[2]
