"""Usage counted by entries and reported by one duty holder.

Runs real processes.
"""

import collections
import json
import signal
import time

import pytest

from cardamombarrow.endpoints import http_get
from tools import caller
from tools import deployment

pytestmark = pytest.mark.process

NAMES = ("control-1", "control-2", "control-3")
DOMAINS = ("nuwara-a", "badulla-a", "ratnapura-a")
WINDOW_S = 1.0
REPORT_TIMEOUT_S = 25.0
"""Time for an election, a lease and a report."""


@pytest.fixture(scope="module")
def running(kandula_text, tmp_path_factory):
    plan = deployment.Plan(
        document=kandula_text,
        entries={"nuwara-a": ["entry-1"], "badulla-a": ["entry-2"]},
        controls={d: [n] for d, n in zip(DOMAINS, NAMES, strict=True)},
        entry_extra={
            "document": "confirmed_within_s = 10\n",
            "metering": f"window_s = {WINDOW_S}\n",
        },
        control_extra=(
            "[duties]\nurl = {platform}\nreports_usage = yes\n"
            f"window_s = {WINDOW_S}\nusage_late_s = 6\nlease_ms = 2000\n"
        ),
    )
    folder = tmp_path_factory.mktemp("duties")
    with deployment.Deployment(plan, folder) as started:
        yield started


def _usage_calls(running):
    url = running.listing_url.replace("/v1/listing", "/standin/calls")
    found = json.loads(http_get.fetch(url, timeout_s=5.0).body)
    return [call for call in found if call["path"] == "/v1/usage"]


def _reported(running):
    """Returns requests by workspace; checks that reports of a window agree."""
    windows = {}
    for call in _usage_calls(running):
        first = windows.setdefault(call["window"], call["counts"])
        assert first == call["counts"]
    total = collections.Counter()
    for counts in windows.values():
        total.update(counts)
    return total


def _send(running, entry, count):
    for _ in range(count):
        answer = caller.complete(
            running.entries[entry], "race-control", model="trail-7b", tokens=2
        )
        assert answer.status == 200


def test_usage_is_complete_after_the_holder_is_lost(running):
    # Guards against losing counts together with the control process that
    # reports them.
    assert deployment.wait_until(lambda: bool(_usage_calls(running)))
    _send(running, "entry-1", 5)
    _send(running, "entry-2", 3)
    holder = _usage_calls(running)[-1]["holder"]
    running.signal(holder, signal.SIGKILL)
    _send(running, "entry-1", 4)
    assert deployment.wait_until(
        lambda: _reported(running)["race-control"] >= 12, REPORT_TIMEOUT_S
    )
    time.sleep(2 * WINDOW_S)
    assert _reported(running) == {"race-control": 12}
    holders = {}
    for call in _usage_calls(running):
        assert (
            holders.setdefault(call["token"], call["holder"])
            == (call["holder"])
        )
    assert len(set(holders.values())) == 2
