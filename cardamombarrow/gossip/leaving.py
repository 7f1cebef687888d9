"""Whether an endpoint leaves, from several sources that may lag.

An endpoint gets no new work as soon as one source says that it leaves: the
platform's list, its own report, or another instance that heard it from one
of these. The list lags behind the report and would put the endpoint back into
use, so no source may take back what another one says.
"""

from cardamombarrow.kernel import ids

__all__ = ["LeavingView"]


class LeavingView:
    """Joins what the sources say."""

    def __init__(self):
        self._said: dict[ids.EndpointId, set[str]] = {}

    def tell(
        self, endpoint: ids.EndpointId, source: str, leaving: bool
    ) -> bool | None:
        """Takes one source's word.

        Returns:
            Whether the endpoint leaves, if that changed; else None.
        """
        said = self._said.setdefault(endpoint, set())
        before = bool(said)
        if leaving:
            said.add(source)
        else:
            said.discard(source)
        after = bool(said)
        if not after:
            del self._said[endpoint]
        return after if after != before else None

    def forget_source(self, source: str) -> list[ids.EndpointId]:
        """Drops a source; returns endpoints that are in use again."""
        back = []
        for endpoint in list(self._said):
            if self.tell(endpoint, source, leaving=False) is False:
                back.append(endpoint)
        return back

    def leaving(self) -> list[ids.EndpointId]:
        """Returns the endpoints of which any source says it leaves."""
        return list(self._said)

    def said_by(self, sources: frozenset[str]) -> list[ids.EndpointId]:
        """Returns the endpoints of which one of these says it leaves."""
        return [
            endpoint
            for endpoint, said in self._said.items()
            if not said.isdisjoint(sources)
        ]
