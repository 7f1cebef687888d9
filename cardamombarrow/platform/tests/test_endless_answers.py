"""A server that sends without end to many callers, over real processes."""

from concurrent import futures
import json
import pathlib
import re
import subprocess
import sys
import time

import pytest

from cardamombarrow.endpoints import http_get
from cardamombarrow.platform.tests import endless_answers
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

pytestmark = pytest.mark.process

_MODULE = (sys.executable, "-m", endless_answers.__name__)
_CALLERS = 60
_MANY_CALLERS = 200
_LOAD_S = 1.5
_OTHER_CALLERS = 4
_OTHER_GAP_S = 0.02
_MOST_BYTES = 160_000_000
"""What the smallest machines leave to an entry."""

_CLOSED_WITHIN_S = 30.0


_LARGE = ("large-field", "large-event", "large-failure")
_SERVERS = 16
"""Servers that hold answers of the large forms."""

_RESUMED_CALLS = 24
_UNREAD = ("comments", "length", "chunks", "event")
_RESUMED = ("interim-answers", "event", "comments-after-event", "failure")
_ROUTES = {
    **{f"{form}-once": False for form in endless_answers.FORMS},
    **{f"{form}-again": True for form in _RESUMED},
    **{f"{form}-unread": False for form in _UNREAD},
    **{f"{form}-many": False for form in _LARGE},
}
"""Whether streams are resumed, by route. Each has a server of its own: what is
learned from one form of answers would keep requests from the next."""

_SERVED = [
    route
    for route in _ROUTES
    for _ in range(_SERVERS if route.endswith("-many") else 1)
]
"""The route that each server serves."""


@pytest.fixture(scope="module")
def endless():
    """Ports of servers that send without end."""
    ports = deployment.free_ports(len(_SERVED))
    command = [*_MODULE, "--serve", *map(str, ports)]
    with subprocess.Popen(command) as process:
        yield ports
        process.kill()


@pytest.fixture(scope="module")
def running(endless, tmp_path_factory):
    with standin.Servers(lambda received: standin.Answer()) as servers:
        for number in range(2):
            servers.start(f"i-{number}")
        for route, port in zip(_SERVED, endless, strict=True):
            servers.listed[port] = standin.Listed(
                f"{route}-{port}", port, service=route
            )
        routes = [
            stream_client.Route(name, resumable, services=((name, 1),))
            for name, resumable in _ROUTES.items()
        ]
        plan = stream_client.plan(
            servers.listing_url,
            {"a": ["a-1"]},
            (*stream_client.ROUTES, *routes),
        )
        folder = tmp_path_factory.mktemp("endless")
        with deployment.Deployment(plan, folder) as started:
            yield started


class _Others:
    """Callers whose requests go to sound servers."""

    def __init__(self, running):
        self._running = running
        self._ended = False

    def call(self):
        """Returns what each request of one caller has brought."""
        seen = []
        while not self._ended:
            seen.append(stream_client.call(self._running, "once", "1.1"))
            time.sleep(_OTHER_GAP_S)
        return seen

    def end(self):
        self._ended = True


def _peak_bytes(process):
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", text)[1]) * 1_024


def _call(running, route, form, callers, *options):
    """Returns what callers of a route get for some time."""
    address = running.entries["a-1"].removeprefix("http://")
    ended = subprocess.run(
        [
            *_MODULE,
            *("--call", address, "--route", route, "--form", form),
            *("--callers", str(callers), "--duration-s", str(_LOAD_S)),
            *options,
        ],
        check=True,
        stdout=subprocess.PIPE,
        timeout=120,
    )
    return json.loads(ended.stdout)


def _flood(running, route, form, callers, *options):
    """Returns what callers of a form got, and what other callers got."""
    # An endpoint that nothing is known of gets few requests at once.
    _call(running, route, endless_answers.WHOLE, callers)
    others = _Others(running)
    with futures.ThreadPoolExecutor(_OTHER_CALLERS) as pool:
        pending = [pool.submit(others.call) for _ in range(_OTHER_CALLERS)]
        try:
            found = _call(running, route, form, callers, *options)
        finally:
            others.end()
        seen = [each for caller in pending for each in caller.result()]
    return found, seen


def _open_connections(endless):
    url = f"http://127.0.0.1:{endless[0]}/open"
    return int(http_get.fetch(url, timeout_s=5.0).body)


def _check(running, endless, route, form, callers, *options):
    processor_s = _processor_s(running.processes["a-1"])
    found, seen = _flood(running, route, form, callers, *options)
    processor_s = _processor_s(running.processes["a-1"]) - processor_s
    peak_bytes = _peak_bytes(running.processes["a-1"])
    whole = stream_client.Seen(200, stream_client.whole(), True)
    served = sum(each == whole for each in seen)
    print(
        f"{route} {form}: {found}, others {served} of {len(seen)},"
        f" peak {peak_bytes}, processor {processor_s:.1f} s"
    )
    closed = deployment.wait_until(
        lambda: not _open_connections(endless), _CLOSED_WITHIN_S
    )
    for name, process in running.processes.items():
        assert process.poll() is None, name
    assert closed
    assert seen
    assert served == len(seen)
    assert peak_bytes < _MOST_BYTES


def _processor_s(process):
    text = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


@pytest.mark.parametrize(
    ("form", "kind"),
    [
        *((form, "once") for form in endless_answers.FORMS),
        *((form, "again") for form in _RESUMED),
    ],
)
def test_an_endless_answer_harms_only_its_own_callers(
    running, endless, form, kind
):
    # Guards against an entry that keeps all bytes that an endpoint in trouble
    # sends until it is killed, and against other callers that go unserved.
    _check(running, endless, f"{form}-{kind}", form, _CALLERS)


@pytest.mark.parametrize("form", _UNREAD)
def test_an_endless_answer_that_nobody_reads_is_not_kept(
    running, endless, form
):
    # Guards against an entry that reads ahead of callers that don't read.
    _check(running, endless, f"{form}-unread", form, _CALLERS, "--unread")


@pytest.mark.parametrize("form", _LARGE)
def test_many_large_answers_without_end_fit_into_memory_together(
    running, endless, form
):
    # Guards against bytes that are bounded in each connection, and still end
    # the process where several hundred of them are held.
    _check(running, endless, f"{form}-many", form, _MANY_CALLERS)


@pytest.mark.parametrize("form", ["comments", "dripping-comments"])
def test_a_stream_that_brings_only_comments_goes_on_elsewhere(
    endless, tmp_path, form
):
    # Guards against callers that get comments until their time is over.
    with standin.Servers(
        lambda received: standin.Answer(pause_s=0.1)
    ) as servers:
        for number in range(2):
            servers.start(f"i-{number}")
        servers.listed[endless[0]] = standin.Listed("endless", endless[0])
        plan = stream_client.plan(servers.listing_url, {"a": ["a-1"]})
        with (
            deployment.Deployment(plan, tmp_path) as running,
            futures.ThreadPoolExecutor(_RESUMED_CALLS) as pool,
        ):
            pending = [
                pool.submit(stream_client.call, running, f"again/{form}", "1.1")
                for _ in range(_RESUMED_CALLS)
            ]
            seen = [each.result() for each in pending]
    whole = stream_client.whole()
    print(sum(each.body != whole for each in seen), "of", len(seen), "resumed")
    assert any(each.body != whole for each in seen)
    for each in seen:
        assert each.status == 200
        assert each.looks_complete
        assert each.body.endswith(whole)
        assert not each.body.removesuffix(whole).replace(b": x\n\n", b"")
