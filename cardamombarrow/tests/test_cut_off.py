"""A failure domain without links to control processes and other domains."""

import signal

import pytest

from cardamombarrow.kernel import errors
from tools import caller
from tools import deployment
from tools import editor
from tools.standin import control

pytestmark = pytest.mark.process

_CUT_OFF = {"entry-1", "entry-2"}
_OTHERS = {"entry-3", "control-1"}


@pytest.fixture(scope="module")
def running(kandula_text, tmp_path_factory):
    """Two entries in one domain, an entry and a control process in another."""
    plan = deployment.Plan(
        document=kandula_text,
        entries={"nuwara-a": ["entry-1", "entry-2"], "badulla-a": ["entry-3"]},
        controls={"badulla-a": ["control-1"]},
        proxied=True,
    )
    folder = tmp_path_factory.mktemp("cut_off")
    with deployment.Deployment(plan, folder) as started:
        yield started


def _edit(running, share):
    urls = list(running.controls.values())
    return editor.Editor(urls).edit_share(share)


def _wait_for(running, entry, revision):
    return deployment.wait_until(
        lambda: running.revision(entry) == revision, 20
    )


def _complete(running, entry):
    return caller.complete(
        running.entries[entry], "race-control", model="trail-7b", tokens=3
    ).status


def _sign_off(running, entry):
    return caller.service(
        running.entries[entry],
        "groomers-north",
        "trail-desk/sign-off",
        body=b"cut-off",
        key="cut-off",
    )


def test_cut_off_domain_keeps_serving_and_catches_up(running):
    # The links to one domain are down while operators edit the document.
    # Entries there must keep serving by their last document, also after a crash
    # and a restart. An unrepeatable call can't be claimed and must not run.
    # Once the links are restored, the edit and the call must succeed.
    first = _edit(running, 0.2)
    for entry in running.entries:
        assert _wait_for(running, entry, first)
    links = running.proxy.between(_CUT_OFF, _OTHERS)
    for link in links:
        link.cut()
    second = _edit(running, 0.3)
    assert _wait_for(running, "entry-3", second)
    refused = _sign_off(running, "entry-1")
    assert refused.error["code"] == errors.ErrorKind.NO_QUORUM.value
    assert refused.error["not_run"] is True
    running.signal("entry-2", signal.SIGKILL)
    running.processes["entry-2"].wait()
    running.start_instance("entry-2")
    running.wait_ready("entry-2")
    for entry in sorted(_CUT_OFF):
        assert running.revision(entry) == first
        assert _complete(running, entry) == 200
    assert control.runs(running.engines["trail-desk"], "cut-off") == []
    for link in links:
        link.restore()
    for entry in sorted(_CUT_OFF):
        assert _wait_for(running, entry, second)
    assert deployment.wait_until(
        lambda: _sign_off(running, "entry-2").status == 200, 20
    )
    assert len(control.runs(running.engines["trail-desk"], "cut-off")) == 1


def test_entry_without_control_gets_edits_from_its_domain(running):
    # One entry loses the control processes. It must get the document from the
    # other entry of its domain, or callers would get different documents
    # depending on the entry.
    links = running.proxy.between({"entry-1"}, {"control-1"})
    for link in links:
        link.silence(new_too=True)
    revision = _edit(running, 0.25)
    assert _wait_for(running, "entry-2", revision)
    assert _wait_for(running, "entry-1", revision)
    for link in links:
        link.restore()
