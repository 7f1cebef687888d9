"""Entries of another writer in the list of servers, over real processes."""

import json
import signal

import pytest

from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import urgent_traffic
from tools import deployment

pytestmark = pytest.mark.process

_RUN_S = 2.0
_EACH_PER_S = 30.0


def _foreign(port: int) -> list[bytes]:
    """Returns entries that name the server at a port, none of them sound."""
    sound = {
        "id": "foreign",
        "service": standin.SERVICE,
        "address": f"127.0.0.1:{port}",
        "zone": "a",
        "version": "v1",
        "slots": standin.SLOTS,
        "coldRemainingMs": 0,
        "state": "ready",
    }
    changes = (
        {"slots": "6"},
        {"slots": True},
        {"coldRemainingMs": "0"},
        {"state": "asleep"},
        {"version": 1},
    )
    texts = [json.dumps({**sound, **each}).encode() for each in changes]
    for field in sound:
        part = {name: sound[name] for name in sound if name != field}
        texts.append(json.dumps(part).encode())
    text = json.dumps(sound).encode()
    texts += [
        text.replace(b"foreign", b"for\xff\xfeeign"),
        text.replace(b"6", b"NaN"),
        text.replace(b"foreign", b"for\x00eign"),
    ]
    return texts


def test_foreign_entries_hide_no_server_and_name_none(tmp_path):
    # Guards against processes that know no server after a restart of all, and
    # against requests to a server that only an unreadable entry names.
    with standin.Servers(lambda _: standin.Answer(pause_s=0.05)) as servers:
        for number in range(2):
            servers.start(f"own-{number}")
        strange = servers.start("foreign", state=standin.UNLISTED)
        servers.foreign = _foreign(strange.port)
        plan = urgent_traffic.plan(
            servers.listing_url, {"a": ["a-0", "a-1"]}, {"a": ["control-1"]}
        )
        with deployment.Deployment(plan, tmp_path) as running:
            names = [*running.controls, *running.entries]
            for name in names:
                running.signal(name, signal.SIGKILL)
                running.processes[name].wait()
            for name in names:
                running.start_instance(name)
            for name in running.entries:
                running.wait_ready(name)
            traffic = urgent_traffic.Traffic(running, servers, 1)
            traffic.run(_RUN_S, _EACH_PER_S)
    assert traffic.requests
    assert all(each.answered for each in traffic.requests)
    assert {each.identity for each in servers.received} <= {"own-0", "own-1"}
