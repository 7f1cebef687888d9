"""Reads the platform's list over HTTP.

The list lags: an endpoint may have left before the list says so, and one that
is new may not stand in it yet. So the list takes endpoints out of use but
never puts one into use that the document does not name, and its silence
changes nothing.
"""

from collections import abc
import dataclasses
import enum
import json
import threading

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs

__all__ = ["EndpointListing", "ListingState", "ListingWatch", "parse"]

FETCH_TIMEOUT_S = 2.0


class ListingState(enum.Enum):
    """What the platform says of an instance or endpoint."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class EndpointListing:
    """One endpoint in the platform's list."""

    endpoint: ids.EndpointId
    state: ListingState


def parse(body: bytes) -> list[EndpointListing]:
    """Reads the platform's JSON.

    Raises:
        ValueError: It is not the expected JSON.
    """
    try:
        return [
            EndpointListing(
                ids.EndpointId(item["address"]), ListingState(item["state"])
            )
            for item in json.loads(body)["endpoints"]
        ]
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a platform list: {error!r}") from None


class ListingWatch(lifecycle.Part):
    """Asks for the list at a fixed interval and hands it on."""

    def __init__(
        self,
        url: str,
        interval_s: float,
        on_listing: abc.Callable[[list[EndpointListing]], None],
    ):
        self._url = url
        self._interval_s = interval_s
        self._on_listing = on_listing
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

    def _run(self) -> None:
        while True:
            try:
                reply = http_get.fetch(self._url, timeout_s=FETCH_TIMEOUT_S)
                self._on_listing(parse(reply.body))
            except (errors.EndpointError, ValueError) as error:
                logs.event("platform list missed", "WARNING", detail=str(error))
            if self._stop.wait(self._interval_s):
                return
