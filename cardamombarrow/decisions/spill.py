"""When a job may leave its failure domain.

Load pattern answered: a burst in one domain while another is idle. Without
this module the callers of one place wait beside idle engines of the next;
sent away freely, they would run up the bill for traffic between regions.

A job may go only when its predicted wait here, with the usual time to a first
token, breaks its class's target, and only while the bucket of bytes has room
for its prompt and expected answer. A long prompt needs a fuller bucket than a
short one, so when bytes are scarce long prompts stay.

A token is reckoned as four bytes of prompt, and as 200 bytes of answer, which
is a streamed event of the OpenAI format.
"""

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import registry

__all__ = ["BudgetSpill", "WeighedSpill"]

BYTES_PER_S = 50_000.0
BUCKET_BYTES = 3_000_000.0
PROMPT_TOKEN_BYTES = 4.0
ANSWER_TOKEN_BYTES = 200.0

LONG_PROMPT_BYTES = 64_000.0
"""A prompt of this size may leave only while the bucket is full."""


@registry.plugin("spill", "budget")
class BudgetSpill(base.Spill):
    """Other domains for jobs in danger, within a token bucket of bytes."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._bytes = BUCKET_BYTES
        self._filled_at_s = 0.0

    def allow(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        local: messages.Backlog,
        now_s: float,
    ) -> bool:
        """Tells whether the job may go to an endpoint of another domain."""
        waited_s = max(now_s - job.arrived_s, 0.0)
        first_s = waited_s + local.predicted_wait_s + local.first_token_s
        if first_s <= job.target_first_token_s:
            return False
        self._fill(now_s)
        prompt_bytes = job.prompt_tokens * PROMPT_TOKEN_BYTES
        kept = min(1.0, prompt_bytes / LONG_PROMPT_BYTES) * BUCKET_BYTES
        return self._bytes >= max(_cost_bytes(job), kept)

    def on_place(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        """Takes the job's bytes out of the bucket."""
        self._fill(now_s)
        self._bytes -= _cost_bytes(job)

    def _fill(self, now_s: float) -> None:
        past_s = max(now_s - self._filled_at_s, 0.0)
        self._bytes = min(BUCKET_BYTES, self._bytes + past_s * BYTES_PER_S)
        self._filled_at_s = now_s


@registry.plugin("spill", "weighed")
class WeighedSpill(base.Spill):
    """All domains' endpoints together; the choice weighs the distance."""

    joins_domains = True

    def allow(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        local: messages.Backlog,
        now_s: float,
    ) -> bool:
        """Allows it."""
        return True


def _cost_bytes(job: messages.Job) -> float:
    return (
        job.prompt_tokens * PROMPT_TOKEN_BYTES
        + job.expected_tokens * ANSWER_TOKEN_BYTES
    )
