"""The project's own list format: JSON with addresses and states.

The list lags behind: an endpoint may leave before the list shows it, and a
new endpoint may not be listed yet. The list therefore takes endpoints out of
use but never adds one that the document does not name, and a failed fetch
changes nothing.
"""

import typing

from cardamombarrow.discovery import base
from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import json_text
from cardamombarrow.kernel import left_out
from cardamombarrow.kernel import registry

__all__ = ["JsonList", "parse"]

FETCH_TIMEOUT_S = 2.0


def parse(body: bytes) -> list[base.ListedEndpoint]:
    """Parses the JSON of a list; items that are not valid are left out.

    Raises:
        ValueError: The body does not have the expected format.
    """
    _, items, damaged = json_text.load_array_member(body, "endpoints")
    listed = [each for each in map(_parse_item, items) if each is not None]
    left_out.record("list", "invalid", len(items) - len(listed) + len(damaged))
    return listed


def _parse_item(item: typing.Any) -> base.ListedEndpoint | None:
    """Returns an item, or None if it is not valid."""
    try:
        endpoint, state = item["address"], base.ListedState(item["state"])
    except (KeyError, TypeError, ValueError):
        return None
    if not base.is_endpoint(endpoint):
        return None
    return base.ListedEndpoint(ids.EndpointId(endpoint), state)


@registry.plugin(base.SLOT, "list")
class JsonList(base.Source):
    """A list that is a single JSON document."""

    def fetch(self, url: str) -> list[base.ListedEndpoint]:
        """Reads the whole list; see `base.Source`."""
        reply = http_get.fetch(url, timeout_s=FETCH_TIMEOUT_S)
        if reply.status != 200:
            raise errors.EndpointError(
                errors.ErrorKind.ENDPOINT_FAILED,
                f"{url} answered {reply.status}",
                sent=True,
            )
        return parse(reply.body)
