"""Bounds the prefill that is committed to one endpoint, in seconds.

Load pattern: a burst while shared prefixes are cold. A prompt that takes
0.34 s of prefill takes 0.07 s once its prefix is cached, so the number of
prompts at an endpoint says little about its queue: eight long prompts are up to
2.7 s of prefill. Without this module they wait inside the engine, where an
instance can neither order nor refuse them, and all of them are late together.

A prompt goes to an endpoint only while the prompts there that are at least as
urgent, without the one in prefill, take less than `BOUND_S`. Engines prefill
more urgent prompts first, so less urgent ones there do not delay it and are not
counted; prompts that are as urgent are, so that a flood of urgent ones waits in
the instance as well.

The bound keeps an engine supplied: an instance sees a first token one way later
and its next prompt arrives another way later, and the prefill that other
instances report is as old as their report. Below the sum of both an endpoint
of another domain idles between two prompts. Since the prompt in prefill is not
counted, the bound opens with a first token, which is an event, and needs no
timer.

An instance that knows only its own requests applies the same bound to these.
"""

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages

__all__ = ["BOUND_S", "is_open", "prefill_ahead_s"]

ROUND_TRIP_S = 0.06
"""To an endpoint of another region, at 30 ms one way."""

REPORT_INTERVAL_S = 0.1
"""Time between two reports of another placer."""

BOUND_S = ROUND_TRIP_S + REPORT_INTERVAL_S

MIN_PROMPT_S = 0.002
"""Time counted for a prompt that is almost entirely cached: an engine's step.
Without it any number of such prompts would be within the bound."""


def is_open(
    state: endpoint_module.EndpointState,
    job: messages.Job,
    token_s: float,
    now_s: float,
) -> bool:
    """Returns whether a prompt may be sent to an endpoint now.

    Args:
        state: The endpoint.
        job: The job with the prompt.
        token_s: Prefill time per token at this endpoint.
        now_s: Current time.
    """
    if not state.unread:
        return True
    return prefill_ahead_s(state, job, token_s, now_s) < BOUND_S


def prefill_ahead_s(
    state: endpoint_module.EndpointState,
    job: messages.Job,
    token_s: float,
    now_s: float,
) -> float:
    """Returns the prefill at an endpoint that would precede a job.

    This is the prefill of the prompts that are at least as urgent, without the
    one of this instance that is in prefill.

    Args:
        state: The endpoint.
        job: The job.
        token_s: Prefill time per token at this endpoint.
        now_s: Current time.
    """
    prefills_s = (
        max(running.job.unread_tokens * token_s, MIN_PROMPT_S)
        for running in state.own_unread.values()
        if running.job.rank <= job.rank
    )
    next(prefills_s, None)  # The first one is in prefill.
    return sum(prefills_s) + _reported_s(state, job, token_s, now_s)


def _reported_s(
    state: endpoint_module.EndpointState,
    job: messages.Job,
    token_s: float,
    now_s: float,
) -> float:
    """Returns the prefill of other instances' prompts that precede a job.

    Only the sum over all ranks is reported. The part that is at least as urgent
    is estimated by the ranks of the requests there; urgent prompts are the
    shorter ones, so the estimate is rather too high.
    """
    if not state.peer_running:
        return 0.0
    as_urgent = sum(
        load.count_up_to(job.rank) for load in state.peer_loads.values()
    )
    share = as_urgent / state.peer_running
    return share * state.peer_prefill_s(token_s, now_s)
