"""Long uploads that another entry forwards, and that servers answer early."""

import pytest

from cardamombarrow.platform.tests import early_answers
from tools import cut_off
from tools import deployment
from tools.standin import cut_links

pytestmark = pytest.mark.process


@pytest.fixture(scope="module")
def servers():
    with early_answers.EarlyServers() as started:
        started.start("i-0")
        yield started


@pytest.fixture(scope="module")
def forwarding(servers, tmp_path_factory):
    """A deployment while entry a-1 has another one serve its callers."""
    plan = early_answers.plan(servers.listing_url, {"a": ["a-1", "a-2"]})
    folder = tmp_path_factory.mktemp("forwarded-uploads")
    refuse = cut_links.CutMode.REFUSE
    with (
        deployment.Deployment(plan, folder) as running,
        cut_off.cut_ports(running, ["a-1"], refuse, list(servers.listed)),
    ):
        assert deployment.wait_until(
            lambda: (
                early_answers.upload(running).status
                and '"outcome": "taken"' in running.log("a-1")
            )
        )
        yield running


@pytest.mark.parametrize("read_bytes", early_answers.READ_BYTES)
@pytest.mark.parametrize("pauses_s", early_answers.PAUSES_S)
def test_a_part_of_a_forwarded_answer_to_an_upload_does_not_look_complete(
    forwarding, servers, pauses_s, read_bytes
):
    # Guards against a reset that is lost between two entries.
    early_answers.check_part(forwarding, servers, pauses_s, read_bytes)


@pytest.mark.parametrize("status", [b"000", b"0"])
def test_a_forwarded_answer_without_a_known_status_is_no_answer(
    forwarding, servers, status
):
    # Guards against a status that no caller can understand.
    servers.status = status
    servers.pauses_s = (0, 0, 0.1)
    try:

        def is_refused():
            servers.requests = 0
            seen = early_answers.upload(forwarding)
            assert seen.status in (502, 503)
            return servers.requests > 0 and seen.status == 502

        assert deployment.wait_until(is_refused)
    finally:
        servers.status = b"200"
