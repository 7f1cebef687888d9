"""Endpoints that state a rate limit, with real processes."""

from concurrent import futures
import itertools
import json
import time

import pytest

from cardamombarrow.endpoints import http_get
from tools import caller
from tools import deployment

pytestmark = pytest.mark.process

_DIGEST = "fd501e4e4eabb3b62f313e4d323048dfbddebb4d702c7b63512125b3fa21dd28"
_DOCUMENT = f"""
[tier:race]
rank = 0
[class:question]
tier = race
target_first_token_s = 5
target_total_s = 30
[workspace:desk]
key_sha256 = {_DIGEST}
classes = question
[service:pair]
kind = engine
endpoints.a = 10.0.0.2:80, 10.0.0.3:80
[service:shop]
kind = plain
endpoints.a = 10.0.0.4:80
[model:pair]
service = pair
[policies]
admission = bounded
choice = round-robin
[owner:operations]
token_sha256 = {_DIGEST}
sections = *
"""
_LIMIT_PER_S = 1.0
_WINDOW_S = 4.0
_MAX_RUNS_IN_WINDOW = 1.5 * _LIMIT_PER_S * _WINDOW_S + 5
_LOAD_DURATION_S = 8.0
_CALL_INTERVAL_S = 0.1


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    plan = deployment.Plan(
        document=_DOCUMENT,
        entries={"a": ["entry-1", "entry-2", "entry-3"]},
        controls={"a": ["control-1"]},
        engine_options=("--token-s", "0.01"),
    )
    folder = tmp_path_factory.mktemp("rate-limit")
    with deployment.Deployment(plan, folder) as started:
        yield started


def _fetch(address, path, body=None):
    method = "GET" if body is None else "POST"
    return http_get.fetch(
        f"http://{address}{path}", timeout_s=5, method=method, body=body
    ).body


def _set_rate_limit(address, limit):
    _fetch(
        address,
        "/standin/behaviour",
        json.dumps({"rate_limit": limit}).encode(),
    )


def _all_entries_count(running, count):
    """Returns whether every entry counts this many limited endpoints."""
    line = f"cardamombarrow_rate_limited_endpoints {count}\n".encode()
    texts = [
        http_get.fetch(f"{url}/metrics", timeout_s=5).body
        for url in running.entries.values()
    ]
    return all(line in text for text in texts)


def _complete(url):
    return caller.complete(url, "desk", model="pair").status


def _call_until_counted(running, send, count):
    urls = itertools.cycle(running.entries.values())

    def counted():
        send(next(urls))
        return _all_entries_count(running, count)

    assert deployment.wait_until(counted)


def _send_load(running):
    urls = itertools.cycle(running.entries.values())
    pending = []
    with futures.ThreadPoolExecutor(16) as pool:
        end_s = time.monotonic() + _LOAD_DURATION_S
        while time.monotonic() < end_s:
            pending.append(pool.submit(_complete, next(urls)))
            time.sleep(_CALL_INTERVAL_S)
    return [future.result() for future in pending]


def test_entries_share_a_stated_limit_until_it_ends(running):
    # Guards against each entry applying the whole limit on its own, or none.
    limited = running.engines["pair"][0]
    _set_rate_limit(limited, str(_LIMIT_PER_S))
    _call_until_counted(running, _complete, 1)
    before = len(json.loads(_fetch(limited, "/standin/runs")))
    statuses = _send_load(running)
    runs = json.loads(_fetch(limited, "/standin/runs"))[before:]
    at_s = [run["at_unix_s"] for run in runs]
    assert set(statuses) == {200}
    assert at_s
    assert (
        max(sum(b <= s < b + _WINDOW_S for s in at_s) for b in at_s)
        <= _MAX_RUNS_IN_WINDOW
    )
    _set_rate_limit(limited, "")
    _call_until_counted(running, _complete, 0)


def test_call_without_an_available_endpoint_is_refused_at_once(running):
    # Guards against holding callers until their deadline.
    limited = running.engines["shop"][0]
    _set_rate_limit(limited, "0")

    def call(url):
        return caller.service(url, "desk", "shop/read", method="GET")

    _call_until_counted(running, call, 1)
    answers = [call(url) for url in running.entries.values() for _ in range(3)]
    refused = [answer for answer in answers if answer.status != 200]
    assert refused
    assert {answer.status for answer in refused} <= {429, 503}
    assert all(answer.error["not_run"] for answer in refused)
    assert all(answer.error["retry_after_s"] for answer in refused)
    _set_rate_limit(limited, "")
