"""Tests of the quarantine of requests that crash endpoints."""

import dataclasses

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import quarantine
from cardamombarrow.kernel import ids

ENDPOINT = ids.EndpointId("10.0.0.1:80")


@pytest.fixture
def policy(context):
    return quarantine.CrashQuarantine(context)


def _job(new_job, name):
    return new_job(fingerprint=ids.Fingerprint(name))


def test_second_crash_alone_quarantines_only_the_cause(policy, new_job):
    """A request crashes each engine that runs it and its caller resends it.

    Other requests were on the first engine; they must not be refused.
    """
    bad = _job(new_job, "bad")
    harmless = [_job(new_job, f"good-{n}") for n in range(5)]
    policy.on_crash(ENDPOINT, [bad, *harmless], 1.0)
    for job in (bad, *harmless):
        assert policy.must_run_alone(job, 1.0)
        assert policy.refuse(job, 1.0) is None
    for job in harmless:
        policy.on_finish(job, messages.Outcome.DONE, 2.0)
        assert not policy.must_run_alone(job, 2.0)
    policy.on_crash(ENDPOINT, [bad], 3.0)
    assert policy.refuse(_job(new_job, "bad"), 3.1) is not None
    assert all(policy.refuse(job, 3.1) is None for job in harmless)
    assert policy.refuse(bad, 3.0 + quarantine.QUARANTINE_S) is None


def test_crashes_with_several_requests_quarantine_none(policy, new_job):
    """Engines with several requests fail one by one of a power fault."""
    jobs = [_job(new_job, f"good-{n}") for n in range(3)]
    for number in range(5):
        policy.on_crash(ENDPOINT, jobs, float(number))
    assert all(policy.refuse(job, 6.0) is None for job in jobs)


def test_resend_through_another_entry_is_refused(policy, context, new_job):
    """The caller resends the request and the balancer picks another entry.

    Without the gossiped fingerprint that entry would lose an engine as well.
    """
    bad = _job(new_job, "bad")
    for now_s in (1.0, 2.0):
        policy.on_crash(ENDPOINT, [bad], now_s)
    other = quarantine.CrashQuarantine(
        dataclasses.replace(context, instance=ids.InstanceId("entry-2"))
    )
    other.merge(policy.marks(10.0), 110.0)
    assert other.refuse(_job(new_job, "bad"), 110.0) is not None
    assert other.refuse(_job(new_job, "good"), 110.0) is None
    left_s = other.marks(110.0)[ids.Fingerprint("bad")]
    assert left_s == pytest.approx(quarantine.QUARANTINE_S - 8.0)


def test_gossiped_fingerprints_expire(policy, context, new_job):
    """Two entries that gossip a fingerprint must not prolong its quarantine."""
    other = quarantine.CrashQuarantine(context)
    for now_s in (1.0, 2.0):
        policy.on_crash(ENDPOINT, [_job(new_job, "bad")], now_s)
    now_s = 2.0
    while now_s < 2.0 + quarantine.QUARANTINE_S + 5.0:
        other.merge(policy.marks(now_s), now_s)
        policy.merge(other.marks(now_s), now_s)
        now_s += 1.0
    assert policy.marks(now_s) == other.marks(now_s) == {}


def test_tables_are_bounded(policy, new_job):
    """Frequent crashes must not exhaust the entry's memory."""
    for number in range(3 * quarantine.MAX_FINGERPRINTS):
        job = _job(new_job, f"job-{number}")
        policy.on_crash(ENDPOINT, [job], 1.0)
        policy.on_crash(ENDPOINT, [job], 1.0)
    assert len(policy.marks(1.0)) <= quarantine.MAX_FINGERPRINTS
