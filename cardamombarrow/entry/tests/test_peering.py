"""Communication of a starting entry with the control processes."""

from concurrent import futures
import threading
from unittest import mock

from cardamombarrow.entry import peering
from cardamombarrow.entry import settings as entry_settings
from cardamombarrow.entry.documents import in_force
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import settings
from cardamombarrow.peers.control import control_pb2

_SETTINGS = """
[instance]
id = entry-1
domain = near
[http]
port = 8080
[peers]
port = 8081
secret = a-secret-of-the-tests
controls = 127.0.0.1:8082
"""


def _answered(message):
    future = futures.Future()
    future.set_result(message)
    return future


def test_a_control_process_without_power_does_not_delay_a_start():
    # One control process has lost power while an entry restarts. The entry
    # waited for its answer twice, for 2 s each, before it followed one of the
    # others, and its callers were refused for that time.
    answer = control_pb2.DocumentMessage()
    asked = []

    def ask():
        asked.append(1)
        return [_answered(answer), _answered(answer), futures.Future()]

    start = threading.Thread(
        target=lambda: peering.probe_controls(ask), daemon=True
    )
    start.start()
    start.join(timeout=30)
    assert not start.is_alive()
    assert len(asked) == 1


def test_a_control_process_that_is_still_starting_is_asked_again():
    answers = [None, control_pb2.DocumentMessage()]
    peering.probe_controls(lambda: [_answered(answers.pop(0))])
    assert not answers


def test_a_confirmation_may_arrive_at_any_point_of_joining(monkeypatch):
    # Guards against an entry that refuses everything as out of date, because a
    # reply that arrived while it joined ended its confirmations.
    joining = peering.Peering(
        settings.parse(entry_settings.EntrySettings, _SETTINGS),
        in_force.DocumentInForce(),
        clock.SystemClock(),
    )
    reply = control_pb2.ConfirmReply(confirmed=True)
    replies = []

    def reply_arrives(*_):
        joining._confirm_request("control-1")
        joining._on_confirmed("control-1", 0.0, reply)
        replies.append(1)

    def build_bridge(*args):
        reply_arrives()
        return bridge(*args)

    bridge = peering.gossip_bridge_module.GossipBridge
    monkeypatch.setattr(
        peering.gossip_bridge_module, "GossipBridge", build_bridge
    )
    broker = mock.create_autospec(broker_module.Broker, instance=True)
    broker.runs.return_value = []
    broker.take_cache_announcements.return_value = []
    for name in dir(broker):
        if name.startswith("set_"):
            getattr(broker, name).side_effect = reply_arrives
    joining.join({}, broker, mock.Mock())
    assert replies
