"""The project's own list format: JSON with addresses and states.

The list lags behind: an endpoint may leave before the list shows it, and a
new endpoint may not be listed yet. The list therefore takes endpoints out of
use but never adds one that the document does not name, and a failed fetch
changes nothing.
"""

import json

from cardamombarrow.discovery import base
from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["JsonList", "parse"]

FETCH_TIMEOUT_S = 2.0


def parse(body: bytes) -> list[base.ListedEndpoint]:
    """Parses the JSON of a list.

    Raises:
        ValueError: The body does not have the expected format.
    """
    try:
        return [
            base.ListedEndpoint(
                ids.EndpointId(item["address"]), base.ListedState(item["state"])
            )
            for item in json.loads(body)["endpoints"]
        ]
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a list of endpoints: {error!r}") from None


@registry.plugin(base.SLOT, "list")
class JsonList(base.Source):
    """A list that is a single JSON document."""

    def fetch(self, url: str) -> list[base.ListedEndpoint]:
        """Reads the whole list; see `base.Source`."""
        return parse(http_get.fetch(url, timeout_s=FETCH_TIMEOUT_S).body)
