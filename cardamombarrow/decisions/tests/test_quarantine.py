"""Requests that crash endpoints, and the innocent ones beside them."""

import dataclasses

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.decisions import quarantine
from cardamombarrow.kernel import ids

ENDPOINT = ids.EndpointId("10.0.0.1:80")


@pytest.fixture
def policy(context):
    return quarantine.CrashQuarantine(context)


def _job(new_job, name):
    return new_job(fingerprint=ids.Fingerprint(name))


def test_second_crash_alone_quarantines_and_spares_the_innocent(
    policy, new_job
):
    """A request ends each engine that runs it and its caller sends it again.

    Others were on the first engine; their callers must not be refused.
    """
    bad = _job(new_job, "bad")
    innocent = [_job(new_job, f"good-{n}") for n in range(5)]
    policy.on_crash(ENDPOINT, [bad, *innocent], 1.0)
    for job in (bad, *innocent):
        assert policy.solo(job, 1.0)
        assert policy.refuse(job, 1.0) is None
    for job in innocent:
        policy.on_finish(job, messages.Outcome.DONE, 2.0)
        assert not policy.solo(job, 2.0)
    policy.on_crash(ENDPOINT, [bad], 3.0)
    assert policy.refuse(_job(new_job, "bad"), 3.1) is not None
    assert all(policy.refuse(job, 3.1) is None for job in innocent)
    assert policy.refuse(bad, 3.0 + quarantine.QUARANTINE_S) is None


def test_crashes_in_company_condemn_nobody(policy, new_job):
    """Engines die one after the other of a power fault, full of requests."""
    jobs = [_job(new_job, f"good-{n}") for n in range(3)]
    for number in range(5):
        policy.on_crash(ENDPOINT, jobs, float(number))
    assert all(policy.refuse(job, 6.0) is None for job in jobs)


def test_resend_through_another_entry_is_refused(policy, context, new_job):
    """The caller sends the request again and the balancer picks another entry.

    Without the mark that one would lose an engine of its own to learn it.
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


def test_marks_that_go_round_end(policy, context, new_job):
    """Two entries that gossip a mark back and forth must not prolong it."""
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
    """Engines that die often must not fill the entry's memory."""
    for number in range(3 * quarantine.TABLE):
        job = _job(new_job, f"job-{number}")
        policy.on_crash(ENDPOINT, [job], 1.0)
        policy.on_crash(ENDPOINT, [job], 1.0)
    assert len(policy.marks(1.0)) <= quarantine.TABLE
