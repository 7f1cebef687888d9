"""What other deciding instances have on an endpoint counts there."""

import dataclasses
import random

import pytest

from benchmarks import driver
from benchmarks import many_entries
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import lanes
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

_PEER = ids.InstanceId("placer of another domain")
_OTHER = ids.InstanceId("placer of a third one")


def _state():
    return endpoint_module.EndpointState(
        ids.EndpointId("e"), driver.SERVICE, driver.DOMAIN, 12
    )


def test_reading_that_others_gave_it_passes_with_time():
    state = _state()
    state.others[_PEER] = messages.PeerLoad((0, 0), 2, 10_000.0, 100.0)
    state.others[_OTHER] = messages.PeerLoad((0,), 1, 1_000.0, 100.0)
    token_s = 0.0001
    assert state.others_reading_s(token_s, 100.0) == pytest.approx(1.1)
    assert state.others_reading_s(token_s, 100.5) == pytest.approx(0.5)
    assert state.others_reading_s(token_s, 102.0) == 0.0


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


def test_an_endpoint_that_others_have_filled_gets_nothing(dispatcher):
    # A burst in the next domain fills engines here. Placed on them too, the
    # requests of both wait inside the engine, where no urgent one overtakes.
    full, *others = many_entries.ENDPOINTS
    loads = {each: messages.PeerLoad((0,) * 12, 0, 0.0, 0.0) for each in others}
    dispatcher.set_others(_PEER, loads)
    assert _place(dispatcher, 1) == [full]
    dispatcher.set_others(
        _PEER, {full: messages.PeerLoad((0,) * 12, 0, 0.0, 0.0)}
    )
    assert _place(dispatcher, 2) == []
    dispatcher.forget_others(_PEER)
    assert [each.request_id for each in dispatcher.place(0.0)] == ["r2"]


def test_an_endpoint_that_reads_for_others_is_passed_over(dispatcher):
    free = many_entries.ENDPOINTS[3]
    loads = {
        each: messages.PeerLoad((0,), 1, 50_000.0, 0.0)
        for each in many_entries.ENDPOINTS
        if each != free
    }
    dispatcher.set_others(_PEER, loads)
    assert _place(dispatcher, 1) == [free]


def test_what_is_told_of_own_requests(dispatcher):
    [endpoint] = _place(dispatcher, 1)
    told = dispatcher.own_loads(5.0)
    assert told[endpoint].ranks == (0,)
    assert told[endpoint].unread == 1
    assert told[endpoint].unread_tokens == pytest.approx(1_000.0)
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


def test_an_urgent_request_goes_where_only_less_urgent_ones_have_the_places(
    dispatcher,
):
    # Long digests hold every place for seconds. A runner's question that
    # waits until one of them ends is late; the engine would put one back.
    full = dict.fromkeys(
        many_entries.ENDPOINTS, messages.PeerLoad((2,) * 12, 0, 0.0, 0.0)
    )
    dispatcher.set_others(_PEER, full)
    assert dispatcher.offer(_long(1), 0.0) is None
    assert list(dispatcher.place(0.0)) == []
    assert len(_place(dispatcher, 2)) == 1


def test_an_urgent_request_takes_a_free_place_before_it_displaces(dispatcher):
    # Every engine but one is full of digests. To put one back costs the engine
    # the reading of its prompt, to take the free place costs nothing.
    places = [(driver.DOMAIN, each) for each in many_entries.ENDPOINTS]
    free = min(lanes.quiet_endpoints(places))
    digests = messages.PeerLoad((2,) * 12, 0, 0.0, 0.0)
    loads = dict.fromkeys(many_entries.ENDPOINTS, digests)
    loads[free] = messages.PeerLoad((2,) * 11, 1, 3_000.0, 0.0)
    dispatcher.set_others(_PEER, loads)
    assert _place(dispatcher, 1) == [free]


def test_an_endpoint_that_puts_nothing_back_is_not_filled_beyond_its_places():
    # Engines of other kinds only queue what is above their places, or fail.
    # Handed an urgent request all the same, they make it late or lose it.
    dispatcher = _whole_domain(choice="two-candidates")
    full = dict.fromkeys(
        many_entries.ENDPOINTS, messages.PeerLoad((2,) * 12, 0, 0.0, 0.0)
    )
    dispatcher.set_others(_PEER, full)
    assert _place(dispatcher, 1) == []
