"""Whether an endpoint leaves, from several sources that may lag.

An endpoint gets no new work as soon as one source reports it as leaving: the
platform's list, its own load report, or another instance that got it from one
of these. The list lags behind the report and would return the endpoint to
use too early, so no source can revoke what another one reports.
"""

from cardamombarrow.kernel import ids

__all__ = ["LeavingView"]


class LeavingView:
    """Combines the reports of all sources."""

    def __init__(self):
        self._sources: dict[ids.EndpointId, set[str]] = {}

    def record(
        self, endpoint: ids.EndpointId, source: str, leaving: bool
    ) -> bool | None:
        """Updates the state that one source reports for an endpoint.

        Returns:
            Whether the endpoint leaves, if that changed; else None.
        """
        reporting = self._sources.setdefault(endpoint, set())
        before = bool(reporting)
        if leaving:
            reporting.add(source)
        else:
            reporting.discard(source)
        after = bool(reporting)
        if not after:
            del self._sources[endpoint]
        return after if after != before else None

    def forget_source(self, source: str) -> list[ids.EndpointId]:
        """Removes a source; returns the endpoints that no longer leave."""
        restored = []
        for endpoint in list(self._sources):
            if self.record(endpoint, source, leaving=False) is False:
                restored.append(endpoint)
        return restored

    def leaving(self) -> list[ids.EndpointId]:
        """Returns the endpoints that any source reports as leaving."""
        return list(self._sources)

    def reported_by(self, sources: frozenset[str]) -> list[ids.EndpointId]:
        """Returns the endpoints that one of these sources reports."""
        return [
            endpoint
            for endpoint, reporting in self._sources.items()
            if not reporting.isdisjoint(sources)
        ]
