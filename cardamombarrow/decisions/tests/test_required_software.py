"""Tests of placing streams on the software version that began them."""

import itertools

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

_OLD, _NEW = (ids.SoftwareVersion(name) for name in ("v1", "v2"))
_ADDRESSES = ("10.0.0.1:80", "10.0.0.2:80", "10.0.1.1:80")
_DOMAINS = ("osu", "osu", "adum")


def _found(versions):
    return tuple(
        messages.KnownEndpoint(
            ids.EndpointId(address),
            ids.ServiceId("models"),
            ids.DomainId(domain),
            software=version,
        )
        for address, domain, version in zip(
            _ADDRESSES, _DOMAINS, versions, strict=False
        )
    )


def _placed(dispatcher, job, now_s=0.0):
    assert dispatcher.offer(job, now_s) is None
    return [
        each
        for each in dispatcher.place(now_s)
        if isinstance(each, messages.Placement)
    ]


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from([_OLD, _NEW, ids.UNKNOWN_SOFTWARE]),
        min_size=3,
        max_size=3,
    ),
    strategies.sampled_from([_OLD, _NEW, None]),
)
@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
def test_no_stream_is_placed_on_another_version(
    new_dispatcher, new_job, versions, required
):
    # Guards against events of two software versions in one stream.
    dispatcher = new_dispatcher()
    dispatcher.set_discovered(_found(versions), 0.0)
    version_of = dict(zip(_ADDRESSES, versions, strict=True))
    for _ in range(30):
        job = new_job(required_software=required)
        refusal = dispatcher.offer(job, 0.0)
        if refusal is not None:
            is_gone = refusal.kind is errors.ErrorKind.NO_ENDPOINT
            assert is_gone is (required not in (None, *versions))
        for decision in dispatcher.place(0.0):
            if isinstance(decision, messages.Placement):
                assert required in (None, version_of[decision.endpoint])


def test_a_version_that_nobody_runs_is_refused_at_once(new_dispatcher, new_job):
    # Guards against a wait until the deadline for a server that never comes.
    dispatcher = new_dispatcher()
    dispatcher.set_discovered(_found([_NEW] * 3), 0.0)
    refusal = dispatcher.offer(new_job(required_software=_OLD), 0.0)
    assert refusal.kind is errors.ErrorKind.NO_ENDPOINT
    assert "'v1'" in refusal.detail


def test_a_waiting_stream_is_refused_once_its_version_is_gone(
    new_dispatcher, new_job
):
    # Guards against a wait until the deadline after the last server has left.
    dispatcher = new_dispatcher(slots=1)
    dispatcher.set_discovered(_found([_OLD, _NEW, _NEW]), 0.0)
    assert _placed(dispatcher, new_job(required_software=_OLD))
    waiting = new_job(required_software=_OLD)
    assert not _placed(dispatcher, waiting)
    dispatcher.set_leaving(ids.EndpointId(_ADDRESSES[0]), True)
    for number in itertools.count(1):
        now_s = number / 10
        assert now_s < waiting.deadline_s / 2
        refused = [
            each
            for each in dispatcher.place(now_s)
            if isinstance(each, messages.Refusal)
        ]
        if refused:
            assert refused[0].request_id == waiting.request_id
            return


def test_streams_behind_one_without_a_free_slot_are_placed(
    new_dispatcher, new_job
):
    # Guards against new streams that wait behind one for a full version.
    dispatcher = new_dispatcher(slots=1)
    dispatcher.set_discovered(_found([_OLD, _NEW, _NEW]), 0.0)
    assert _placed(dispatcher, new_job(required_software=_OLD))
    blocked = new_job("letter", required_software=_OLD)
    assert not _placed(dispatcher, blocked)
    assert _placed(dispatcher, new_job("letter"))


@pytest.mark.parametrize("required", [_OLD, None])
def test_a_placement_by_another_instance_is_checked(
    new_dispatcher, new_job, required
):
    # Guards against a placer of an earlier build, which knows no versions.
    dispatcher = new_dispatcher()
    dispatcher.set_discovered(_found([_NEW, _OLD, _OLD]), 0.0)
    job = new_job(required_software=required)
    assert dispatcher.await_remote_placement(job, 0.0) is None
    placement = messages.Placement(
        job.request_id, ids.EndpointId(_ADDRESSES[0]), 0.0, (), "test"
    )
    applied = dispatcher.apply_remote_placement(job.request_id, placement, 0.0)
    assert applied is (required is None)


def test_a_stream_goes_on_at_an_endpoint_that_is_not_in_doubt(
    new_dispatcher, new_job
):
    # Guards against streams that go on at an endpoint that has come back with
    # other software.
    dispatcher = new_dispatcher()
    dispatcher.set_discovered(_found([_OLD, _OLD, _NEW]), 0.0)
    doubted, other = (ids.EndpointId(each) for each in _ADDRESSES[:2])
    dispatcher.set_doubted(frozenset([doubted]), 0.0)
    for _ in range(5):
        (placed,) = _placed(dispatcher, new_job(required_software=_OLD))
        assert placed.endpoint == other
    new = [_placed(dispatcher, new_job())[0].endpoint for _ in range(5)]
    assert doubted in new
    job = new_job(required_software=_OLD)
    assert dispatcher.await_remote_placement(job, 0.0) is None
    placement = messages.Placement(job.request_id, doubted, 0.0, (), "test")
    assert not dispatcher.apply_remote_placement(job.request_id, placement, 0.0)
    dispatcher.set_doubted(frozenset(), 0.0)
    assert dispatcher.apply_remote_placement(job.request_id, placement, 0.0)


def test_a_stream_whose_endpoints_are_all_in_doubt_is_refused(
    new_dispatcher, new_job
):
    # Guards against a wait until the deadline for an endpoint in doubt.
    dispatcher = new_dispatcher(slots=1)
    dispatcher.set_discovered(_found([_OLD, _NEW, _NEW]), 0.0)
    doubted = frozenset([ids.EndpointId(_ADDRESSES[0])])
    assert _placed(dispatcher, new_job(required_software=_OLD))
    waiting = new_job(required_software=_OLD)
    assert not _placed(dispatcher, waiting)
    dispatcher.set_doubted(doubted, 0.1)
    (refused,) = dispatcher.place(0.1)
    assert isinstance(refused, messages.Refusal)
    refusal = dispatcher.offer(new_job(required_software=_OLD), 0.1)
    assert refusal.kind is errors.ErrorKind.NO_ENDPOINT
