"""A simulated engine in virtual time, with continuous batching.

One step generates one token for each decoding request. Its length grows with
the batch and with the prompt tokens prefilled in it, so that a larger batch
lowers the token rate per request and raises the total rate.
"""

import collections
from collections import abc
import dataclasses
import enum
import heapq
import itertools

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = [
    "EngineSettings",
    "FakeEngine",
    "StepResult",
    "Work",
    "WorkTime",
]


def _identity(rank: int) -> int:
    return rank


class WorkTime(enum.Enum):
    """What an engine reports as its work time."""

    NONE = "nothing"
    TRUE = "the slowdown at the moment"
    FALSE = "a constant false value"


@dataclasses.dataclass(frozen=True)
class EngineSettings:
    """Performance and faults of an engine.

    Attributes:
        base_step_s: Part of a step that does not depend on the batch.
        step_s_per_sequence: Part of a step per request in the batch.
        prefill_s_per_token: Time to prefill one prompt token.
        prefill_chunk_tokens: Most prompt tokens prefilled in one step.
        batch: Most requests in the batch; others wait in the engine, by rank.
        preempts: Whether more urgent prompts of the batch are prefilled first,
            and not in the order in which they entered it, and a more urgent
            request takes the place of a less urgent one in a full batch.
        priority_of: Returns the priority that the engine gets with a request
            of a rank; it orders requests by it, 0 first.
        cache_tokens: Size of the prefix cache.
        fetch_share: Time to fetch a token's cache from another engine, as a
            part of the time to prefill it.
        report_lag_s: Age of the load in a load report.
        knee: Most running requests that fit into the engine's memory.
        over_knee_step_s: Part of a step per request beyond `knee`, for
            evicting and recomputing its cache.
        slow_from_s: Start of the time in which steps take `slowdown` times
            as long; it ends at `slow_until_s`.
        speed_factor: Factor on the length of every step.
        work_time: What it reports as its work time.
        work_time_until_s: From then on it reports no work time.
        false_work_time: Value that `WorkTime.FALSE` reports.
        fail_from_s: Start of the time in which every request fails after
            `fail_after_s`; it ends at `fail_until_s`.
        pause_s: Pause that it asks for when it fails a request; 0 for none.
        max_requests: Requests that it holds at most; it turns away others and
            asks for `pause_s`.
        restart_s: Time from a crash until the engine serves again.
    """

    base_step_s: float = 0.012
    step_s_per_sequence: float = 0.001
    prefill_s_per_token: float = 0.0001
    prefill_chunk_tokens: int = 512
    batch: int = 8
    preempts: bool = False
    priority_of: abc.Callable[[int], int] = _identity
    cache_tokens: int = 6_000
    fetch_share: float = 0.03
    knee: int = 1_000
    over_knee_step_s: float = 0.0
    report_lag_s: float = 2.0
    slow_from_s: float = float("inf")
    slow_until_s: float = float("inf")
    slowdown: float = 1.0
    speed_factor: float = 1.0
    work_time: WorkTime = WorkTime.NONE
    work_time_until_s: float = float("inf")
    false_work_time: float = 1.0
    fail_from_s: float = float("inf")
    fail_until_s: float = float("inf")
    fail_after_s: float = 0.005
    pause_s: float = 0.0
    max_requests: int = 1_000
    restart_s: float = 3.0

    def cost_s(self, prompt_tokens: float, tokens: float) -> float:
        """Returns the engine time of a request in a full batch."""
        step_s = self.base_step_s + self.step_s_per_sequence * self.batch
        return prompt_tokens * self.prefill_s_per_token + (
            tokens * step_s / self.batch
        )


@dataclasses.dataclass
class Work:
    """A caller's request, with properties that a router cannot know.

    Attributes:
        answer_tokens: Length of the answer.
        prefix_tokens: Length of the prompt prefix that `prefix_key` names.
        parts: Names and lengths of the prompt's parts, if the caller sends
            them; the last one belongs to this request alone.
        sent_s: When the caller sent it last.
        in_time: Whether the first token came within the target.
        answered_s: When the first token came, or None.
        refused_s: When the last answer came, if it was a refusal.
        crashes: Whether an engine that runs the request crashes.
        tries: How often the caller has sent the request.
    """

    class_id: ids.ClassId
    workspace: ids.WorkspaceId
    arrival_s: float
    prompt_tokens: int
    answer_tokens: int
    prefix_key: str
    prefix_tokens: int = 0
    crashes: bool = False
    tries: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    sent_s: float = 0.0
    in_time: bool = False
    answered_s: float | None = None
    refused_s: float | None = None

    @property
    def shared_parts(self) -> tuple[tuple[str, int], ...]:
        """The parts that other requests may also contain."""
        if self.parts:
            return self.parts[:-1]
        if not self.prefix_tokens:
            return ()
        return ((self.prefix_key, self.prefix_tokens),)


