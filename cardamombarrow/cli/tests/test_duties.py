"""The commands `usage` and `capacity`, against a metrics server."""

import json

import pytest

from cardamombarrow.cli import core
from cardamombarrow.control import metrics
from cardamombarrow.control import state as control_state
from cardamombarrow.kernel import http
from cardamombarrow.kernel import ids
from cardamombarrow.log import local

_ORDERS = [
    {
        "service": "writer",
        "domain": "north",
        "spot": True,
        "count": 4,
        "outcome": "taken",
    }
]


@pytest.fixture
def address():
    state = control_state.ControlState()
    holder = state.duties.take(ids.InstanceId("core-1"))
    state.duties.commit(7, {"trails": 3, "clubs": 1}, holder)
    log = local.LocalLog("core-1", state)
    app = metrics.MetricsApp(log, state, lambda: _ORDERS)
    server = http.side_server("127.0.0.1:0", app)
    server.start()
    yield f"127.0.0.1:{server.port}"
    server.stop()


def test_usage_shows_holder_and_windows(address, capsys):
    assert core.run(["usage", address]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == "holder core-1, token 1"
    assert lines[2].split() == ["7", "4", "2", "1", "NO"]


def test_capacity_shows_orders(address, capsys):
    assert core.run(["capacity", address]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[2].split() == ["writer", "north", "spot", "4", "taken"]


def test_json_output(address, capsys):
    assert core.run(["usage", address, "--json"]) == 0
    found = json.loads(capsys.readouterr().out)
    assert found["reports"][0]["counts"] == {"trails": 3, "clubs": 1}


def test_an_unreachable_address_is_reported(capsys):
    assert core.run(["usage", "127.0.0.1:1"]) == 1
    assert "127.0.0.1:1" in capsys.readouterr().err


@pytest.mark.parametrize("command", ["usage", "capacity", "instance"])
@pytest.mark.parametrize(
    ("status", "body"),
    [("200 OK", b"garbage"), ("200 OK", b"[]"), ("500 Failed", b"{}")],
)
def test_an_answer_that_is_no_report_is_an_error(capsys, command, status, body):
    # Guards against a command that ends in a traceback.
    def app(environ, start_response):
        start_response(status, [("Content-Length", str(len(body)))])
        return [body]

    server = http.side_server("127.0.0.1:0", app)
    server.start()
    try:
        assert core.run([command, f"127.0.0.1:{server.port}"]) == 1
    finally:
        server.stop()
    assert "endpoint_failed" in capsys.readouterr().err
