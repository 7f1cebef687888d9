"""Counts that are updated with each event, against counting all requests."""

import hypothesis
from hypothesis import strategies

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

_REQUESTS = strategies.integers(0, 4)
_PEERS = strategies.sampled_from(["entry-2", "entry-3"])
_LOADS = strategies.one_of(
    strategies.none(),
    strategies.builds(
        messages.PeerLoad,
        strategies.lists(strategies.integers(0, 9), max_size=4).map(tuple),
        strategies.integers(0, 4),
        strategies.just(0.0),
        strategies.just(0.0),
    ),
)
_EVENTS = strategies.one_of(
    strategies.tuples(strategies.just("toggle"), _REQUESTS),
    strategies.tuples(strategies.just("first token"), _REQUESTS),
    strategies.tuples(strategies.just("peer"), _PEERS, _LOADS),
)


def _running(number):
    job = messages.Job(
        ids.RequestId(f"r{number}"),
        ids.WorkspaceId("one"),
        ids.ClassId("chat"),
        ids.ServiceId("models"),
        ids.ModelId("m"),
        rank=0,
        arrived_s=0.0,
        target_first_token_s=1.0,
        deadline_s=2.0,
    )
    return messages.Running(job, ids.EndpointId("a:1"), 0.0)


def _apply(state, event):
    match event:
        case "toggle", number:
            request_id = ids.RequestId(f"r{number}")
            if request_id in state.running:
                state.remove(request_id)
            else:
                state.add(_running(number))
        case "first token", number:
            running = state.running.get(ids.RequestId(f"r{number}"))
            if running is not None:
                state.set_first_token(running, 1.0)
        case "peer", instance, load:
            state.set_peer_load(ids.InstanceId(instance), load)


@hypothesis.given(strategies.lists(_EVENTS, max_size=40))
def test_counts_follow_requests_and_reported_loads(events):
    # Guards against an endpoint that looks full, or empty, for good.
    state = endpoint_module.EndpointState(
        ids.EndpointId("a:1"), ids.ServiceId("models"), ids.DomainId("a"), 8
    )
    for event in events:
        _apply(state, event)
        own = sum(each.first_token_s is None for each in state.running.values())
        peers = state.peer_loads.values()
        assert state.unread == own + sum(each.unread for each in peers)
        reported = sum(len(each.ranks) for each in peers)
        assert state.total_running == len(state.running) + reported