@dataclasses.dataclass
class _Sequence:
    job: messages.Job
    work: Work
    prefill_left: int
    source: "FakeEngine | None" = None
    tokens: int = 0


@dataclasses.dataclass
class StepResult:
    """First tokens, progress and finished requests of one step."""

    first: list[ids.RequestId] = dataclasses.field(default_factory=list)
    progress: list[tuple[ids.RequestId, int]] = dataclasses.field(
        default_factory=list
    )
    finished: list[ids.RequestId] = dataclasses.field(default_factory=list)


class FakeEngine:
    """One simulated engine."""

    def __init__(self, settings: EngineSettings):
        self.settings = settings
        self.down_until_s = 0.0
        self.stepping = False
        self.prompt_tokens_total = 0
        self.prompt_tokens_cached = 0
        self.prompt_tokens_fetched = 0
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, _Sequence]] = []
        self._batch: dict[ids.RequestId, _Sequence] = {}
        self._cancelled: set[ids.RequestId] = set()
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._prefilling: dict[ids.RequestId, int] = {}
        self._history: collections.deque[tuple[float, int, int]] = (
            collections.deque(maxlen=400)
        )

    def is_down(self, now_s: float) -> bool:
        """Returns whether the engine refuses connections."""
        return now_s < self.down_until_s

    def is_failing(self, now_s: float) -> bool:
        """Returns whether every request fails after `fail_after_s`."""
        settings = self.settings
        held = len(self._waiting) + len(self._batch)
        return (
            settings.fail_from_s <= now_s < settings.fail_until_s
            or held >= settings.max_requests
        )

    def add(
        self,
        job: messages.Job,
        work: Work,
        source: "FakeEngine | None" = None,
    ) -> None:
        """Queues a request; `source` is an engine to fetch its prefix from."""
        sequence = _Sequence(job, work, work.prompt_tokens, source)
        self._push(sequence)

    def _priority(self, sequence: _Sequence) -> int:
        return self.settings.priority_of(sequence.job.rank)

    def _push(self, sequence: _Sequence) -> None:
        item = (self._priority(sequence), next(self._order), sequence)
        heapq.heappush(self._waiting, item)

    def cancel(self, request_id: ids.RequestId) -> None:
        """Drops a request; its place is free from the next step on."""
        if self._batch.pop(request_id, None) is None:
            self._cancelled.add(request_id)

    def crash(self, now_s: float) -> list[ids.RequestId]:
        """Crashes the engine and returns the requests that it held."""
        crashed = [
            *self._batch,
            *(
                item[2].job.request_id
                for item in self._waiting
                if item[2].job.request_id not in self._cancelled
            ),
        ]
        self._batch.clear()
        self._waiting.clear()
        self._cache.clear()
        self._prefilling.clear()
        self.down_until_s = now_s + self.settings.restart_s
        return crashed

    def begin_step(self, now_s: float) -> float | None:
        """Starts a step; returns its length in seconds, None if idle."""
        self._admit()
        if not self._batch:
            return None
        settings = self.settings
        chunk_left = settings.prefill_chunk_tokens
        self._prefilling.clear()
        for request_id, sequence in self._prefill_order():
            if sequence.prefill_left and chunk_left:
                chunk = min(chunk_left, sequence.prefill_left)
                self._prefilling[request_id] = chunk
                chunk_left -= chunk
        length_s = (
            settings.base_step_s
            + settings.step_s_per_sequence * len(self._batch)
            + settings.prefill_s_per_token * sum(self._prefilling.values())
            + settings.over_knee_step_s
            * max(0, len(self._batch) - settings.knee)
        )
        length_s *= settings.speed_factor
        if settings.slow_from_s <= now_s < settings.slow_until_s:
            length_s *= settings.slowdown
        return length_s

    def _prefill_order(self) -> list[tuple[ids.RequestId, _Sequence]]:
        order = list(self._batch.items())
        if self.settings.preempts:
            order.sort(key=lambda item: self._priority(item[1]))
        return order

    def _admit(self) -> None:
        while self._waiting and self._has_place(self._waiting[0][0]):
            sequence = heapq.heappop(self._waiting)[2]
            request_id = sequence.job.request_id
            if request_id in self._cancelled:
                self._cancelled.discard(request_id)
                continue
            self._begin(sequence)
            self._batch[request_id] = sequence

    def _has_place(self, priority: int) -> bool:
        """Returns whether a request of a priority may enter the batch.

        If the batch is full, that of the least urgent request in it is
        vacated, preferably of one without tokens; it is prefilled again.
        """
        if len(self._batch) < self.settings.batch:
            return True
        if not self.settings.preempts:
            return False
        last = max(
            reversed(self._batch.values()),
            key=lambda sequence: (self._priority(sequence), -sequence.tokens),
        )
        if self._priority(last) <= priority:
            return False
        del self._batch[last.job.request_id]
        self._push(last)
        return True

    def _begin(self, sequence: _Sequence) -> None:
        """Splits a prompt into cached, fetched and remaining tokens."""
        work = sequence.work
        cached = self._cached_prefix_tokens(work)
        fetched = 0
        if sequence.source is not None:
            fetched = max(
                sequence.source._cached_prefix_tokens(work) - cached, 0
            )
        self.prompt_tokens_total += work.prompt_tokens
        self.prompt_tokens_cached += cached
        self.prompt_tokens_fetched += fetched
        remaining = work.prompt_tokens - cached - fetched
        transfer = round(fetched * self.settings.fetch_share)
        sequence.prefill_left = max(remaining + transfer, 1)

    def _cached_prefix_tokens(self, work: Work) -> int:
        """Returns the leading tokens of a prompt that are in the cache."""
        tokens = 0
        for name, length in work.shared_parts:
            if name not in self._cache:
                break
            self._cache.move_to_end(name)
            tokens += length
        return tokens

    def will_crash(self) -> bool:
        """Returns whether a request in the batch crashes the engine."""
        return any(s.work.crashes for s in self._batch.values())

    def end_step(self) -> StepResult:
        """Ends the current step."""
        result = StepResult()
        for request_id, sequence in list(self._batch.items()):
            if sequence.prefill_left:
                sequence.prefill_left -= self._prefilling.get(request_id, 0)
                if sequence.prefill_left:
                    continue
                self._cache_prefix(sequence.work)
                if not sequence.tokens:
                    result.first.append(request_id)
            sequence.tokens += 1
            result.progress.append((request_id, sequence.tokens))
            if sequence.tokens >= sequence.work.answer_tokens:
                result.finished.append(request_id)
                del self._batch[request_id]
        return result

    def _cache_prefix(self, work: Work) -> None:
        for name, length in work.shared_parts:
            self._cache[name] = length
            self._cache.move_to_end(name)
        while sum(self._cache.values()) > self.settings.cache_tokens:
            self._cache.popitem(last=False)

    def observe(self, now_s: float) -> None:
        """Records the current load for later reports."""
        self._history.append((now_s, len(self._batch), len(self._waiting)))

    def report(self, now_s: float) -> messages.LoadReport:
        """Returns the load of `report_lag_s` ago."""
        load_at_s = now_s - self.settings.report_lag_s
        history = [item for item in self._history if item[0] <= load_at_s]
        _, running, waiting = (history or [(0.0, 0, 0)])[-1]
        used = running / self.settings.batch
        return messages.LoadReport(
            running, waiting, used, False, now_s, self._work_time_factor(now_s)
        )

    def _work_time_factor(self, now_s: float) -> float | None:
        """Returns the work time that it reports, or None."""
        settings = self.settings
        is_silent = now_s >= settings.work_time_until_s
        if is_silent or settings.work_time is WorkTime.NONE:
            return None
        if settings.work_time is WorkTime.FALSE:
            return settings.false_work_time
        is_slow = settings.slow_from_s <= now_s < settings.slow_until_s
        return settings.slowdown if is_slow else 1.0
