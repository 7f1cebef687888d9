"""Which waiting jobs can no longer meet the target of their first token.

Load pattern: more prefill than the endpoints can do for longer than the targets
of a tier. In order of deadlines the job that goes first is the one that has
waited longest; as soon as it is late, all behind it become late as well, and
every endpoint works at full rate on answers that come too late.

A job is late if its first token is predicted after its target although it were
placed now. The prediction is the choice's: the prefill of the job's uncached
tokens, and the best endpoint's expected time. It is optimistic, as the best
endpoint need not be the one that has the prompt cached, so that no job is put
behind that could still be in time.

`fairness` puts late jobs behind the others of their workspace and tier. A job
is examined only when it would be the next one, and is put behind at most once,
so that no event iterates over all jobs.
"""

from collections import abc

from cardamombarrow.decisions import messages

__all__ = ["Lateness"]


class Lateness:
    """Predicts whether jobs can still meet their targets."""

    def __init__(
        self,
        expected_first_token_s: abc.Callable[[messages.Job, float], float],
    ):
        """Initializes the prediction.

        Args:
            expected_first_token_s: Returns the expected time to the first
                token of a job that is placed at the given time.
        """
        self._expected_first_token_s = expected_first_token_s

    def is_late(self, job: messages.Job, now_s: float) -> bool:
        """Returns whether a job that is placed now misses its target."""
        left_s = job.arrived_s + job.target_first_token_s - now_s
        if left_s <= 0.0:
            return True
        return self._expected_first_token_s(job, now_s) > left_s
