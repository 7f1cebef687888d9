"""The project's own kind of list: JSON of addresses and states.

The list lags: an endpoint may have left before the list says so, and one that
is new may not stand in it yet. So the list takes endpoints out of use but
never puts one into use that the document does not name, and its silence
changes nothing.
"""

import json

from cardamombarrow.discovery import base
from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["OwnList", "parse"]

FETCH_TIMEOUT_S = 2.0


def parse(body: bytes) -> list[base.Listed]:
    """Reads the list's JSON.

    Raises:
        ValueError: It is not the expected JSON.
    """
    try:
        return [
            base.Listed(
                ids.EndpointId(item["address"]), base.ListedState(item["state"])
            )
            for item in json.loads(body)["endpoints"]
        ]
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a list of endpoints: {error!r}") from None


@registry.plugin(base.SLOT, "list")
class OwnList(base.Source):
    """One document at one address."""

    def fetch(self, url: str) -> list[base.Listed]:
        """Reads the whole list; see `base.Source`."""
        return parse(http_get.fetch(url, timeout_s=FETCH_TIMEOUT_S).body)
