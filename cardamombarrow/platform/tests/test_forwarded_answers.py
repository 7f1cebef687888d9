"""Answers that break off, and whole ones, that another entry relays."""

import pytest

from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import cut_off
from tools import deployment
from tools.standin import cut_links

pytestmark = pytest.mark.process


@pytest.fixture(scope="module")
def servers():
    with standin.Servers(lambda received: standin.Answer()) as started:
        for number in range(3):
            started.start(f"i-{number}")
        yield started


@pytest.fixture(scope="module")
def running(servers, tmp_path_factory):
    plan = stream_client.plan(servers.listing_url, {"a": ["a-1", "a-2"]})
    folder = tmp_path_factory.mktemp("forwarded")
    with deployment.Deployment(plan, folder) as started:
        yield started


@pytest.fixture(scope="module")
def forwarding(running, servers):
    """The deployment while entry a-1 has another one serve its callers."""
    answer = standin.Answer()
    servers.script = lambda received: answer
    refuse = cut_links.CutMode.REFUSE
    with cut_off.cut_ports(running, ["a-1"], refuse, list(servers.listed)):

        def is_forwarded():
            # Requests that may be repeated probe endpoints at once.
            seen = stream_client.call(running, "again", "1.1")
            is_taken = '"outcome": "taken"' in running.log("a-1")
            return is_taken and seen.status == 200

        assert deployment.wait_until(is_forwarded)
        yield running


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize(("framing", "ending"), standin.NOTICEABLE_CUTS)
def test_a_forwarded_answer_that_broke_off_does_not_look_complete(
    forwarding, servers, framing, ending, version
):
    # Guards against a cut that is lost between two entries.
    stream_client.check_cut(forwarding, servers, (framing, ending), version)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("framing", standin.Framing)
def test_a_whole_forwarded_stream_reaches_its_caller_whole(
    forwarding, servers, framing, version
):
    answer = standin.Answer(framing)
    servers.script = lambda received: answer
    seen = stream_client.call(forwarding, "once", version)
    whole = stream_client.whole()
    assert seen == stream_client.Seen(200, whole, looks_complete=True)
