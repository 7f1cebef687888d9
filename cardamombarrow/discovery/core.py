"""Asks for a list of endpoints again and again."""

from collections import abc
import threading

from cardamombarrow.discovery import base
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs

__all__ = ["ListingWatch"]


class ListingWatch(lifecycle.Part):
    """Asks at a fixed interval and hands on what the list says."""

    def __init__(
        self,
        source: base.Source,
        url: str,
        interval_s: float,
        on_listing: abc.Callable[[list[base.Listed]], None],
    ):
        self._source = source
        self._url = url
        self._interval_s = interval_s
        self._on_listing = on_listing
        self._missed = False
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

    def look(self) -> None:
        """Asks once; call it before requests are let in.

        A process that has just started would refuse its first callers for
        want of any endpoint.
        """
        if not self._url:
            return
        try:
            self._on_listing(self._source.fetch(self._url))
            self._tell(None)
        except (errors.EndpointError, ValueError) as error:
            self._tell(str(error))
        except Exception as error:
            # Ended, this thread would leave the process with the list of
            # that moment for good: it would send to endpoints long gone.
            logs.event("list not taken", "ERROR", detail=repr(error))

    def _run(self) -> None:
        while not self._stop.wait(self._interval_s):
            self.look()

    def _tell(self, problem: str | None) -> None:
        """Writes a line when the list is lost or back."""
        if problem is None and self._missed:
            logs.event("list of endpoints back")
        elif problem is not None and not self._missed:
            logs.event("list of endpoints missed", "WARNING", detail=problem)
        self._missed = problem is not None
