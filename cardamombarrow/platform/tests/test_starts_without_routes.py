"""Entries that start while the configuration in force has no routes."""

import json
import signal

import pytest

from cardamombarrow.platform.tests import platform_plan
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from cardamombarrow.platform.tests import urgent_traffic
from tools import deployment

pytestmark = pytest.mark.process

_ENTRIES = {"a": ["a-1", "a-2"], "b": ["b-1"]}
_ROUTE = stream_client.Route("long", limit_ms=10_000)
_NAMES = ("routes", "services", "tenants")


@pytest.mark.parametrize("count", [1, 3])
def test_entries_start_while_no_route_exists(tmp_path, count):
    # Guards against entries that end, over and over, under a configuration
    # whose lists are empty.
    whole = stream_client.configuration((_ROUTE,), version=3)
    empty = {**whole, "version": 2, **{key: [] for key in _NAMES[:count]}}
    with standin.Servers(lambda _: standin.Answer()) as servers:
        servers.start("i-1")
        plan = platform_plan.plan(empty, servers.listing_url, _ENTRIES)
        with deployment.Deployment(plan, tmp_path) as running:
            editions = urgent_traffic.Editions(running)
            for name in running.entries:
                running.restart(name, signal.SIGTERM)
            assert editions.send_text(json.dumps(whole))
            assert deployment.wait_until(
                lambda: stream_client.call(running, "long", "1.1").status == 200
            )
            assert editions.send_text(json.dumps({**empty, "version": 4}))
            running.restart("a-1", signal.SIGKILL)
            for name in running.entries:
                assert running.processes[name].poll() is None
                assert "not taken" not in running.log(name)
