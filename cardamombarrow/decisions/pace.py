"""How fast the engines of a service read prompts, learnt from first events.

Steps of `STEP` follow a change within some tens of prompts. A prompt of
`LEAST_TOKENS` takes long enough that its reading, not the rest, sets the time.
"""

from cardamombarrow.kernel import ids

__all__ = ["LEAST_TOKENS", "ReadingPace"]

FIRST_TOKEN_S = 0.00002
"""Time to read a prompt token, until one was seen."""

LEAST_TOKENS = 4_000
"""A prompt from this length on tells the pace; shorter ones tell the fixed part
of a first event's time."""

STEP = 1.02

FASTEST_TOKEN_S = 1e-6
SLOWEST_TOKEN_S = 1e-3


class ReadingPace:
    """Time to read a prompt token, by service."""

    def __init__(self, quantile: float = 0.5):
        """Starts with a guess.

        Args:
            quantile: Which one of the times seen is followed.
        """
        self._up = STEP ** (2 * quantile)
        self._down = STEP ** (2 * quantile - 2)
        self._token_s: dict[ids.ServiceId, float] = {}

    def token_s(self, service: ids.ServiceId) -> float:
        """Returns the time to read a token."""
        return self._token_s.get(service, FIRST_TOKEN_S)

    def learn(self, service: ids.ServiceId, seen_s: float) -> None:
        """Moves the time to read a token a step towards what was seen.

        Steps of a fixed size lead to a quantile: a prompt that waited for
        others tells too much, one that was cached against expectation too
        little, and neither may pull the estimate along.
        """
        token_s = self.token_s(service)
        step = self._up if seen_s > token_s else self._down
        self._token_s[service] = min(
            max(token_s * step, FASTEST_TOKEN_S), SLOWEST_TOKEN_S
        )
