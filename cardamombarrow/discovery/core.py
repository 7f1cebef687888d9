"""Asks for a list of endpoints again and again, or hears it from others.

In a domain one entry reads the list and the others hear of it by gossip; an
entry reads it itself as soon as what it knows has grown old. So the number of
readings does not grow with the entries, and the loss of the reader, or of the
gossip, costs no more than the greatest age that is set.
"""

from collections import abc
import dataclasses
import threading

from cardamombarrow.discovery import base
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs

__all__ = ["ListingTimes", "ListingWatch"]

LOOKS_PER_INTERVAL = 6

NEWS_S = 0.5
"""A reading is news to the others if it is younger by this than what they
know: entries that read at the same moment need not tell each other."""

STALE_FACTOR = 2.0
"""Intervals after which a list counts as old where nothing else is set."""

BOUND_SHARE = 0.8
"""Part of the time within which no entry may send to a leaving endpoint any
more that a list may be old; the rest is for a reading and the way."""


@dataclasses.dataclass(frozen=True)
class ListingTimes:
    """How often a list is read.

    Attributes:
        interval_s: Between two readings of a domain's reader.
        most_age_s: Age at which any entry reads it itself.
    """

    interval_s: float
    most_age_s: float

    @classmethod
    def within(cls, interval_s: float, bound_s: float) -> "ListingTimes":
        """Returns the times that keep a bound.

        Args:
            interval_s: The interval that is wished for.
            bound_s: Time within which the word that an endpoint leaves must
                be with all entries; 0 sets none.
        """
        if bound_s <= 0.0:
            return cls(interval_s, STALE_FACTOR * interval_s)
        most_age_s = BOUND_SHARE * bound_s
        return cls(min(interval_s, most_age_s / STALE_FACTOR), most_age_s)


OnListing = abc.Callable[[list[base.Listed]], None]


class ListingWatch(lifecycle.Part):
    """Reads a list when it is due and hands on what it says."""

    def __init__(
        self,
        source: base.Source,
        url: str,
        times: ListingTimes,
        on_listing: OnListing,
        time_source: clock.Clock,
        is_reader: abc.Callable[[], bool] = lambda: True,
    ):
        """Builds the part.

        Args:
            source: The kind of list.
            url: Where it is; empty for none.
            times: How often it is read, and how old it may be.
            on_listing: Takes the list.
            time_source: The clock.
            is_reader: Tells whether this entry reads it for its domain.
        """
        self._source = source
        self._url = url
        self._times = times
        self._on_listing = on_listing
        self._clock = time_source
        self._is_reader = is_reader
        self._missed = False
        self._lock = threading.Lock()
        self._read_s = float("-inf")
        self._own: tuple[str, float] | None = None
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="listing", daemon=True
        )

    def start(self) -> None:
        """Starts asking, where an address is set."""
        if self._url:
            self._thread.start()

    def stop(self) -> None:
        """Stops asking."""
        self._stop.set()
        if self._thread.is_alive():
            self._thread.join()

    def own(self) -> tuple[str, float] | None:
        """Returns the list that this entry itself read last, and when."""
        return self._own

    def heard(self, text: str, read_s: float) -> bool:
        """Takes a list that another entry read; returns whether it is news.

        Args:
            text: The list; see `base.to_text`.
            read_s: When it was read, by this entry's clock.
        """
        try:
            items = base.from_text(text)
        except ValueError as error:
            logs.event("list not taken", "ERROR", detail=str(error))
            return False
        is_news = read_s - self._read_s > NEWS_S
        self._take(items, read_s)
        return is_news

    def look(self) -> None:
        """Asks once; call it before requests are let in.

        A process that has just started would refuse its first callers for
        want of any endpoint.
        """
        if not self._url:
            return
        asked_s = self._clock.now_s()
        try:
            items = self._source.fetch(self._url)
            self._own = base.to_text(items), asked_s
            self._take(items, asked_s)
            self._tell(None)
        except (errors.EndpointError, ValueError) as error:
            self._tell(str(error))
        except Exception as error:
            # Ended, this thread would leave the process with the list of
            # that moment for good: it would send to endpoints long gone.
            logs.event("list not taken", "ERROR", detail=repr(error))

    def _take(self, items: list[base.Listed], read_s: float) -> None:
        with self._lock:
            # What another entry read earlier must not bring back an endpoint
            # that has been seen to leave since.
            if read_s > self._read_s:
                self._read_s = read_s
                self._on_listing(items)

    def _run(self) -> None:
        pause_s = self._times.interval_s / LOOKS_PER_INTERVAL
        while not self._stop.wait(pause_s):
            if self._is_due():
                self.look()

    def _is_due(self) -> bool:
        now_s = self._clock.now_s()
        if now_s - self._read_s >= self._times.most_age_s:
            return True
        own_s = float("-inf") if self._own is None else self._own[1]
        return self._is_reader() and now_s - own_s >= self._times.interval_s

    def _tell(self, problem: str | None) -> None:
        """Writes a line when the list is lost or back."""
        if problem is None and self._missed:
            logs.event("list of endpoints back")
        elif problem is not None and not self._missed:
            logs.event("list of endpoints missed", "WARNING", detail=problem)
        self._missed = problem is not None
