"""Shared prefixes in their first prefill, and the requests that wait for them.

Load pattern: many requests for few long prefixes while these are cached nowhere
(at startup, after a release, a crash or a scale-in). An engine uses a part from
its cache only if it was completely prefilled there before the request starts,
and another engine can fetch it only then. Without this module every request
that arrives during the first prefill has the prefix prefilled again, on the
same engine or elsewhere, and prefill is the bottleneck just then.

A request whose shared prefix is cached nowhere and is in prefill waits for that
prefill, as long as its own target allows:

- it waits only as long as its whole prompt, and not just the rest, can still be
  prefilled within its target: the first prefill may fail or take longer, and a
  wait must not make an urgent request late;
- it waits only if the prefill is expected to end by then;
- it does not wait for a prefix whose fetch takes as long as its prefill, or
  whose prefill takes less than `MIN_SAVED_S`.

A prefill ends with the first token, the failure or the end of its request. The
end of a prefill releases all requests that wait for the prefix; those that
would prefill it again wait for the first one among them.

A prefill whose end is not reported counts as ended after twice its expected
time. The bound leaves room for an engine that is slower than expected and for
`REPORT_S`; `MAX_PREFILL_S` is the longest limit of a request, so no longer
prefill has a caller. `MAX_PREFILLS` is more than the prompts that may be in
prefill at once at the target size (640 endpoints, most of them with few).
"""

from collections import abc
import dataclasses
import heapq
import zlib

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.choosing import fetching
from cardamombarrow.decisions.choosing import prefill_time as prefill_module
from cardamombarrow.kernel import ids

__all__ = ["MAX_PREFILLS", "MAX_WAITING", "PrefixReads"]

REPORT_S = 0.1
"""Longest usual delay of the report of a first token: two round trips between
regions."""

MAX_PREFILL_S = 10.0
"""Longest prefill that is waited for."""

MIN_SAVED_S = 0.02
"""Prefill time that a wait has to save. The first token arrives a step of the
engine and two messages after the prefill, which take about as long."""

MAX_PREFILLS = 2_048
"""Most prefills stored; the oldest is removed first."""

