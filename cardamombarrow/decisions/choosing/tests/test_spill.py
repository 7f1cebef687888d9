"""When a job may leave its failure domain."""

import pytest

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.choosing import spill
from cardamombarrow.kernel import ids


@pytest.fixture
def remote():
    return endpoint_module.EndpointState(
        ids.EndpointId("10.0.1.1:80"),
        ids.ServiceId("models"),
        ids.DomainId("adum"),
        configured_slots=8,
    )


def _backlog(wait_s):
    return messages.Backlog(
        jobs_ahead=3,
        slots=8,
        service_s=1.0,
        predicted_wait_s=wait_s,
        first_token_s=0.2,
    )


def test_only_a_job_at_risk_leaves(context, new_job, remote):
    """Traffic between regions is billed, so free slots there don't suffice."""
    policy = spill.BudgetSpill(context)
    assert not policy.allow(new_job(), remote, _backlog(0.1), 0.0)
    assert policy.allow(new_job(), remote, _backlog(5.0), 0.0)


def test_budget_is_bounded_and_long_prompts_stay_first(
    context, new_job, remote
):
    """A long burst must not cause unbounded traffic between regions."""
    policy = spill.BudgetSpill(context)
    long_job = new_job(prompt_tokens=8_000)
    short_job = new_job(prompt_tokens=200)
    left = {"long": 0, "short": 0}
    sent_bytes = 0.0
    for step in range(6_000):
        now_s = step * 0.01
        for name, job in (("long", long_job), ("short", short_job)):
            job.arrived_s = now_s
            if policy.allow(job, remote, _backlog(5.0), now_s):
                policy.on_place(job, remote, now_s)
                left[name] += 1
                sent_bytes += 4.0 * job.prompt_tokens
                sent_bytes += 200.0 * job.expected_tokens
    budget_bytes = spill.BUCKET_BYTES + 60.0 * spill.BYTES_PER_S
    assert sent_bytes <= budget_bytes
    assert sent_bytes > 0.9 * budget_bytes
    assert left["short"] > 5 * left["long"]
