"""Engines that fall over when they have to reject too many requests."""

from concurrent import futures
import itertools
import time

import pytest

from tools import caller
from tools import deployment
from tools import engine_restarter

pytestmark = pytest.mark.process

_DIGEST = "fd501e4e4eabb3b62f313e4d323048dfbddebb4d702c7b63512125b3fa21dd28"
_SLOTS = 4
_ENGINES = 3
_DOCUMENT = f"""
[tier:race]
rank = 0
[class:question]
tier = race
target_first_token_s = 2
target_total_s = 10
[workspace:desk]
key_sha256 = {_DIGEST}
classes = question
[service:engines]
kind = engine
slots_per_endpoint = {_SLOTS}
endpoints.a = 10.0.0.1:80
endpoints.b = 10.0.0.2:80
endpoints.c = 10.0.0.3:80
[model:engines]
service = engines
[policies]
choice = first-event
spill = weighed
admission = predicted-wait
[owner:operations]
token_sha256 = {_DIGEST}
sections = *
"""
_ENTRIES = {"a": ["a-1", "a-2"], "b": ["b-1", "b-2"], "c": ["c-1", "c-2"]}
_ALLOWED_FALLS = 2 + _ENGINES / 10
_LOAD_S = 12.0
_CALLS_PER_S = 60
_RESTART_S = 0.5


@pytest.fixture
def running(tmp_path):
    plan = deployment.Plan(
        document=_DOCUMENT,
        entries=_ENTRIES,
        controls={"a": ["control-1"]},
        engine_options=(
            *("--slots", str(_SLOTS)),
            *("--token-s", "0.02"),
            *("--waiting-room", "1"),
            *("--rejection-limit", "2"),
        ),
    )
    with deployment.Deployment(plan, tmp_path) as started:
        yield started


def test_engines_under_more_load_than_they_have_room_for_stay_up(running):
    # Guards against engines that fall over because each entry, or placer, goes
    # on sending to one that rejects the requests of all.
    urls = itertools.cycle(running.entries.values())
    numbers = itertools.count()
    with (
        engine_restarter.EngineRestarter(
            running, "engines", _RESTART_S
        ) as falls,
        futures.ThreadPoolExecutor(256) as pool,
    ):
        pending = []
        end_s = time.monotonic() + _LOAD_S
        while time.monotonic() < end_s:
            pending.append(
                pool.submit(
                    caller.complete,
                    next(urls),
                    "desk",
                    model="engines",
                    prompt=str(next(numbers)),
                )
            )
            time.sleep(1 / _CALLS_PER_S)
        statuses = [future.result().status for future in pending]
    served = statuses.count(200)
    assert falls.count <= _ALLOWED_FALLS
    assert served > len(statuses) / 4
