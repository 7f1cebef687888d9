"""The base class of estimates of the length of answers."""

import abc

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.base import policy

__all__ = ["Estimate"]


class Estimate(policy.Policy):
    """Estimates the length of answers."""

    @abc.abstractmethod
    def expected_tokens(self, job: messages.Job) -> float:
        """Returns the estimated length of the answer."""

    @abc.abstractmethod
    def learn(self, job: messages.Job, tokens: int) -> None:
        """Updates the estimate with the length of a finished answer."""
