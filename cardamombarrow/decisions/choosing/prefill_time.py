"""Prefill time per token of a service's engines, learned from first tokens.

Steps of `STEP_FACTOR` follow a change within some tens of prompts. From
`MIN_PROMPT_TOKENS` on, the prefill and not the base latency dominates the time
to first token.
"""

from cardamombarrow.kernel import ids

__all__ = ["MIN_PROMPT_TOKENS", "PrefillTime"]

INITIAL_TOKEN_S = 0.00002
"""Initial prefill time per token."""

MIN_PROMPT_TOKENS = 4_000
"""Prompts from this length on update the prefill time; shorter ones update the
base latency."""

STEP_FACTOR = 1.02

MIN_TOKEN_S = 1e-6
MAX_TOKEN_S = 1e-3


class PrefillTime:
    """Prefill time per token, by service."""

    def __init__(self, quantile: float = 0.5):
        """Initializes an estimator without observations.

        Args:
            quantile: Quantile of the observed times to estimate.
        """
        self._up = STEP_FACTOR ** (2 * quantile)
        self._down = STEP_FACTOR ** (2 * quantile - 2)
        self._token_s: dict[ids.ServiceId, float] = {}

    def token_s(self, service: ids.ServiceId) -> float:
        """Returns the prefill time per token."""
        return self._token_s.get(service, INITIAL_TOKEN_S)

    def learn(self, service: ids.ServiceId, observed_s: float) -> None:
        """Moves the estimate one step towards an observed time per token.

        Steps of a fixed size converge to a quantile and so are robust to
        outliers: a prompt that waited for others takes too long, one that was
        unexpectedly cached takes too little time.
        """
        token_s = self.token_s(service)
        step = self._up if observed_s > token_s else self._down
        self._token_s[service] = min(
            max(token_s * step, MIN_TOKEN_S), MAX_TOKEN_S
        )
