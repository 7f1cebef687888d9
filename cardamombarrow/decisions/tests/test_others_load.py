"""Load that other placing instances report for an endpoint."""

import dataclasses
import random

import pytest

from benchmarks import driver
from benchmarks import many_entries
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.choosing import length_partition
from cardamombarrow.kernel import ids

_PEER = ids.InstanceId("placer of another domain")
_OTHER_PEER = ids.InstanceId("placer of a third one")


def _state():
    return endpoint_module.EndpointState(
        ids.EndpointId("e"), driver.SERVICE, driver.DOMAIN, 12
    )


def test_reported_prefill_decreases_with_time():
    state = _state()
    state.peer_loads[_PEER] = messages.PeerLoad((0, 0), 2, 10_000.0, 100.0)
    state.peer_loads[_OTHER_PEER] = messages.PeerLoad((0,), 1, 1_000.0, 100.0)
    token_s = 0.0001
    assert state.peer_prefill_s(token_s, 100.0) == pytest.approx(1.1)
    assert state.peer_prefill_s(token_s, 100.5) == pytest.approx(0.5)
    assert state.peer_prefill_s(token_s, 102.0) == 0.0


@pytest.fixture(name="dispatcher")
def _dispatcher():
    return _whole_domain()


def _whole_domain(**policies):
    document = many_entries.scenario(random.Random(1), 0.01, 1.0).document
    chosen = dataclasses.replace(document.policies, **policies)
    document = dataclasses.replace(document, policies=chosen)
    context = context_module.PolicyContext(
        document,
        ids.InstanceId("placer"),
        driver.DOMAIN,
        random.Random(1),
        whole_domain=True,
    )
    return core.Dispatcher(context, 0.0)


def _job(number):
    return messages.Job(
        request_id=ids.RequestId(f"r{number}"),
        workspace=ids.WorkspaceId("w1"),
        class_id=many_entries.QUESTION,
        service=driver.SERVICE,
        model=ids.ModelId("m"),
        rank=0,
        arrived_s=0.0,
        target_first_token_s=0.5,
        deadline_s=10.0,
        prompt_tokens=1_000,
    )


def _place(dispatcher, number):
    assert dispatcher.offer(_job(number), 0.0) is None
    return [
        each.endpoint
        for each in dispatcher.place(0.0)
        if isinstance(each, messages.Placement)
    ]


def test_endpoint_filled_by_other_instances_gets_nothing(dispatcher):
    # A burst in another domain fills engines here. Further requests would wait
    # inside the engine, where an urgent one can't overtake them.
    full, *others = many_entries.ENDPOINTS
    loads = {each: messages.PeerLoad((0,) * 12, 0, 0.0, 0.0) for each in others}
    dispatcher.set_peer_loads(_PEER, loads)
    assert _place(dispatcher, 1) == [full]
    dispatcher.set_peer_loads(
        _PEER, {full: messages.PeerLoad((0,) * 12, 0, 0.0, 0.0)}
    )
    assert _place(dispatcher, 2) == []
    dispatcher.remove_peer_loads(_PEER)
    assert [each.request_id for each in dispatcher.place(0.0)] == ["r2"]


def test_endpoint_with_reported_prefill_is_avoided(dispatcher):
    free = many_entries.ENDPOINTS[3]
    loads = {
        each: messages.PeerLoad((0,), 1, 50_000.0, 0.0)
        for each in many_entries.ENDPOINTS
        if each != free
    }
    dispatcher.set_peer_loads(_PEER, loads)
    assert _place(dispatcher, 1) == [free]


def test_reported_load_of_own_requests(dispatcher):
    [endpoint] = _place(dispatcher, 1)
    reported = dispatcher.own_loads(5.0)
    assert reported[endpoint].ranks == (0,)
    assert reported[endpoint].unread == 1
    assert reported[endpoint].unread_tokens == pytest.approx(1_000.0)
    dispatcher.first_token(ids.RequestId("r1"), 0.2)
    assert dispatcher.own_loads(5.0)[endpoint].unread == 0


def _long(number, **fields):
    job = _job(number)
    job.class_id = many_entries.DIGEST
    job.rank = 2
    job.prompt_tokens = 17_000
    job.target_first_token_s = 2.0
    for name, value in fields.items():
        setattr(job, name, value)
    return job


def test_urgent_request_goes_to_an_endpoint_full_of_less_urgent_ones(
    dispatcher,
):
    # Long digests hold every slot for seconds. An urgent question that waits
    # for one of them to end is late, though the engine would preempt one.
    full = dict.fromkeys(
        many_entries.ENDPOINTS, messages.PeerLoad((2,) * 12, 0, 0.0, 0.0)
    )
    dispatcher.set_peer_loads(_PEER, full)
    assert dispatcher.offer(_long(1), 0.0) is None
    assert list(dispatcher.place(0.0)) == []
    assert len(_place(dispatcher, 2)) == 1


def test_urgent_request_prefers_a_free_slot_to_preemption(dispatcher):
    # Every engine but one is full of digests. Preempting one of them wastes its
    # prefill; the free slot costs nothing.
    endpoints = [(driver.DOMAIN, each) for each in many_entries.ENDPOINTS]
    free = min(length_partition.short_request_endpoints(endpoints))
    digests = messages.PeerLoad((2,) * 12, 0, 0.0, 0.0)
    loads = dict.fromkeys(many_entries.ENDPOINTS, digests)
    loads[free] = messages.PeerLoad((2,) * 11, 1, 3_000.0, 0.0)
    dispatcher.set_peer_loads(_PEER, loads)
    assert _place(dispatcher, 1) == [free]


def test_endpoint_without_preemption_is_not_filled_beyond_its_slots():
    # Engines without preemption queue requests beyond their slots, or fail. An
    # urgent request sent there all the same would be late or lost.
    dispatcher = _whole_domain(choice="two-candidates")
    full = dict.fromkeys(
        many_entries.ENDPOINTS, messages.PeerLoad((2,) * 12, 0, 0.0, 0.0)
    )
    dispatcher.set_peer_loads(_PEER, full)
    assert _place(dispatcher, 1) == []
