"""Sharing of rate limits between the instances of a domain."""

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.limiting import rate_limits
from cardamombarrow.gossip import rows
from cardamombarrow.kernel import ids
from cardamombarrow.peers.gossip import codec as gossip_codec
from cardamombarrow.peers.gossip import gossip_pb2
from cardamombarrow.peers.gossip import rate_limits as rate_limit_gossip

_ENDPOINT = ids.EndpointId("10.0.0.1:80")
_KEY = (rows.ItemKind.RATE_LIMIT, rows.endpoint_hash(_ENDPOINT))


def _limit(per_s, received_s):
    return messages.RateLimit(per_s, received_s)


class _Broker:
    """Stores rate limits, without a dispatcher."""

    def __init__(self):
        self.limits = rate_limits.RateLimits()
        self.now_s = 0.0

    def rate_limits_to_announce(self):
        return self.limits.to_announce(self.now_s)

    def update_rate_limit(self, endpoint, limit, source):
        before = self.limits.update(endpoint, limit, is_direct=False)
        return before is not None


def _transmit(items, now_s):
    """Converts a row's items for an instance whose clock is 1,000 s ahead."""
    delta = rows.RowDelta(
        ids.InstanceId("e"), 1, 2, 1, 0.0, rows.RowHeader("a", 1), items
    )
    wire = gossip_codec.delta_to_wire(delta, now_s)
    parsed = gossip_pb2.GossipRow.FromString(wire.SerializeToString())
    return gossip_codec.delta_from_wire(parsed, now_s + 1_000.0).items


@pytest.mark.parametrize("per_s", [0.0, 1.2, None])
def test_a_limit_and_its_end_arrive_with_their_age(per_s):
    items = _transmit([(_KEY, _limit(per_s, 7.5))], 10.0)
    assert items == [(_KEY, _limit(per_s, 1_007.5))]


def test_a_removed_limit_arrives_as_removed():
    assert _transmit([(_KEY, None)], 10.0) == [(_KEY, None)]


def test_a_changed_limit_is_urgent_until_it_is_published():
    # Guards against a delay of seconds in which all others keep sending.
    broker = _Broker()
    news = rate_limit_gossip.RateLimitGossip(broker)
    assert not news.is_urgent()
    for per_s in (1.0, 0.5, None):
        broker.now_s += 1.0
        broker.limits.update(_ENDPOINT, _limit(per_s, broker.now_s))
        assert news.is_urgent()
        assert news.collect()[_KEY].per_s == per_s
        assert not news.is_urgent()


def test_a_limit_that_is_stated_again_is_rarely_published_again():
    broker = _Broker()
    news = rate_limit_gossip.RateLimitGossip(broker)
    published_s = set()
    for step in range(100):
        broker.now_s = step * 0.1
        broker.limits.update(_ENDPOINT, _limit(1.0, broker.now_s))
        published_s.add(news.collect()[_KEY].received_s)
    assert len(published_s) <= 100 * 0.1 / rate_limit_gossip.RENEWAL_S + 1


def test_an_older_limit_of_another_instance_changes_nothing():
    broker = _Broker()
    news = rate_limit_gossip.RateLimitGossip(broker)
    broker.limits.update(_ENDPOINT, _limit(None, 5.0))
    assert news.apply_remote(_ENDPOINT, _limit(1.0, 6.0), ids.InstanceId("e"))
    broker.limits.update(_ENDPOINT, _limit(None, 7.0))
    assert not news.apply_remote(
        _ENDPOINT, _limit(1.0, 6.5), ids.InstanceId("e")
    )
    assert broker.limits.limit(_ENDPOINT) is None
