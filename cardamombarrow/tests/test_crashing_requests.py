"""A request that crashes endpoints, resent through entries of all domains."""

from concurrent import futures
import itertools
import signal
import time

import pytest

from cardamombarrow.entry.documents import control_news
from tools import caller
from tools import deployment
from tools import engine_restarter

pytestmark = pytest.mark.process

_DIGEST = "fd501e4e4eabb3b62f313e4d323048dfbddebb4d702c7b63512125b3fa21dd28"
_DOMAINS = ("a", "b", "c")
_DOCUMENT = f"""
[tier:race]
rank = 0
[class:booking]
tier = race
target_first_token_s = 5
target_total_s = 10
[workspace:desk]
key_sha256 = {_DIGEST}
classes = booking
[service:desk]
kind = plain
unrepeatable = POST /book
endpoints.a = 10.0.0.1:80
endpoints.b = 10.0.0.2:80
endpoints.c = 10.0.0.3:80
[owner:operations]
token_sha256 = {_DIGEST}
sections = *
"""
_MARKER = "standin-crash"
_CRASHES_BEFORE = 3
_CONTACT_S = 4.0
"""Time within which the entries have to know of the crashes."""

_MOST_RETRIES = 3
"""Retries that may still reach an endpoint after that time."""

_RESTART_S = 0.3


def _is_quarantined(answer):
    return answer.error is not None and answer.error["code"] == "quarantined"


def _book(url, body, key):
    return caller.service(url, "desk", "desk/book", body=body, key=key)


@pytest.fixture
def running(tmp_path):
    plan = deployment.Plan(
        document=_DOCUMENT,
        entries={name: [f"{name}-1", f"{name}-2"] for name in _DOMAINS},
        controls={name: [f"control-{name}"] for name in _DOMAINS},
        engine_options=("--crash-marker", _MARKER),
    )
    with deployment.Deployment(plan, tmp_path) as started:
        yield started


def test_resends_through_other_entries_crash_no_more_endpoints(running):
    # Guards against each entry, or domain, losing endpoints of its own to a
    # request that has crashed three.
    keys = (f"key-{number}" for number in itertools.count())
    urls = list(running.entries.values())
    bad = f"book {_MARKER}".encode()
    with engine_restarter.EngineRestarter(
        running, "desk", _RESTART_S
    ) as restarter:
        for url in itertools.cycle(urls):
            if restarter.count >= _CRASHES_BEFORE:
                break
            _book(url, bad, next(keys))
            time.sleep(2 * _RESTART_S)
        time.sleep(_CONTACT_S)
        before = restarter.count
        for url in 2 * urls:
            answer = _book(url, bad, next(keys))
            assert answer.status != 200
            time.sleep(2 * _RESTART_S)
        crashes = restarter.count - before
        with futures.ThreadPoolExecutor(6) as pool:
            harmless = list(
                pool.map(lambda url: _book(url, b"ok", next(keys)), urls)
            )
    assert crashes <= _MOST_RETRIES
    assert [answer.status for answer in harmless] == [200] * len(urls)


def test_a_restarted_entry_knows_of_the_crashes_before_it(running):
    # Guards against one more endpoint lost with each start of an entry.
    keys = (f"key-{number}" for number in itertools.count())
    bad = f"again {_MARKER}".encode()
    with engine_restarter.EngineRestarter(
        running, "desk", _RESTART_S
    ) as restarter:
        urls = itertools.cycle(running.entries.values())
        while not _is_quarantined(_book(next(urls), bad, next(keys))):
            time.sleep(2 * _RESTART_S)
        assert deployment.wait_until(
            lambda: all(
                '"decision": "quarantine"' in running.log(name)
                for name in running.entries
            )
        )
        before = restarter.count
        running.restart("c-1", signal.SIGKILL)
        assert deployment.wait_until(
            lambda: _is_quarantined(
                _book(running.entries["c-1"], bad, next(keys))
            ),
            5.0,
        )
        assert restarter.count == before


def _restart_together(running, names):
    for name in names:
        running.signal(name, signal.SIGKILL)
        running.processes[name].wait()
    for name in names:
        running.start_instance(name)
    for name in names:
        running.wait_ready(name)


def test_control_processes_and_entries_restarted_in_turn_know_of_crashes(
    running,
):
    # Guards against a request that crashes endpoints again once all control
    # processes, and then the entries of each domain, have restarted.
    keys = (f"key-{number}" for number in itertools.count())
    bad = f"turn {_MARKER}".encode()
    with engine_restarter.EngineRestarter(
        running, "desk", _RESTART_S
    ) as restarter:
        urls = itertools.cycle(running.entries.values())
        while not _is_quarantined(_book(next(urls), bad, next(keys))):
            time.sleep(2 * _RESTART_S)
        time.sleep(control_news.SUSPECTS_SENT_S + 1.0)
        before = restarter.count
        for name in running.controls:
            running.restart(name, signal.SIGKILL)
        for domain in _DOMAINS:
            names = [f"{domain}-1", f"{domain}-2"]
            _restart_together(running, names)
            for name in names:
                assert deployment.wait_until(
                    lambda name=name: (
                        '"decision": "quarantine"'
                        in running.log(name).rpartition("entry starting")[2]
                    ),
                    _CONTACT_S,
                )
                answer = _book(running.entries[name], bad, next(keys))
                assert _is_quarantined(answer)
        assert restarter.count == before
