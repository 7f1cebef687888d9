"""Requests that the document in force does not allow."""

import random
from unittest import mock

import pytest

from cardamombarrow.entry.documents import lease as lease_module
from cardamombarrow.entry.frontend import routed
from cardamombarrow.kernel import byte_budget
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import connection
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids


def _refusal(lease, route):
    """Returns the error that a caller is answered with."""
    documents = mock.Mock(revision=ids.Revision(1))
    applied = documents.current.return_value
    applied.routes.match.return_value = route
    applied.keys.find.return_value = None
    protocol = mock.Mock()
    protocol.read.return_value = mock.Mock(caller_id="attempt-1", key="key-1")
    answer = mock.Mock(status=404, headers=(), body=b"")
    protocol.error.return_value = answer
    runner = mock.Mock()
    runner.services.time_source = clock.ManualClock()
    runner.services.broker.less_urgent_start_age_s.return_value = None
    app = routed.RoutedApp(
        documents,
        runner,
        protocol,
        lease,
        random.Random(0),
        byte_budget.ByteBudget(1),
    )
    environ = {
        connection.HEADERS_KEY: (),
        connection.ARRIVED_KEY: 0.0,
        "REQUEST_URI": "/new/",
        "HTTP_HOST": "one.example",
    }
    app(environ, lambda status, headers: None)
    return protocol.error.call_args.args[0]


@pytest.mark.parametrize(
    ("route", "kind"),
    [
        (None, errors.ErrorKind.NOT_FOUND),
        (
            mock.Mock(anonymous=False, services={}),
            errors.ErrorKind.UNAUTHENTICATED,
        ),
    ],
)
def test_nobody_is_denied_while_a_newer_document_is_known(route, kind):
    # Guards against 404 and 401 for routes and keys that an operator has added
    # and that have not reached this entry yet.
    time_source = clock.ManualClock(100.0)
    lease = lease_module.DocumentLease(4.5, time_source)
    lease.put_in_force(ids.Revision(1))
    lease.confirm(100.0, ids.Revision(1))
    assert _refusal(lease, route).kind is kind
    lease.confirm(100.0, ids.Revision(2))
    time_source.advance(0.5)
    refusal = _refusal(lease, route)
    assert refusal.kind is errors.ErrorKind.NOT_READY
    assert refusal.retry_after_s
    lease.put_in_force(ids.Revision(2))
    assert _refusal(lease, route).kind is kind
