"""Requests on the way from one entry to another, over loopback."""

import json
import time

import pytest

from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.endpoints import http_get
from cardamombarrow.forwarding import app as app_module
from cardamombarrow.forwarding import core
from cardamombarrow.forwarding import reachability as reachability_module
from cardamombarrow.kernel import connection
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import http
from cardamombarrow.kernel import ids
from cardamombarrow.peers import secret as secret_module
from tools import deployment

_SECRET = "a-secret-of-the-tests"
_SERVICE = ids.ServiceId("models")
_ELAPSED_S = 0.7


class _Caller(endpoints_base.CallerWatch):
    def fileno(self):
        return -1

    def gone(self):
        return False


class _CutOff(reachability_module.Reachability):
    def __init__(self):
        super().__init__(dict)

    def is_cut_off(self, service):
        return True


class _App:
    """The application of the other entry.

    Attributes:
        environs: The environments of its requests.
        breaks: Whether it breaks the connection in place of an answer.
        declined: Why it declines, after it has read the request; None if not.
    """

    def __init__(self):
        self.environs = []
        self.breaks = False
        self.declined = None

    def __call__(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        self.environs.append({**environ, "body": body})
        if self.breaks:
            raise errors.EndpointError(
                errors.ErrorKind.ANSWER_CUT, "broken", sent=True
            )
        if self.declined is not None:
            environ[app_module.DECLINED_KEY] = self.declined
        start_response("201 Created", [("X-Seal", "s")])
        return [b"one", b"two"]


class _Entry:
    """An entry that takes forwarded requests."""

    def __init__(self):
        self.app = _App()
        self.reason = None
        forwarded = app_module.ForwardedApp(
            self.app, _SECRET, lambda: self.reason
        )
        self.server = http.HttpServer(http.HttpSettings(), forwarded)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.port}"


@pytest.fixture
def entries():
    started = [_Entry(), _Entry()]
    yield started
    for entry in started:
        entry.server.stop()


def _forwarder(near=(), far=(), secret=_SECRET):
    forwarder = core.Forwarder(
        core.ForwardSettings(secret, "127.0.0.1:1"), _CutOff()
    )
    forwarder.set_entries(near, far)
    return forwarder


def _request(**fields):
    now_s = time.monotonic()
    values = {
        "request_id": ids.RequestId("r1"),
        "service": _SERVICE,
        "method": "POST",
        "target": "/a%20b?c=d",
        "headers": (("Host", "x.example"), ("X-Trace", "7")),
        "body": b"body",
        "arrived_s": now_s,
        "deadline_s": now_s + 10.0,
        "stall_limit_s": 1.0,
        "caller": _Caller(),
        **fields,
    }
    return core.ForwardRequest(**values)


def test_a_request_arrives_as_its_caller_sent_it(entries):
    entry = entries[0]
    now_s = time.monotonic()
    answer = _forwarder([entry.address]).forward(
        _request(arrived_s=now_s - _ELAPSED_S)
    )
    assert (answer.head.status, answer.head.headers["x-seal"]) == (201, "s")
    assert b"".join(answer.chunks) == b"onetwo"
    (environ,) = entry.app.environs
    assert environ["REQUEST_METHOD"] == "POST"
    assert environ["REQUEST_URI"] == "/a%20b?c=d"
    assert environ["body"] == b"body"
    # Guards against endpoints that see the token, and against a second hop.
    names = {name.lower() for name, _ in environ[connection.HEADERS_KEY]}
    assert names == {"host", "x-trace", "content-length"}
    assert environ[app_module.FORWARDED_KEY]
    # Guards against endpoints that are given more time than is left.
    assert environ[connection.ARRIVED_KEY] <= now_s - _ELAPSED_S + 0.5


def test_a_request_arrives_with_its_attempts(entries):
    # Guards against a request that may run as often again at another entry,
    # and against callers who state attempts of their own.
    forged = ((core.ATTEMPTS, "9"), (core.RUNS, "9"))
    answer = _forwarder([entries[0].address]).forward(
        _request(headers=forged, attempts=2, runs=1)
    )
    assert b"".join(answer.chunks) == b"onetwo"
    (environ,) = entries[0].app.environs
    history = app_module.History(attempts=2, runs=1)
    assert environ[app_module.FORWARDED_KEY] == history
    names = {name.lower() for name, _ in environ[connection.HEADERS_KEY]}
    assert not names & {core.ATTEMPTS, core.RUNS}


def test_an_entry_that_declines_or_is_gone_is_passed_over(entries):
    # Guards against callers who are refused though another entry serves.
    first, second = entries
    first.reason = "draining"
    forwarder = _forwarder([first.address, "127.0.0.1:9"], [second.address])
    answer = forwarder.forward(_request())
    assert b"".join(answer.chunks) == b"onetwo"
    assert not first.app.environs
    assert forwarder._choose(_SERVICE) == [second.address]


def test_an_entry_that_can_not_reach_the_service_either_declines(entries):
    entries[0].app.declined = "no endpoint can be connected"
    assert _forwarder([entries[0].address]).forward(_request()) is None


def test_a_request_that_may_have_run_is_not_forwarded_again(entries):
    # Guards against two runs of a request when the entry that took it dies.
    first, second = entries
    first.app.breaks = True
    forwarder = _forwarder([first.address], [second.address])
    with pytest.raises(errors.EndpointError) as caught:
        forwarder.forward(_request())
    assert not caught.value.not_run
    assert not second.app.environs


@pytest.mark.parametrize("secret", ["another-secret-altogether", ""])
def test_a_wrong_secret_is_refused(entries, secret):
    answer = _forwarder([entries[0].address], secret=secret).forward(_request())
    assert answer.head.status == 403
    assert not entries[0].app.environs


def _send_token(entry, token, path="/a"):
    return http_get.fetch(
        f"http://{entry.address}{path}",
        timeout_s=5,
        headers=(f"{secret_module.HEADER}: {token}",),
    )


def test_a_token_serves_one_request_for_its_own_target(entries):
    # Guards against captured tokens that are used again or for other requests.
    scope = core.token_scope("GET", "/a")
    token = secret_module.token(_SECRET, scope, time.time())
    assert _send_token(entries[0], token, "/b").status == 403
    assert _send_token(entries[0], token).status == 201
    answer = _send_token(entries[0], token)
    assert answer.status == 403
    assert json.loads(answer.body)["error"]["code"] == "forbidden"


def test_nothing_is_forwarded_without_entries_or_a_cut():
    assert not _forwarder().is_needed(_SERVICE)
    unused = core.Forwarder(core.ForwardSettings())
    unused.set_entries(["127.0.0.1:9"], [])
    assert not unused.is_needed(_SERVICE)
    assert deployment.wait_until(lambda: unused.forward(_request()) is None, 5)
