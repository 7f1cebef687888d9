"""Bookkeeping of the jobs that wait: counts, and times to look at them.

The time at which each waiting job must be looked at again stands in a heap;
looking at all of them on each event would cost more than the decisions.
"""

import collections
from collections import abc
import heapq
import itertools

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["Waiting"]

_Timed = tuple[float, int, messages.Job]


class Waiting:
    """The jobs of one instance that wait, and what each workspace holds.

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
        self._looks: list[_Timed] = []
        self._held_back: dict[ids.RequestId, messages.Job] = {}
        self._ready: list[_Timed] = []
        self._alarms: list[_Timed] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Counts the jobs that wait in the queue."""
        return len(self._jobs)

    def enter(self, job: messages.Job) -> None:
        """Counts a job that was let in."""
        self.in_flight[job.workspace] += 1
        self.demand[job.service] += 1

    def leave(self, job: messages.Job) -> None:
        """Ends the count of a job that was answered, refused or withdrawn."""
        self._jobs.pop(job.request_id, None)
        self.demand[job.service] -= 1
        self.in_flight[job.workspace] -= 1
        if not self.in_flight[job.workspace]:
            del self.in_flight[job.workspace]

    def queued(self, job: messages.Job) -> None:
        """Learns that a job stands in the queue."""
        self._jobs[job.request_id] = job

    def placed(self, job: messages.Job) -> None:
        """Learns that a job has left the queue for an endpoint."""
        del self._jobs[job.request_id]

    def look_at(self, job: messages.Job, look_s: float) -> None:
        """Sets when a waiting job is looked at next."""
        heapq.heappush(self._looks, (look_s, next(self._numbers), job))

    def due_looks(self, now_s: float) -> abc.Iterator[messages.Job]:
        """Yields the jobs that still wait and whose time has come."""
        while self._looks and self._looks[0][0] <= now_s:
            job = heapq.heappop(self._looks)[2]
            if self._waits(job):
                yield job

    def hold_back(self, job: messages.Job, ready_s: float) -> None:
        """Keeps a job out of the queue until a moment."""
        self._held_back[job.request_id] = job
        heapq.heappush(self._ready, (ready_s, next(self._numbers), job))

    def release(self, request_id: ids.RequestId) -> messages.Job | None:
        """Takes out a job that is held back."""
        return self._held_back.pop(request_id, None)

    def due_back(self, now_s: float) -> abc.Iterator[messages.Job]:
        """Yields the jobs that are held back no longer."""
        while self._ready and self._ready[0][0] <= now_s:
            job = heapq.heappop(self._ready)[2]
            if self._held_back.pop(job.request_id, None) is not None:
                yield job

    def alarm(self, job: messages.Job, when_s: float) -> None:
        """Sets when a job's service is looked at if it still waits."""
        heapq.heappush(self._alarms, (when_s, next(self._numbers), job))

    def due_alarms(self, now_s: float) -> abc.Iterator[messages.Job]:
        """Yields the jobs that still wait at the time that was set."""
        while self._alarms and self._alarms[0][0] <= now_s:
            job = heapq.heappop(self._alarms)[2]
            if self._waits(job):
                yield job

    def next_s(self) -> float | None:
        """Returns the next moment at which something is due, or None."""
        times = []
        for heap in (self._looks, self._alarms):
            # A job that has left needs no wake-up.
            while heap and not self._waits(heap[0][2]):
                heapq.heappop(heap)
            if heap:
                times.append(heap[0][0])
        if self._ready:
            times.append(self._ready[0][0])
        return min(times, default=None)

    def _waits(self, job: messages.Job) -> bool:
        return self._jobs.get(job.request_id) is job
