"""Keeps the list of endpoints current, by polling or by gossip.

In each failure domain one entry fetches the list and the others receive it by
gossip; an entry fetches it itself once its copy is too old. The number of
fetches therefore does not grow with the number of entries, and losing the
fetching entry or the gossip delays the list by at most the maximum age.
"""

import collections
from collections import abc
import dataclasses
import threading

from cardamombarrow.discovery import base
from cardamombarrow.kernel import background
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import left_out
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs

__all__ = ["ListingSchedule", "ListingWatch"]

CHECKS_PER_INTERVAL = 6

MIN_NEWER_S = 0.5
"""A received list counts as newer if it was fetched this much later than the
own one: entries that fetch at the same moment need not inform each other."""

STALE_FACTOR = 2.0
"""Maximum age of a list in intervals, unless a bound is set."""

BOUND_SHARE = 0.8
"""Maximum age of a list as a share of the bound by which all entries have to
stop sending to a leaving endpoint; the rest is left for fetching and gossip."""


@dataclasses.dataclass(frozen=True)
class ListingSchedule:
    """How often a list is fetched.

    Attributes:
        interval_s: Time between two fetches by a domain's reader.
        max_age_s: Age at which any entry fetches it itself.
    """

    interval_s: float
    max_age_s: float

    @classmethod
    def within(cls, interval_s: float, bound_s: float) -> "ListingSchedule":
        """Returns a schedule that satisfies a bound.

        Args:
            interval_s: The preferred interval.
            bound_s: Time within which all entries must know that an endpoint
                leaves; 0 for no bound.
        """
        if bound_s <= 0.0:
            return cls(interval_s, STALE_FACTOR * interval_s)
        max_age_s = BOUND_SHARE * bound_s
        return cls(min(interval_s, max_age_s / STALE_FACTOR), max_age_s)


MAX_LOGGED_REASONS = 10

OnListing = abc.Callable[[list[base.ListedEndpoint]], None]


class ListingWatch(lifecycle.Part):
    """Fetches a list when it is due and passes it to a callback."""

    def __init__(
        self,
        source: base.Source,
        url: str,
        schedule: ListingSchedule,
        on_listing: OnListing,
        time_source: clock.Clock,
        is_reader: abc.Callable[[], bool] = lambda: True,
    ):
        """Creates the watch.

        Args:
            source: The source of the list.
            url: URL of the list; empty for none.
            schedule: How often the list is fetched, and how old it may be.
            on_listing: Called with each newer list.
            time_source: The clock.
            is_reader: Returns whether this entry fetches the list for its
                domain.
        """
        self._source = source
        self._url = url
        self._schedule = schedule
        self._on_listing = on_listing
        self._clock = time_source
        self._is_reader = is_reader
        self._unavailable = False
        self._left_out: collections.Counter[str] = collections.Counter()
        self._lock = threading.Lock()
        self._read_s = float("-inf")
        self._last_fetched: tuple[str, float] | None = None
        self._stop = threading.Event()
        self._thread = background.supervised_thread(self._run, "listing")

    def start(self) -> None:
        """Starts polling, if a URL is set."""
        if self._url:
            self._thread.start()

    def stop(self) -> None:
        """Stops polling."""
        self._stop.set()
        if self._thread.is_alive():
            self._thread.join()

    @property
    def read_s(self) -> float:
        """When the list in use was fetched; -infinity without one."""
        return self._read_s

    def last_fetched(self) -> tuple[str, float] | None:
        """Returns the list that this entry last fetched itself, and when."""
        return self._last_fetched

    def receive(self, text: str, read_s: float) -> bool:
        """Applies a list that another entry fetched.

        Args:
            text: The list; see `base.to_text`.
            read_s: When it was fetched, by this entry's clock.

        Returns:
            Whether the list is newer than the own one.
        """
        mistakes: list[str] = []
        try:
            items = base.from_text(text, mistakes.append)
        except ValueError as error:
            logs.event("endpoint list rejected", "ERROR", detail=str(error))
            return False
        self._log_left_out(collections.Counter(mistakes))
        is_newer = read_s - self._read_s > MIN_NEWER_S
        self._apply(items, read_s)
        return is_newer

    def refresh(self) -> None:
        """Fetches the list once.

        Call it before the process accepts requests: without any endpoint it
        would refuse them.
        """
        if not self._url:
            return
        started_s = self._clock.now_s()
        try:
            items = self._source.fetch(self._url)
            self._last_fetched = base.to_text(items), started_s
            self._apply(items, started_s)
            self._log_availability(None)
        except (errors.EndpointError, ValueError) as error:
            self._log_availability(str(error))
        except Exception as error:
            # If the thread ended here, the list would never be updated again
            # and requests would go to endpoints that no longer exist.
            logs.event("endpoint list rejected", "ERROR", detail=repr(error))

    def _apply(self, items: list[base.ListedEndpoint], read_s: float) -> None:
        with self._lock:
            # A list that another entry fetched earlier must not restore an
            # endpoint that has since been listed as leaving.
            if read_s > self._read_s:
                self._read_s = read_s
                self._on_listing(items)

    def _run(self) -> None:
        pause_s = self._schedule.interval_s / CHECKS_PER_INTERVAL
        while not self._stop.wait(pause_s):
            if self._is_due():
                self.refresh()

    def _is_due(self) -> bool:
        now_s = self._clock.now_s()
        if now_s - self._read_s >= self._schedule.max_age_s:
            return True
        own_s = (
            float("-inf")
            if self._last_fetched is None
            else self._last_fetched[1]
        )
        return self._is_reader() and now_s - own_s >= self._schedule.interval_s

    def _log_left_out(self, mistakes: collections.Counter[str]) -> None:
        """Logs the items of a received list that are left out, on changes."""
        left_out.record("received_list", "invalid", mistakes.total())
        if mistakes != self._left_out:
            self._left_out = mistakes
            logs.event(
                "received endpoints left out",
                "WARNING" if mistakes else "INFO",
                reasons=dict(mistakes.most_common(MAX_LOGGED_REASONS)),
                count=mistakes.total(),
            )

    def _log_availability(self, problem: str | None) -> None:
        """Logs when the list becomes unavailable or available again."""
        if problem is None and self._unavailable:
            logs.event("endpoint list available again")
        elif problem is not None and not self._unavailable:
            logs.event("endpoint list unavailable", "WARNING", detail=problem)
        self._unavailable = problem is not None
