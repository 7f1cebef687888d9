"""Endpoints that may run other software than the list says.

An endpoint may come back under its identity with other software, and the list
lags behind. So from the end of its process its version is not known until a
list that was fetched later than that, by the lag of the list, has been read.
"""

from cardamombarrow.kernel import ids

__all__ = ["SoftwareDoubts"]


class SoftwareDoubts:
    """The endpoints in doubt; not thread-safe."""

    def __init__(self, lag_s: float):
        """Builds an empty table.

        Args:
            lag_s: Longest time until the list names a new version.
        """
        self._lag_s = lag_s
        self._broke_s: dict[ids.EndpointId, float] = {}

    def endpoints(self) -> frozenset[ids.EndpointId]:
        """Returns the endpoints in doubt."""
        return frozenset(self._broke_s)

    def __contains__(self, endpoint: ids.EndpointId) -> bool:
        return endpoint in self._broke_s

    def begin(self, endpoint: ids.EndpointId, broke_s: float) -> bool:
        """Records the end of an endpoint's process.

        Args:
            endpoint: The endpoint.
            broke_s: When it was noticed last.

        Returns:
            Whether the endpoint comes into doubt by it.
        """
        is_new = endpoint not in self._broke_s
        self._broke_s[endpoint] = broke_s
        return is_new

    def end(self, fetched_s: float) -> list[ids.EndpointId]:
        """Ends the doubts that a list resolves; returns their endpoints.

        Args:
            fetched_s: When the fetch of the list began.
        """
        ended = [
            endpoint
            for endpoint, broke_s in self._broke_s.items()
            if fetched_s >= broke_s + self._lag_s
        ]
        for endpoint in ended:
            del self._broke_s[endpoint]
        return ended
