"""When a job may leave its failure domain.

Load pattern: a burst in one domain while another is idle. Without this module
the requests of one domain wait although engines of the next one are idle;
without a limit they would run up the cost of traffic between regions.

A job may leave only if its predicted wait in its own domain plus the usual time
to first token exceeds its class's target, and only while the token bucket of
bytes covers its prompt and expected answer. A long prompt needs a fuller bucket
than a short one, so long prompts stay when the budget is short.

A token counts as four bytes of prompt, or as 200 bytes of answer, the size of a
streamed event in the OpenAI format.
"""

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import registry

__all__ = ["BudgetSpill", "UnrestrictedSpill"]

BYTES_PER_S = 50_000.0
BUCKET_BYTES = 3_000_000.0
PROMPT_TOKEN_BYTES = 4.0
ANSWER_TOKEN_BYTES = 200.0

LONG_PROMPT_BYTES = 64_000.0
"""A prompt of this size may leave only while the bucket is full."""


@registry.plugin("spill", "budget")
class BudgetSpill(base.Spill):
    """Remote placement of jobs at risk, within a token bucket of bytes."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._available_bytes = BUCKET_BYTES
        self._refilled_at_s = 0.0

    def allow(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        local: messages.Backlog,
        now_s: float,
    ) -> bool:
        """Returns whether the job may go to an endpoint of another domain."""
        waited_s = max(now_s - job.arrived_s, 0.0)
        first_s = waited_s + local.predicted_wait_s + local.first_token_s
        if first_s <= job.target_first_token_s:
            return False
        self._refill(now_s)
        prompt_bytes = job.prompt_tokens * PROMPT_TOKEN_BYTES
        required_bytes = (
            min(1.0, prompt_bytes / LONG_PROMPT_BYTES) * BUCKET_BYTES
        )
        return self._available_bytes >= max(_cost_bytes(job), required_bytes)

    def on_place(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        """Takes the job's bytes out of the bucket."""
        self._refill(now_s)
        self._available_bytes -= _cost_bytes(job)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(now_s - self._refilled_at_s, 0.0)
        self._available_bytes = min(
            BUCKET_BYTES, self._available_bytes + elapsed_s * BYTES_PER_S
        )
        self._refilled_at_s = now_s


@registry.plugin("spill", "weighed")
class UnrestrictedSpill(base.Spill):
    """No restriction: the choice accounts for the distance."""

    joins_domains = True

    def allow(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        local: messages.Backlog,
        now_s: float,
    ) -> bool:
        """Always allows it."""
        return True


def _cost_bytes(job: messages.Job) -> float:
    return (
        job.prompt_tokens * PROMPT_TOKEN_BYTES
        + job.expected_tokens * ANSWER_TOKEN_BYTES
    )
