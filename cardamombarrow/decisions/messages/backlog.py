"""The work ahead of a job."""

import dataclasses

__all__ = ["Backlog"]


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """The work ahead of one job.

    Attributes:
        jobs_ahead: Queued jobs that would be served before it.
        slots: This instance's slots on the endpoints of its service.
        service_s: Mean time that a job holds a slot.
        predicted_wait_s: Expected time in the queue.
        first_token_s: Mean time from placement to the first token.
        tier_waiting: Other queued jobs of its tier.
        oldest_wait_s: Wait of the oldest job of its tier.
        returning_s: Time to serve the refused jobs of its tier that are
            expected to come back, less those that could be served since.
        limit_wait_s: Part of the predicted wait that is due to rate limits
            of all endpoints; infinite if another instance spends them all.
        pause_wait_s: Part of the predicted wait that is due to pauses of all
            endpoints.
        probe_wait_s: Time until an endpoint may get it, if all have failed of
            late and get probes only; 0 otherwise.
        lower_over_reserve: Whether a lower tier runs more than its reserved
            share of these slots.
        prefill_wait_s: Part of the predicted wait that is due to the prefill
            ahead; None where the overload controls are not enabled.
        lower_waiting: Whether more than one job of a lower tier waits.
        is_late: Whether the job can no longer meet its target; only predicted
            where the overload controls are enabled.
    """

    jobs_ahead: int
    slots: int
    service_s: float
    predicted_wait_s: float
    first_token_s: float = 0.0
    tier_waiting: int = 0
    oldest_wait_s: float = 0.0
    returning_s: float = 0.0
    limit_wait_s: float = 0.0
    pause_wait_s: float = 0.0
    probe_wait_s: float = 0.0
    lower_over_reserve: bool = False
    prefill_wait_s: float | None = None
    lower_waiting: bool = False
    is_late: bool = False
