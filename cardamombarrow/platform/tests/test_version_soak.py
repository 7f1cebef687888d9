"""Streams while software versions change and entries end, in series.

Servers are replaced one after the other, entries are killed, stopped, restarted
and frozen in overlapping series, and callers take up what broke off at another
entry. `SOAK_SEEDS=FIRST:LAST` plays other seeds than the short run.
"""

from concurrent import futures
import dataclasses
import random
import threading
import time

import pytest

from cardamombarrow.platform.tests import disruptions
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment
from tools import soak

pytestmark = pytest.mark.process

_SEEDS = soak.seeds("1:2")
_ENTRIES = {
    "a": ["a-1", "a-2", "a-3"],
    "b": ["b-1", "b-2"],
    "c": ["c-1", "c-2"],
}
_NAMES = [name for group in _ENTRIES.values() for name in group]
_VERSIONS = ("v1", "v2", "v3")
_SERVERS_OF_EACH = 3
_LEAST_OF_EACH = 2
_CALLERS = 48
_DISRUPTIONS_AT_ONCE = 2
_RUN_S = 30.0
_PAUSE_S = 0.15
_TRIES = 3
_CONTACT_S = 4.0
_LISTED_S = 1.5
"""Time after which all entries know a new server."""

_LEAST_RESUMED = 12
"""Fewer streams that are resumed show no share."""

_LEAST_RATIO = 0.5
_MOST_MIXED = 2


@dataclasses.dataclass(frozen=True)
class _Try:
    """A caller's attempt at an entry that was not disturbed of late.

    Attributes:
        resumes: Whether it takes a stream up.
        went_on: Whether an event came.
    """

    resumes: bool
    went_on: bool


class _Soak:
    """Callers and disruptions of one run.

    Attributes:
        tries: All tries at entries in touch.
        mixed: Versions and numbers of the events of streams with several
            versions.
        broken: The same of streams with a gap or a repeated event.
    """

    def __init__(self, servers, seed):
        self.tries: list[_Try] = []
        self.mixed: list[list[tuple[str, int]]] = []
        self.broken: list[list[tuple[str, int]]] = []
        self._running: deployment.Deployment | None = None
        self._disturbed: disruptions.EntryDisruptions | None = None
        self._servers = servers
        self._rng = random.Random(seed)
        self._stop = threading.Event()
        self._identity = 0

    def start_servers(self):
        for version in _VERSIONS[:2]:
            for _ in range(_SERVERS_OF_EACH):
                self._start_server(version)

    def _start_server(self, version):
        self._identity += 1
        zone = self._rng.choice(list(_ENTRIES))
        self._servers.start(f"i-{self._identity}", version=version, zone=zone)

    def run(self, running):
        self._running = running
        disturbed = disruptions.EntryDisruptions(running, _CONTACT_S)
        self._disturbed = disturbed
        tasks = _CALLERS * [self._call]
        tasks += _DISRUPTIONS_AT_ONCE * [disturbed.disturb]
        with futures.ThreadPoolExecutor(len(tasks) + 1) as pool:
            pending = [
                pool.submit(task, random.Random(self._rng.random()))
                for task in tasks
            ]
            pending.append(pool.submit(self._roll))
            time.sleep(_RUN_S)
            self._stop.set()
            disturbed.stopped.set()
            for each in pending:
                each.result()

    # -- servers ---------------------------------------------------------------

    def _roll(self):
        """Replaces servers, so that each version keeps some."""
        while not self._stop.wait(0.7):
            listed = [
                each
                for each in self._servers.listed.values()
                if each.state == "ready"
            ]
            count = {
                version: sum(each.version == version for each in listed)
                for version in _VERSIONS
            }
            leaving = [
                each for each in listed if count[each.version] > _LEAST_OF_EACH
            ]
            self._start_server(
                self._rng.choice([v for v in _VERSIONS if count[v]])
            )
            if self._rng.random() < 0.1:
                for _ in range(_LEAST_OF_EACH):
                    self._start_server(_VERSIONS[-1])
            if leaving:
                self._end_server(self._rng.choice(leaving))

    def _end_server(self, listed):
        if self._rng.random() < 0.5:
            listed.state = "draining"
            self._stop.wait(_LISTED_S)
        self._servers.crash(listed)

    # -- callers ---------------------------------------------------------------

    def _call(self, rng):
        zone = rng.choice(list(_ENTRIES))
        while not self._stop.wait(rng.uniform(0.0, 0.3)):
            attempt = stream_client.Attempt.new("again")
            events: list[tuple[str, int]] = []
            for _ in range(_TRIES):
                near = _ENTRIES[zone] if rng.random() < 0.9 else _NAMES
                name = rng.choice(near)
                seen = self._try(attempt, name)
                events += seen.events
                if seen.looks_complete and seen.status == 200:
                    break
                attempt = attempt.again(events[-1][1] if events else 0)
            self._check(events)

    def _try(self, attempt, name):
        in_touch = self._disturbed.is_in_touch(name, time.monotonic())
        try:
            with stream_client.open_stream(
                self._running, attempt, name=name
            ) as caller:
                seen = stream_client.read(caller)
        except OSError:
            time.sleep(0.05)
            return stream_client.Seen(0, b"", False)
        if in_touch and self._disturbed.is_in_touch(name, time.monotonic()):
            went_on = bool(seen.events)
            self.tries.append(_Try(bool(attempt.resumes), went_on))
        return seen

    def _check(self, events):
        if len({version for version, _ in events}) > 1:
            self.mixed.append(events)
        numbers = [number for _, number in events]
        if numbers != list(range(1, len(numbers) + 1)):
            self.broken.append(events)

    def share(self, resumes):
        """Returns how many tries there were, and the share that went on."""
        found = [each for each in self.tries if each.resumes is resumes]
        went_on = sum(each.went_on for each in found)
        return len(found), went_on / max(len(found), 1)


@pytest.mark.parametrize("seed", _SEEDS)
def test_streams_keep_their_version_while_entries_end(seed, tmp_path):
    # Guards against mixed streams and against callers that can't resume.
    with standin.Servers(
        lambda received: standin.Answer(pause_s=_PAUSE_S)
    ) as servers:
        plan = stream_client.plan(servers.listing_url, _ENTRIES)
        plan.controls = {name: [f"control-{name}"] for name in _ENTRIES}
        soak = _Soak(servers, seed)
        soak.start_servers()
        with deployment.Deployment(plan, tmp_path) as running:
            soak.run(running)
    resumed, share_resumed = soak.share(True)
    begun, share_begun = soak.share(False)
    print(
        f"seed {seed}: {begun} begun, {share_begun:.3f} went on; {resumed} "
        f"resumed, {share_resumed:.3f} went on; {len(soak.mixed)} mixed"
    )
    assert not soak.broken
    assert len(soak.mixed) <= _MOST_MIXED
    if resumed >= _LEAST_RESUMED:
        assert share_resumed >= _LEAST_RATIO * share_begun
