"""How long a document may be taken for the newest."""

from cardamombarrow.entry import lease as lease_module
from cardamombarrow.kernel import clock


def test_a_confirmation_counts_from_when_it_was_asked_for():
    # A key is taken away while the answer to an earlier question is under
    # way. Counted from its arrival, the key would live on for that time.
    time_source = clock.ManualClock(100.0)
    lease = lease_module.DocumentLease(3.0, time_source)
    assert not lease.holds
    time_source.advance(2.0)
    lease.confirm(100.0)
    assert lease.holds
    time_source.advance(1.5)
    assert not lease.holds


def test_a_late_answer_to_an_earlier_question_changes_nothing():
    time_source = clock.ManualClock(100.0)
    lease = lease_module.DocumentLease(3.0, time_source)
    lease.confirm(100.0)
    lease.confirm(98.0)
    assert lease.age_s == 0.0


def test_without_a_bound_a_domain_that_is_cut_off_serves_on():
    assert lease_module.DocumentLease(0.0, clock.ManualClock()).holds
