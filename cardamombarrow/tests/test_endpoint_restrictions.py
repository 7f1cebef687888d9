"""Engines that ask for a pause or state a departure, with real processes."""

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
target_first_token_s = 1
target_total_s = 30
[workspace:desk]
key_sha256 = {_DIGEST}
classes = question
[service:trio]
kind = engine
endpoints.a = 10.0.0.2:80, 10.0.0.3:80, 10.0.0.4:80
[model:trio]
service = trio
[policies]
retry = window
[owner:operations]
token_sha256 = {_DIGEST}
sections = *
"""
_ENTRIES = ("entry-1", "entry-2", "entry-3")
_PAUSE_S = 3.0
_LOAD_S = 6.0
_CALL_INTERVAL_S = 0.03
_GRACE_S = 0.5


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    plan = deployment.Plan(
        document=_DOCUMENT,
        entries={"a": list(_ENTRIES)},
        controls={"a": ["control-1"]},
        engine_options=("--token-s", "0.005"),
    )
    folder = tmp_path_factory.mktemp("restrictions")
    with deployment.Deployment(plan, folder) as started:
        yield started


def _fetch(address, path, body=None):
    method = "GET" if body is None else "POST"
    return http_get.fetch(
        f"http://{address}{path}", timeout_s=5, method=method, body=body
    ).body


def _set_behaviour(address, **fields):
    _fetch(address, "/standin/behaviour", json.dumps(fields).encode())


def _send_load(running, duration_s=_LOAD_S):
    """Sends requests to all entries in turn; returns the answers."""
    urls = itertools.cycle(running.entries.values())
    with futures.ThreadPoolExecutor(32) as pool:
        pending = []
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            pending.append(
                pool.submit(caller.complete, next(urls), "desk", model="trio")
            )
            time.sleep(_CALL_INTERVAL_S)
        return [future.result() for future in pending]


def _sender_of_requests(running):
    """Returns the entry that sent each request.

    The entry that places for the others writes `place` lines as well, but only
    the sender writes how the run ended.
    """
    return {
        json.loads(line)["request_id"]: name
        for name in _ENTRIES
        for line in running.log(name).splitlines()
        if '"decision": "settle"' in line
    }


def _runs(address):
    return json.loads(_fetch(address, "/standin/runs"))


def test_an_engine_gets_nothing_in_its_pauses_and_callers_are_served(running):
    # Guards against requests within Retry-After of a 503, over three entries.
    resting = running.engines["trio"][0]
    _set_behaviour(resting, pause=str(_PAUSE_S))
    answers = _send_load(running)
    _set_behaviour(resting, pause="")
    assert {answer.status for answer in answers} == {200}
    turned_away = [
        run for run in _runs(resting) if run["outcome"] == "turned away"
    ]
    senders = _sender_of_requests(running)
    by_entry = {name: [] for name in _ENTRIES}
    for run in turned_away:
        by_entry[senders[run["request_id"]]].append(run["at_unix_s"])
    assert turned_away
    for name, times in by_entry.items():
        for told_s in times:
            in_pause = [
                at_s
                for at_s in times
                if told_s + _GRACE_S < at_s < told_s + _PAUSE_S
            ]
            assert in_pause == [], name


def test_an_engine_gets_nothing_after_it_stated_its_departure(running):
    # Guards against requests to an engine that stops, whatever its list says.
    # An entry that has not been told yet may send it one.
    _send_load(running, 1.0)
    leaving = max(running.engines["trio"], key=lambda each: len(_runs(each)))
    before = len(_runs(leaving))
    _set_behaviour(leaving, departure=True)
    answers = _send_load(running, 5.0)
    assert {answer.status for answer in answers} == {200}
    runs = _runs(leaving)[before:]
    assert runs
    senders = _sender_of_requests(running)
    by_entry = {name: [] for name in _ENTRIES}
    for run in runs:
        by_entry[senders[run["request_id"]]].append(run["at_unix_s"])
    for name, times in by_entry.items():
        told_s = min(times, default=0.0)
        assert all(at_s <= told_s + _GRACE_S for at_s in times), name


def test_callers_learn_the_end_of_the_pause_when_all_engines_rest(running):
    # Guards against holding callers, and against an early time to come back.
    for address in running.engines["trio"]:
        _set_behaviour(address, pause="30")

    def is_refused():
        answer = caller.complete(
            next(iter(running.entries.values())), "desk", model="trio"
        )
        return answer.status == 429

    assert deployment.wait_until(is_refused)
    answer = caller.complete(
        next(iter(running.entries.values())), "desk", model="trio"
    )
    assert answer.error["not_run"]
    assert answer.error["retry_after_s"] > 15.0
