"""Tests of the headers of the platform's callers."""

import pytest

from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.platform import caller

_PROTOCOL = caller.PlatformProtocol()
_GOOD = (
    ("Host", "one.example"),
    ("Attempt-Id", "9c41"),
    ("Model-Name", "m"),
    ("Token-Count", "1460,80"),
    ("Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    ("Deadline-Ms", "1500"),
    ("Authorization", "Token secret"),
)


def test_a_request_is_read():
    facts = _PROTOCOL.read(_GOOD)
    assert facts.caller_id == "9c41"
    assert facts.key == "secret"
    assert facts.limit_s == 1.5
    assert (facts.prompt_tokens, facts.most_tokens) == (1460, 80)
    assert [part.tokens for part in facts.parts] == [800, 410, 250]


def test_headers_reserved_for_the_router_are_not_forwarded():
    # With these headers a caller could use the name of another workspace,
    # pin cache memory, or read another request's cache.
    sent = (
        "Tenant",
        "Expect-Instance",
        "Cache-Hold",
        "Pin-Ms",
        "Cache-Backup",
        "Kv-From",
        "Kv-Fetch",
        "Request-Priority",
        "Transfer-Encoding",
        "X-One",
    )
    headers = (*_GOOD, ("Connection", "close, X-One"))
    headers += tuple((name, "v") for name in sent)
    names = [name for name, _ in _PROTOCOL.read(headers).forwarded]
    assert names == [
        "Host",
        "Attempt-Id",
        "Model-Name",
        "Token-Count",
        "Prefix-Hash",
    ]


def test_connection_header_cannot_remove_required_headers():
    headers = (*_GOOD, ("Connection", "Attempt-Id, Prefix-Hash, Host"))
    names = [name for name, _ in _PROTOCOL.read(headers).forwarded]
    assert {"Host", "Attempt-Id", "Prefix-Hash"} <= set(names)


@pytest.mark.parametrize(
    "more",
    [
        ("Attempt-Id", "other"),
        ("Deadline-Ms", "9"),
        ("Authorization", "Token other"),
        ("Token-Count", "1,1"),
    ],
)
def test_a_duplicated_header_is_refused(more):
    with pytest.raises(errors.RefusedError, match="twice"):
        _PROTOCOL.read((*_GOOD, more))


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("Attempt-Id", ""),
        ("Attempt-Id", "a b"),
        ("Deadline-Ms", "-5"),
        ("Deadline-Ms", "soon"),
        ("Token-Count", "5"),
        ("Prefix-Hash", "xyz"),
    ],
)
def test_a_malformed_header_is_refused(name, value):
    headers = tuple(h for h in _GOOD if h[0] != name)
    with pytest.raises(errors.RefusedError) as caught:
        _PROTOCOL.read((*headers, (name, value)))
    assert caught.value.kind is errors.ErrorKind.BAD_REQUEST


@pytest.mark.parametrize("kind", list(errors.ErrorKind))
@pytest.mark.parametrize("not_run", [True, False])
def test_not_run_statuses_are_used_only_if_the_request_did_not_run(
    kind, not_run
):
    # 408, 421, 429 and 503 mean that the request has not run and never will,
    # so the caller sends even an unrepeatable one again. Used for a request
    # that ran, they make it run twice.
    error = errors.RouterError(kind, "x", not_run=not_run)
    status = _PROTOCOL.error(error, ids.RequestId("r")).status
    if status in (408, 421, 429, 503):
        assert not_run
    if not_run:
        assert status not in (500, 502, 504)


def test_retry_after_may_be_fractional():
    error = errors.RefusedError(
        errors.ErrorKind.OVERLOADED, "x", retry_after_s=0.25
    )
    answer = _PROTOCOL.error(error, ids.RequestId("r"))
    assert ("Retry-After", "0.250") in answer.headers


def test_headers_for_the_router_are_not_relayed():
    headers = {
        "attempt-id": "9c41",
        "server-seal": "s",
        "content-length": "5",
        "connection": "close",
        "instance-load": "1,2,3",
        "x-own": "kept",
    }
    names = [name for name, _ in _PROTOCOL.answer_headers(headers)]
    assert names == ["attempt-id", "server-seal", "content-length", "x-own"]