MAX_WAITING = 8_192
"""Most requests that wait; further ones are placed at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Prefill:
    """One prefill in progress.

    Attributes:
        keys: Keys of the prefixes that it makes available.
        expected_end_s: When its first token is expected.
        latest_end_s: When it counts as ended without a report.
    """

    endpoint: ids.EndpointId
    keys: tuple[int, ...]
    expected_end_s: float
    latest_end_s: float


class PrefixReads:
    """Prefills in progress and the requests that wait; not thread-safe."""

    def __init__(
        self,
        prefill_time: prefill_module.PrefillTime,
        fetch_token_s: abc.Callable[[ids.ServiceId], float | None],
    ):
        """Initializes the state without prefills.

        Args:
            prefill_time: Prefill time per token, by service.
            fetch_token_s: Returns the transfer time per token of a service;
                None if its engines can't fetch.
        """
        self._prefill_time = prefill_time
        self._fetch_token_s = fetch_token_s
        self._prefills: dict[ids.RequestId, _Prefill] = {}
        self._by_key: dict[int, dict[ids.RequestId, _Prefill]] = {}
        self._latest_ends: list[tuple[float, ids.RequestId]] = []
        self._waiting: dict[int, dict[ids.RequestId, None]] = {}
        self._key_waited_for: dict[ids.RequestId, int] = {}
        self._released: list[ids.RequestId] = []

    def __len__(self) -> int:
        """Counts the prefills in progress."""
        return len(self._prefills)

    def begin(
        self,
        job: messages.Job,
        endpoint: ids.EndpointId,
        expected_end_s: float,
        now_s: float,
    ) -> None:
        """Records that an endpoint prefills the shared prefix of a job.

        Args:
            job: The job, which is sent to the endpoint now.
            endpoint: The endpoint.
            expected_end_s: When the job's first token is expected.
            now_s: The time.
        """
        self._expire(now_s)
        self.end(job.request_id)
        self.stop_waiting(job.request_id)
        keys = tuple(key for key, _ in _prefixes(job))
        if not keys:
            return
        # The comparison is false for a value that is not a number.
        took_s = expected_end_s - now_s if expected_end_s > now_s else 0.0
        took_s = min(took_s, MAX_PREFILL_S)
        prefill = _Prefill(
            endpoint, keys, now_s + took_s, now_s + 2.0 * took_s + REPORT_S
        )
        self._prefills[job.request_id] = prefill
        for key in keys:
            self._by_key.setdefault(key, {})[job.request_id] = prefill
        heapq.heappush(
            self._latest_ends, (prefill.latest_end_s, job.request_id)
        )
        if len(self._prefills) > MAX_PREFILLS:
            self.end(next(iter(self._prefills)))

    def end(self, request_id: ids.RequestId) -> bool:
        """Records that a prefill has ended, and releases those that wait.

        Returns:
            Whether the prefill was in progress.
        """
        prefill = self._prefills.pop(request_id, None)
        if prefill is None:
            return False
        for key in prefill.keys:
            of_key = self._by_key[key]
            del of_key[request_id]
            if not of_key:
                del self._by_key[key]
            self._release(key)
        self._compact()
        return True

    def wait_until_s(
        self, job: messages.Job, now_s: float, cached_tokens: int = 0
    ) -> float | None:
        """Returns until when a job waits for a prefill; None to place it now.

        The job counts as waiting until the prefill has ended or
        `stop_waiting` is called.

        Args:
            job: A job that could be placed now.
            now_s: The time.
            cached_tokens: Length of its prefix that an engine has cached.
        """
        self._expire(now_s)
        found = self._longest_in_prefill(job, cached_tokens)
        until_s = None
        if found is not None:
            key, tokens, prefill = found
            if self._is_worth_a_wait(job, tokens - cached_tokens):
                until_s = self._latest_wait_s(job, prefill, now_s)
        if until_s is None:
            self.stop_waiting(job.request_id)
            return None
        return until_s if self._start_waiting(job.request_id, key) else None

    def stop_waiting(self, request_id: ids.RequestId) -> None:
        """Records that a job waits no longer."""
        key = self._key_waited_for.pop(request_id, None)
        if key is not None:
            waiting = self._waiting[key]
            del waiting[request_id]
            if not waiting:
                del self._waiting[key]

    def take_released(self) -> list[ids.RequestId]:
        """Returns and clears the jobs whose prefill has ended."""
        released, self._released = self._released, []
        return released

    def _start_waiting(self, request_id: ids.RequestId, key: int) -> bool:
        if self._key_waited_for.get(request_id) == key:
            return True
        self.stop_waiting(request_id)
        if len(self._key_waited_for) >= MAX_WAITING:
            return False
        self._key_waited_for[request_id] = key
        self._waiting.setdefault(key, {})[request_id] = None
        return True

    def _release(self, key: int) -> None:
        for request_id in self._waiting.pop(key, ()):
            del self._key_waited_for[request_id]
            self._released.append(request_id)
        # Nobody takes them while the dispatcher places nothing.
        del self._released[:-MAX_WAITING]

    def _expire(self, now_s: float) -> None:
        """Ends the prefills whose end was not reported in time."""
        while self._latest_ends and self._latest_ends[0][0] <= now_s:
            latest_end_s, request_id = heapq.heappop(self._latest_ends)
            prefill = self._prefills.get(request_id)
            if prefill is not None and prefill.latest_end_s <= latest_end_s:
                self.end(request_id)

    def _compact(self) -> None:
        """Removes the times of ended prefills once they are the majority."""
        if len(self._latest_ends) > 2 * len(self._prefills) + 16:
            self._latest_ends = [
                (prefill.latest_end_s, request_id)
                for request_id, prefill in self._prefills.items()
            ]
            heapq.heapify(self._latest_ends)

    def _longest_in_prefill(
        self, job: messages.Job, cached_tokens: int
    ) -> tuple[int, int, _Prefill] | None:
        """Returns key, length and earliest prefill of the longest prefix."""
        found = None
        for key, tokens in _prefixes(job):
            prefills = self._by_key.get(key)
            if not prefills:
                break
            if tokens > cached_tokens:
                earliest = min(
                    prefills.values(), key=lambda each: each.expected_end_s
                )
                found = key, tokens, earliest
        return found

    def _is_worth_a_wait(self, job: messages.Job, saved_tokens: int) -> bool:
        saved_s = saved_tokens * self._prefill_time.token_s(job.service)
        fetch_token_s = self._fetch_token_s(job.service) or 0.0
        fetch_s = fetching.LOCAL_START_S + saved_tokens * fetch_token_s
        return saved_s > max(fetch_s, MIN_SAVED_S)

    def _latest_wait_s(
        self, job: messages.Job, prefill: _Prefill, now_s: float
    ) -> float | None:
        """Returns the end of a wait for a prefill; None if there is no time."""
        prompt_s = job.prompt_tokens * self._prefill_time.token_s(job.service)
        latest_s = job.arrived_s + job.target_first_token_s - prompt_s
        if max(prefill.expected_end_s, now_s) >= latest_s:
            return None
        return min(latest_s, prefill.latest_end_s)


def _prefixes(job: messages.Job) -> abc.Iterator[tuple[int, int]]:
    """Yields key and length of each shared prefix, the shortest first."""
    key = 0
    tokens = 0
    for part in job.parts[:-1]:
        key = zlib.crc32(part.part.encode(), key)
        tokens += part.tokens
        yield key, tokens
