"""Memory of a control process whose followers have narrow links."""

import pathlib
import re

import pytest

from cardamombarrow.platform.tests import slow_followers
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import urgent_traffic
from tools import deployment

pytestmark = pytest.mark.process

_CONTROL = "control-1"
_FOLLOWERS = 79
_ROUTES = 5_600
_LIMIT_KB = 296 * 1_024
_TIMEOUT_S = 30.0


def _peak_kb(running):
    process = running.processes[_CONTROL]
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1])


def test_a_large_document_for_slow_followers_fits_into_memory(tmp_path):
    # Guards against control processes that end over their memory limit because
    # each follower on a narrow link has copies of a document waiting.
    with standin.Servers(lambda _: standin.Answer()) as servers:
        servers.start("i-0", zone="a")
        plan = urgent_traffic.plan(
            servers.listing_url, {"a": ["a-0"]}, {"a": [_CONTROL]}
        )
        with (
            deployment.Deployment(plan, tmp_path) as running,
            slow_followers.SlowFollowers(
                running, _CONTROL, _FOLLOWERS
            ) as followers,
        ):
            followers.wait_for(1, timeout_s=5.0)
            assert urgent_traffic.Editions(running).send(_ROUTES)
            reached = followers.wait_for(2, _TIMEOUT_S)
            peak_kb = _peak_kb(running)
    print(f"{reached} of {_FOLLOWERS} followers, peak {peak_kb} kB")
    assert peak_kb < _LIMIT_KB
    assert reached == _FOLLOWERS
