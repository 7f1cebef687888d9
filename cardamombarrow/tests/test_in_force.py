"""Accepted edits reach every instance despite faults of links."""

import signal

import pytest

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from tools import deployment
from tools import editor
from tools.standin import control

pytestmark = pytest.mark.process

_DOMAIN = ("entry-1", "entry-2")


@pytest.fixture(scope="module")
def running(kandula_text, tmp_path_factory):
    """Two domains, one of them with a single entry."""
    plan = deployment.Plan(
        document=kandula_text,
        entries={"nuwara-a": list(_DOMAIN), "badulla-a": ["entry-3"]},
        controls={"nuwara-a": ["control-1"]},
        proxied=True,
    )
    folder = tmp_path_factory.mktemp("in_force")
    with deployment.Deployment(plan, folder) as started:
        yield started


def _operator(running):
    return editor.Editor(list(running.controls.values()))


def _edit(running, share):
    return _operator(running).edit_share(share)


def _lagging(running, revision):
    return _operator(running).lagging_instances(revision)


def test_silent_connection_is_detected_and_replaced(running):
    # A middlebox loses the state of the connection between an entry and its
    # control process. The connection stays open without data while new ones
    # work; without a timeout the entry would use the old document forever.
    for link in running.proxy.between({"entry-3"}, {"control-1"}):
        link.silence(new_too=False)
    revision = _edit(running, 0.2)
    assert deployment.wait_until(
        lambda: running.revision("entry-3") == revision, 20
    )
    assert deployment.wait_until(lambda: not _lagging(running, revision), 20)


def test_unreachable_entry_is_reported_as_lagging(running):
    # An operator waits until an edit is in force everywhere. An entry that is
    # running but unreachable must be listed as lagging.
    links = running.proxy.between({"entry-3"}, {"control-1"})
    for link in links:
        link.cut()
    revision = _edit(running, 0.15)
    assert deployment.wait_until(
        lambda: _lagging(running, revision) == {"entry-3"}, 20
    )
    for link in links:
        link.restore()
    assert deployment.wait_until(lambda: not _lagging(running, revision), 20)


def test_restarted_entry_applies_its_last_revision(running):
    # Entries are killed and restarted. Each must apply its last accepted
    # revision before it is ready.
    revision = _edit(running, 0.25)
    assert deployment.wait_until(lambda: not _lagging(running, revision), 20)
    for entry in ("entry-1", "entry-3"):
        running.signal(entry, signal.SIGKILL)
        running.processes[entry].wait()
        running.start_instance(entry)
        running.wait_ready(entry)
        assert running.revision(entry) == revision


def test_leaving_endpoint_is_announced_in_the_domain(running):
    # An engine's load report says that it is leaving while the platform's list
    # still has it as live. Two entries poll the engine; the others must get the
    # state from them, or their requests to it would be cut off.
    endpoint = running.engines["trail-desk"][0]
    http_get.fetch(
        running.listing_url.replace("/v1/listing", "/standin/state"),
        timeout_s=5,
        method="POST",
        body=f'{{"address": "{endpoint}", "state": "live"}}'.encode(),
    )
    control.set_behaviour(endpoint, leaving=True)

    def has_logged_leaving(entry):
        lines = running.log(entry).splitlines()
        return any(
            '"decision": "leaving"' in line and endpoint in line
            for line in lines
        )

    for entry in _DOMAIN:
        assert deployment.wait_until(lambda e=entry: has_logged_leaving(e), 20)
    control.set_behaviour(endpoint, leaving=False)


@pytest.fixture(scope="module")
def three_controls(kandula_text, tmp_path_factory):
    """One domain of two entries, and three control processes."""
    plan = deployment.Plan(
        document=kandula_text,
        entries={"nuwara-a": list(_DOMAIN)},
        controls={
            "nuwara-a": ["control-1"],
            "badulla-a": ["control-2"],
            "ratnapura-a": ["control-3"],
        },
        proxied=True,
    )
    folder = tmp_path_factory.mktemp("three_controls")
    with deployment.Deployment(plan, folder) as started:
        yield started


def test_isolated_control_does_not_revert_an_edit(three_controls):
    # A control process is cut off from the other two and still offers its old
    # document after the others accepted an edit. A restarted entry that reaches
    # only this control process must not go back to the old document.
    running = three_controls
    proxy = running.proxy
    others = {"control-1", "control-2"}
    for link in proxy.between({"control-3"}, others):
        link.silence(new_too=True)
    urls = [running.controls[name] for name in sorted(others)]
    revision = 0

    def edited():
        nonlocal revision
        try:
            revision = editor.Editor(urls).edit_share(0.2)
        except errors.RouterError:
            return False
        return True

    assert deployment.wait_until(edited)
    for entry in _DOMAIN:
        assert deployment.wait_until(
            lambda e=entry: running.revision(e) >= revision, 20
        )
    for link in proxy.between({"entry-1"}, others):
        link.cut()
    running.signal("entry-1", signal.SIGKILL)
    running.processes["entry-1"].wait()
    running.start_instance("entry-1")
    running.wait_ready("entry-1")
    assert running.revision("entry-1") >= revision
    for link in proxy.links.values():
        link.restore()
    assert deployment.wait_until(
        lambda: not editor.Editor(urls).lagging_instances(revision), 20
    )
