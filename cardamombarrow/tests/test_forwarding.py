"""Entries that lose their paths to all endpoints, and to nothing else."""

from concurrent import futures
import itertools
import json
import signal
import time

import pytest

from cardamombarrow.endpoints import http_get
from tools import caller
from tools import cut_off
from tools import deployment
from tools.standin import cut_links

pytestmark = pytest.mark.process

_CONTACT_S = 4.0
"""Time from the cut after which callers have to be served as elsewhere."""

_LOAD_S = 4.0
_CALL_INTERVAL_S = 0.08
_ALLOWED_FAILED = 10
_ALLOWED_FAILED_SHARE = 1 / 50
_LEAST_RATIO = 2 / 3


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    folder = tmp_path_factory.mktemp("forwarding")
    with deployment.Deployment(cut_off.plan(), folder) as started:
        yield started


def _load(running, duration_s, numbers):
    """Sends first tries to all entries; returns statuses by entry."""
    names = [name for group in cut_off.ENTRIES.values() for name in group]
    turns = itertools.cycle(names)
    pending = {name: [] for name in names}
    end_s = time.monotonic() + duration_s
    with futures.ThreadPoolExecutor(64) as pool:
        while time.monotonic() < end_s:
            name = next(turns)
            pending[name].append(
                pool.submit(cut_off.send, running, name, next(numbers))
            )
            time.sleep(_CALL_INTERVAL_S)
    return {
        name: [future.result().status for future in group]
        for name, group in pending.items()
    }


_numbers = itertools.count()


@pytest.mark.parametrize("mode", list(cut_links.CutMode))
@pytest.mark.parametrize(
    "cut", [("a-1",), ("a-1", "a-2"), ("a-1", "a-2", "a-3")]
)
def test_callers_of_cut_entries_are_served_like_others(running, cut, mode):
    # Guards against callers that are refused by an entry without a path to any
    # endpoint while its neighbours serve, also if its whole domain is cut off.
    with cut_off.cut(running, cut, mode):
        _load(running, _CONTACT_S, _numbers)
        statuses = _load(running, _LOAD_S, _numbers)
    served = {True: [], False: []}
    for name, group in statuses.items():
        served[name in cut] += [status == 200 for status in group]
    ratio = {key: sum(each) / len(each) for key, each in served.items()}
    everyone = served[True] + served[False]
    failed = len(everyone) - sum(everyone)
    assert ratio[True] >= _LEAST_RATIO * ratio[False], ratio
    assert failed <= _ALLOWED_FAILED + _ALLOWED_FAILED_SHARE * len(everyone)
    # The path is back: no request may be lost on the way to direct ones.
    statuses = _load(running, 2.0, _numbers)
    assert {each for group in statuses.values() for each in group} == {200}


def _runs(running, service):
    return [
        run
        for address in running.engines[service]
        for run in json.loads(
            http_get.fetch(f"http://{address}/standin/runs", timeout_s=5).body
        )
    ]


def test_an_unrepeatable_call_runs_once_whatever_entry_serves_it(running):
    # Guards against a charge that the first entry and the one that it was
    # forwarded to both make.
    with cut_off.cut(running, ("a-1",), cut_links.CutMode.HANG):
        _load(running, _CONTACT_S, _numbers)
        bodies = [f"charge-{number}".encode() for number in range(20)]
        answers = [
            caller.service(
                running.entries["a-1"],
                "desk",
                "shop/charge",
                body=body,
                key=body.decode(),
            )
            for body in bodies
        ]
        again = [
            caller.service(
                running.entries["b-1"],
                "desk",
                "shop/charge",
                body=body,
                key=body.decode(),
            )
            for body in bodies
        ]
    assert [answer.status for answer in (*answers, *again)] == [200] * 40
    ran = [run["body"].encode() for run in _runs(running, "shop")]
    assert [ran.count(body) for body in bodies] == [1] * len(bodies)


def test_a_forwarded_request_ends_when_its_caller_leaves(running):
    # Guards against engines that go on for callers who have left.
    with cut_off.cut(running, ("a-1",), cut_links.CutMode.REFUSE):
        _load(running, _CONTACT_S, _numbers)
        before = len(_runs(running, "engines"))
        url = running.entries["a-1"]
        caller.begin_and_leave(url, "desk", model="engines", tokens=2_000)
        assert deployment.wait_until(
            lambda: len(_runs(running, "engines")) > before
        )
        assert deployment.wait_until(
            lambda: (
                "running"
                not in [run["outcome"] for run in _runs(running, "engines")]
            ),
            5.0,
        )


def test_requests_without_a_token_are_refused(running):
    # Guards against anyone who reaches the port of forwarded requests.
    address = running.forward_addresses["a-2"]
    answer = caller.service(f"http://{address}", "desk", "shop/x", method="GET")
    assert answer.status == 403


def test_entries_that_take_over_may_die(running):
    # Guards against requests that go on to an entry that is gone.
    with cut_off.cut(running, ("a-1", "a-2"), cut_links.CutMode.HANG):
        _load(running, _CONTACT_S, _numbers)
        running.signal("a-3", signal.SIGKILL)
        running.processes["a-3"].wait()
        answers = [
            cut_off.send(running, "a-1", next(_numbers)) for _ in range(12)
        ]
        running.start_instance("a-3")
        running.wait_ready("a-3")
    assert [answer.status for answer in answers] == [200] * 12


def test_requests_wait_for_endpoints_that_are_down_for_all_entries(running):
    # Guards against refusing all callers at once while a service is down: no
    # other entry reaches it either, and it returns in time for many.
    _load(running, 3.0, _numbers)
    addresses = running.engines["shop"]
    for address in addresses:
        running.signal(f"engine-{address}", signal.SIGKILL)
        running.processes[f"engine-{address}"].wait()
    names = [name for group in cut_off.ENTRIES.values() for name in group]
    with futures.ThreadPoolExecutor(32) as pool:
        pending = []
        for number in range(20):
            pending.append(
                pool.submit(
                    cut_off.send, running, names[number % 5], 3 * number + 1
                )
            )
            time.sleep(0.1)
        for address in addresses:
            running.start_engine(address)
        statuses = [future.result().status for future in pending]
    assert statuses.count(200) >= len(statuses) / 4, statuses
