"""Configurations whose version is 0 or negative, on real processes."""

import json
import shutil
import time

import pytest

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from cardamombarrow.platform.tests import platform_plan
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from cardamombarrow.platform.tests import urgent_traffic
from tools import deployment

pytestmark = pytest.mark.process

_ENTRIES = {"a": ["a-1"], "b": ["b-1"]}
_CONTROLS = {name: [f"control-{name}"] for name in "abc"}
_ROUTE = stream_client.Route("long", limit_ms=10_000)
_JOINED_S = 3.0


@pytest.fixture(scope="module", params=[0, -5])
def version(request):
    """The version of the first configuration."""
    return request.param


@pytest.fixture(scope="module")
def running(version, tmp_path_factory):
    """A deployment that has accepted it."""
    with standin.Servers(lambda _: standin.Answer()) as servers:
        servers.start("i-1")
        plan = platform_plan.plan(
            stream_client.configuration((_ROUTE,), version=version),
            servers.listing_url,
            _ENTRIES,
        )
        plan.controls = _CONTROLS
        folder = tmp_path_factory.mktemp("first")
        with deployment.Deployment(plan, folder) as started:
            yield started


def _versions(running):
    """Returns the version that each control process reads; None for none."""
    found = []
    for url in running.controls.values():
        try:
            answer = http_get.fetch(f"{url}/configuration", timeout_s=5)
        except errors.EndpointError:
            return [None]
        text = answer.body if answer.status == 200 else b'{"version": null}'
        found.append(json.loads(text)["version"])
    return found


def _reads(running, expected):
    return deployment.wait_until(
        lambda: _versions(running) == [expected] * len(running.controls)
    )


def _start(running, names):
    for name in names:
        running.start_instance(name)
    for name in names:
        running.wait_ready(name)


def test_a_first_version_below_one_is_read_back(running, version):
    # Guards against an acknowledged configuration that is stored nowhere.
    assert _reads(running, version)


def test_a_first_version_below_one_outlives_all_processes(running, version):
    # Guards against a restart from disk that takes the version for none.
    names = [*running.controls, *running.entries]
    running.kill(names)
    _start(running, names)
    assert _reads(running, version)


def test_a_first_version_below_one_reaches_a_process_without_a_disk(
    running, version
):
    # Guards against a replica that joins and takes the version for none.
    running.kill(["control-c"])
    shutil.rmtree(running.state_folder("control-c"))
    _start(running, ["control-c"])
    assert _reads(running, version)
    # The replica has the disk of a voter again before the next loss.
    time.sleep(_JOINED_S)


def test_versions_around_the_first_one_are_ordered(running, version):
    # Guards against another order of versions where the first is below one.
    editions = urgent_traffic.Editions(running)
    other = stream_client.Route("other", limit_ms=10_000)
    for sent, expected in (
        (version, version),
        (version - 1, version),
        (version + 1, version + 1),
        (version, version + 1),
    ):
        made = stream_client.configuration((other,), version=sent)
        assert editions.send_text(json.dumps(made))
        assert _reads(running, expected)
