"""How long a document counts as confirmed."""

import pytest

from cardamombarrow.entry import settings
from cardamombarrow.entry.documents import lease as lease_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids


def test_a_confirmation_counts_from_its_request():
    # A key is removed while the reply to an earlier request is in transit. If
    # the age counted from the reply's arrival, the key would stay valid for
    # that time.
    time_source = clock.ManualClock(100.0)
    lease = lease_module.DocumentLease(3.0, time_source)
    assert not lease.is_valid
    time_source.advance(2.0)
    lease.confirm(100.0, ids.Revision(0))
    assert lease.is_valid
    time_source.advance(1.5)
    assert not lease.is_valid


def test_a_late_reply_to_an_earlier_request_changes_nothing():
    time_source = clock.ManualClock(100.0)
    lease = lease_module.DocumentLease(3.0, time_source)
    lease.confirm(100.0, ids.Revision(0))
    lease.confirm(98.0, ids.Revision(0))
    assert lease.age_s == 0.0


def test_a_confirmed_document_that_arrives_later_extends_the_lease():
    # Guards against entries on slow links that refuse all requests while
    # documents change often: each confirmation names a newer document.
    time_source = clock.ManualClock(100.0)
    lease = lease_module.DocumentLease(3.0, time_source)
    lease.put_in_force(ids.Revision(1))
    for revision in range(1, 7):
        lease.confirm(time_source.now_s(), ids.Revision(revision + 1))
        time_source.advance(1.0)
        lease.put_in_force(ids.Revision(revision))
    assert lease.age_s == 2.0
    assert lease.behind_s == 0.0
    time_source.advance(1.5)
    assert not lease.is_valid
    assert lease.behind_s == 1.5


def test_a_document_that_is_not_in_force_does_not_extend_the_lease():
    # Guards against requests with a key that a newer document has removed.
    time_source = clock.ManualClock(100.0)
    lease = lease_module.DocumentLease(3.0, time_source)
    lease.put_in_force(ids.Revision(1))
    lease.confirm(100.0, ids.Revision(1))
    time_source.advance(2.5)
    lease.confirm(102.5, ids.Revision(3))
    lease.put_in_force(ids.Revision(2))
    time_source.advance(1.0)
    assert not lease.is_valid
    lease.put_in_force(ids.Revision(3))
    assert lease.is_valid


def test_without_a_bound_a_domain_that_is_cut_off_continues_to_serve():
    assert lease_module.DocumentLease(0.0, clock.ManualClock()).is_valid


@pytest.mark.parametrize(
    ("fields", "max_age_s"),
    [
        ({"confirmed_within_s": 3.5}, 3.5),
        ({"confirmed_within_s": 3.5, "revoked_within_ms": 5_000}, 4.5),
        ({"revoked_within_ms": 600}, 0.3),
        ({}, 0.0),
    ],
)
def test_a_confirmation_ends_before_removed_keys_must_be_refused(
    fields, max_age_s
):
    # A longer validity serves requests with removed keys, a shorter one refuses
    # requests while the log elects a leader.
    assert settings.DocumentSettings(**fields).max_age_s == max_age_s
