"""Tests of usage reports and orders of servers, over HTTP."""

from http import server
import json
import threading

import pytest

from cardamombarrow.duties import base
from cardamombarrow.kernel import ids
from cardamombarrow.orders import machine
from cardamombarrow.platform import configuration
from cardamombarrow.platform import duties

_HOLDER = machine.Holder(ids.InstanceId("core-a-1"), 12)
_REPORT = base.UsageReport(353, {ids.WorkspaceId("hule"): 4})
_ORDER = base.EndpointOrder(
    ids.ServiceId("letters"), ids.DomainId("accra-osu"), True, 6
)


class _Platform:
    def __init__(self):
        platform = self
        self.status = 200
        self.calls = []

        class Handler(server.BaseHTTPRequestHandler):
            def do_POST(self):
                length = int(self.headers["Content-Length"])
                platform.calls.append(
                    (
                        self.path,
                        self.headers["Duty-Holder"],
                        self.headers["Fencing-Token"],
                        json.loads(self.rfile.read(length)),
                    )
                )
                self.send_response(platform.status)
                self.send_header("Content-Length", "0")
                self.end_headers()

            def log_message(self, *args):
                pass

        self.server = server.HTTPServer(("127.0.0.1", 0), Handler)
        self.url = f"http://127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever).start()


@pytest.fixture
def platform():
    made = _Platform()
    yield made
    made.server.shutdown()
    made.server.server_close()


def test_usage_is_told_under_the_token(platform):
    outcome = duties.PlatformGateway().send(platform.url, _REPORT, _HOLDER)
    assert outcome is base.Outcome.TAKEN
    body = {"windowId": 353, "counts": {"hule": 4}}
    assert platform.calls == [("/usage", "core-a-1", "12", body)]


def test_an_order_has_a_kind_only_for_spot_servers(platform):
    gateway = duties.PlatformGateway()
    gateway.send(platform.url, _ORDER, _HOLDER)
    regular = base.EndpointOrder(_ORDER.service, _ORDER.domain, False, 2)
    gateway.send(platform.url, regular, _HOLDER)
    bodies = [call[3] for call in platform.calls]
    assert bodies == [
        {
            "service": "letters",
            "zone": "accra-osu",
            "desired": 6,
            "spot": True,
        },
        {"service": "letters", "zone": "accra-osu", "desired": 2},
    ]


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (409, base.Outcome.REFUSED),
        (429, base.Outcome.UNAVAILABLE),
        (400, base.Outcome.INVALID),
        (500, base.Outcome.UNKNOWN),
    ],
)
def test_statuses_are_mapped_to_outcomes(platform, status, outcome):
    platform.status = status
    found = duties.PlatformGateway().send(platform.url, _REPORT, _HOLDER)
    assert found is outcome


def test_an_unreachable_platform_is_unavailable(platform):
    platform.server.shutdown()
    platform.server.server_close()
    found = duties.PlatformGateway().send(platform.url, _REPORT, _HOLDER)
    assert found is base.Outcome.UNAVAILABLE


def _service(scaling):
    raw = {"name": "letters", "engine": {"slots": 64}, "scaling": scaling}
    reader = configuration._Reader()
    return reader.service(raw).scaling


def test_scaling_is_read():
    scaling = _service(
        {
            "min": 1,
            "max": 10,
            "bootS": 4.0,
            "spotPrice": 0.22,
            "zonePrices": {"accra-osu": 0.85},
        }
    )
    assert (scaling.least, scaling.most, scaling.boot_s) == (1, 10, 4.0)
    assert scaling.prices == {"accra-osu": 0.85}


@pytest.mark.parametrize(
    "scaling",
    [
        {"min": 5, "max": 2, "zonePrices": {"accra-osu": 1.0}},
        {"min": 1, "max": 2, "zonePrices": {}},
        {"min": 1, "max": 2},
        {"min": "one", "max": 2, "zonePrices": {"accra-osu": 1.0}},
        7,
    ],
)
def test_a_service_with_invalid_bounds_is_not_scaled(scaling):
    assert _service(scaling) is None
