"""The platform's list of servers."""

import json
import typing
from urllib import parse

from cardamombarrow.discovery import base
from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["PlatformList", "read_page"]

FETCH_TIMEOUT_S = 1.5

MAX_PAGES = 200
"""Guards against a list whose next-page tokens never end."""

_NAMES = ("id", "address", "service", "zone", "version")

_STATES = {
    "ready": base.ListedState.LIVE,
    "draining": base.ListedState.LEAVING,
}


def read_page(body: bytes) -> tuple[list[base.ListedEndpoint], str]:
    """Reads one page; entries that can't be read are skipped.

    Returns:
        The servers, and the token of the next page; empty on the last one.

    Raises:
        ValueError: The body is not a page of the list.
    """
    raw = json.loads(body)
    if not isinstance(raw, dict) or not isinstance(raw.get("instances"), list):
        raise ValueError("not a page of the list of servers")
    token = raw.get("nextToken")
    listed = [_entry(item) for item in raw["instances"]]
    return [each for each in listed if each is not None], token or ""


def _entry(item: typing.Any) -> base.ListedEndpoint | None:
    if not isinstance(item, dict):
        return None
    names = [item.get(key) for key in _NAMES]
    state = item.get("state")
    if not all(isinstance(name, str) and name for name in names):
        return None
    if not isinstance(state, str) or state not in _STATES:
        return None
    identity, address, service, zone, software = names
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        return None
    slots = item.get("slots")
    return base.ListedEndpoint(
        ids.endpoint_id(address, identity),
        _STATES[state],
        ids.ServiceId(service),
        ids.DomainId(zone),
        slots if type(slots) is int and slots > 0 else 0,
        item.get("spot") is True,
        ids.SoftwareVersion(software),
    )


@registry.plugin(base.SLOT, "platform")
class PlatformList(base.Source):
    """A list that is fetched page by page."""

    names_endpoints = True

    def fetch(self, url: str) -> list[base.ListedEndpoint]:
        """Reads all pages; see `base.Source`."""
        listed: list[base.ListedEndpoint] = []
        token = ""
        for _ in range(MAX_PAGES):
            query = f"?{parse.urlencode({'pageToken': token})}" if token else ""
            reply = http_get.fetch(url + query, timeout_s=FETCH_TIMEOUT_S)
            if reply.status != 200:
                raise errors.EndpointError(
                    errors.ErrorKind.ENDPOINT_FAILED,
                    f"{url} answered {reply.status}",
                    sent=True,
                )
            page, token = read_page(reply.body)
            listed += page
            if not token:
                return listed
        raise ValueError("the list of servers has too many pages")
