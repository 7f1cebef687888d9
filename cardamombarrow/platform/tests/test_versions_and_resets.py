"""Streams of servers that reset single answers, or that restart in place."""

import itertools
import time

import pytest

from cardamombarrow.platform.tests import returning_callers
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

pytestmark = pytest.mark.process

ENTRIES = ["a-1", "a-2"]
STREAMS = 64
LIMIT_S = 10.0
PAUSE_S = 0.1
RESETS = 3
"""One answer in this number is reset."""

LAG_S = 2.0
"""Time by which the list lags."""

MIN_SHARE = 0.9


def _script(identities):
    """Returns a script by which these servers reset some answers."""
    numbers = itertools.count(1)

    def script(received):
        if received.identity not in identities or next(numbers) % RESETS:
            return standin.Answer(pause_s=PAUSE_S)
        sent = min(received.last_event + 2, stream_client.EVENTS)
        ending = standin.Ending.RESET_BETWEEN_EVENTS
        return standin.Answer(ending=ending, sent=sent, pause_s=PAUSE_S)

    return script


def _share(is_whole, streams):
    return sum(map(is_whole, streams)) / len(streams)


def _check(callers):
    """Checks that most streams are whole, at once and after all tries."""
    at_once = _share(lambda each: each.tries[0].is_complete, callers.streams)
    in_time = _share(lambda each: each.tries[-1].is_complete, callers.streams)
    print(f"whole at once {at_once:.3f}, in time {in_time:.3f}")
    print(callers.summary(), callers.faults())
    assert not callers.faults()
    assert at_once >= MIN_SHARE
    assert in_time >= MIN_SHARE


def _deployment(servers, folder):
    plan = stream_client.plan(
        servers.listing_url,
        {"a": ENTRIES},
        [stream_client.Route("again", limit_ms=10_000)],
    )
    return deployment.Deployment(plan, folder)


@pytest.mark.parametrize("begun_each_s", [0.1, 0.4])
@pytest.mark.parametrize("resetting", [("i-0",), ("i-0", "i-1")])
def test_streams_go_on_where_single_answers_are_reset(
    tmp_path, resetting, begun_each_s
):
    # Guards against a single broken connection that is taken for the end of
    # its server's process, so that streams of that version do not go on.
    with standin.Servers(_script(resetting)) as servers:
        for number in range(2):
            servers.start(f"i-{number}")
        with (
            _deployment(servers, tmp_path) as running,
            returning_callers.Callers(running, servers) as callers,
        ):
            for number in range(STREAMS):
                names = ENTRIES[number % 2 :] + ENTRIES[: number % 2]
                callers.begin("again", LIMIT_S, 1, names)
                time.sleep(begun_each_s)
            callers.finish()
    _check(callers)


def test_streams_of_a_restarted_server_go_on_at_their_version(tmp_path):
    # Guards against streams that go on at a server that has come back with
    # other software, though another one of their version is left.
    with standin.Servers(_script(())) as servers:
        # One server alone has no room for all streams of the other one.
        listed = [servers.start(f"i-{number}") for number in range(4)]
        with (
            _deployment(servers, tmp_path) as running,
            returning_callers.Callers(running, servers) as callers,
            servers.lagging(LAG_S),
        ):
            callers.begin("again", LIMIT_S, STREAMS, ENTRIES)
            servers.restart(listed[0], "v2")
            callers.finish()
    versions = {
        version for each in callers.streams for version, _ in each.events
    }
    assert versions == {"v1"}
    assert any(each.last_event for each in servers.received)
    _check(callers)
