"""Three control processes that are killed, frozen or cut off, or lose disks."""

import collections
from concurrent import futures
import itertools
import json
import shutil
import signal
import subprocess
import sys

import pytest

from cardamombarrow.admin import client
from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from tools import caller
from tools import deployment

pytestmark = pytest.mark.process

NAMES = ("control-1", "control-2", "control-3")
DOMAINS = ("nuwara-a", "badulla-a", "ratnapura-a")


@pytest.fixture(scope="module")
def group(kandula_text, tmp_path_factory):
    """Three control processes behind the proxy, and two entries."""
    plan = deployment.Plan(
        document=kandula_text,
        entries={"nuwara-a": ["entry-1"], "badulla-a": ["entry-2"]},
        controls={d: [n] for d, n in zip(DOMAINS, NAMES, strict=True)},
        proxied=True,
    )
    folder = tmp_path_factory.mktemp("group")
    with deployment.Deployment(plan, folder) as started:
        started.state_folder = folder
        yield started


@pytest.fixture
def running(group):
    """The same deployment, with all processes running and all links up."""
    for link in group.proxy.links.values():
        link.restore()
    for name in NAMES:
        if group.processes[name].poll() is not None:
            group.start_instance(name)
            group.wait_ready(name)
    assert deployment.wait_until(lambda: _redundant(group))
    return group


class _Operator:
    """Edits through the control processes named."""

    _numbers = itertools.count()

    def __init__(self, running, *names):
        urls = [running.controls[name] for name in names or NAMES]
        self.admin = client.AdminClient(urls, "sales-token")

    def edit(self, share: float, edit_id: str = "") -> dict:
        base = self.admin.get("/v1/document", fresh="yes")["revision"]
        return self.admin.edit(
            {
                "edit_id": edit_id or f"edit-{next(self._numbers)}",
                "base_revision": base,
                "replacements": {
                    "tier:race": f"rank = 0\nreserved_share = {share}\n"
                },
                "author": "test",
            }
        )

    def log(self) -> dict:
        return self.admin.get("/v1/status")["log"]


def _log_of(running, name):
    try:
        return _Operator(running, name).log()
    except errors.RouterError:
        return {"role": "", "has_quorum": False, "redundant": False}


def _leader(running, among=NAMES):
    for name in among:
        if _log_of(running, name)["role"] == "leader":
            return name
    return None


def _redundant(running):
    leader = _leader(running)
    return leader and _log_of(running, leader)["redundant"]


def _wait_leader(running, among):
    assert deployment.wait_until(lambda: _leader(running, among))
    return _leader(running, among)


def _edit_until_accepted(operator, share):
    """Sends one edit with the same id until it is answered."""
    edit_id = f"retried-{share}"
    for _ in range(20):
        try:
            answer = operator.edit(share, edit_id)
        except errors.RouterError:
            continue
        if answer["status"] == "accepted":
            return answer["revision"]
        # The first attempt was accepted and its answer lost; this one was sent
        # with the same id and a newer base revision.
        assert answer["status"] == "id_reused"
        return answer["revision"]
    raise AssertionError("no edit was accepted")


def test_accepted_edits_survive_a_killed_leader(running):
    # The leader is killed while operators edit. Every edit answered as accepted
    # must be in every later read, from any control process.
    leader = _leader(running)
    others = [name for name in NAMES if name != leader]
    operator = _Operator(running, *others)
    revisions = [operator.edit(0.1)["revision"]]
    running.processes[leader].kill()
    revisions.append(_edit_until_accepted(operator, 0.11))
    running.processes[leader].wait()
    running.start_instance(leader)
    revisions.append(_edit_until_accepted(operator, 0.12))
    assert revisions == sorted(set(revisions))
    assert deployment.wait_until(lambda: _redundant(running))
    for name in NAMES:
        admin = _Operator(running, name).admin
        document = admin.get("/v1/document", fresh="yes")
        assert document["revision"] >= revisions[-1]
        assert "reserved_share = 0.12" in document["text"]


def test_resumed_leader_accepts_no_conflicting_edit(running):
    # The leader's process is frozen for some seconds while another one is
    # elected. When it resumes, it must not accept an edit without the others.
    leader = _leader(running)
    others = [name for name in NAMES if name != leader]
    running.signal(leader, signal.SIGSTOP)
    with futures.ThreadPoolExecutor() as pool:
        frozen = pool.submit(
            _edit_until_accepted, _Operator(running, leader), 0.2
        )
        new_leader = _wait_leader(running, others)
        first = _edit_until_accepted(_Operator(running, *others), 0.21)
        running.signal(leader, signal.SIGCONT)
        second = frozen.result(timeout=60)
    assert second != first
    assert new_leader != leader
    assert deployment.wait_until(lambda: _redundant(running))
    texts = {
        _Operator(running, name).admin.get("/v1/document", fresh="yes")["text"]
        for name in NAMES
    }
    assert len(texts) == 1


def test_isolated_control_reports_no_quorum(running):
    # Packets between the leader and the others are dropped without closing
    # connections. The isolated leader must report at once that it can't accept
    # edits, and the others must continue.
    leader = _leader(running)
    others = [name for name in NAMES if name != leader]
    links = running.proxy.between([leader], others)
    for link in links:
        link.silence(new_too=True)
    isolated = _Operator(running, leader)
    assert deployment.wait_until(
        lambda: not _log_of(running, leader)["has_quorum"]
    )
    revision = _edit_until_accepted(_Operator(running, *others), 0.3)
    with pytest.raises(errors.RouterError) as raised:
        isolated.edit(0.31)
    assert raised.value.kind is errors.ErrorKind.NO_QUORUM
    before = isolated.admin.get("/v1/document")["revision"]
    assert before < revision
    term = _log_of(running, _leader(running, others))["term"]
    for link in links:
        link.restore()
    assert deployment.wait_until(lambda: _redundant(running))
    document = isolated.admin.get("/v1/document", fresh="yes")
    assert document["revision"] == revision
    assert _log_of(running, _leader(running))["term"] == term


def test_edits_are_accepted_while_one_link_is_down(running):
    # Two control processes can't reach each other while the third reaches both.
    # Edits must still be accepted at all three, and the leader must not change.
    leader = _leader(running)
    other = next(name for name in NAMES if name != leader)
    for link in running.proxy.between([leader], [other]):
        link.silence(new_too=True)
    term = _log_of(running, leader)["term"]
    for index, name in enumerate(NAMES * 2):
        operator = _Operator(running, name)
        assert operator.edit(0.4 + index / 100)["status"] == "accepted"
    assert _log_of(running, leader)["term"] == term


def _delete_state(running, name):
    running.processes[name].kill()
    running.processes[name].wait()
    shutil.rmtree(running.state_folder / name)


def test_second_disk_may_be_lost_after_a_repair(running):
    # A control process loses its disk and starts with an empty folder. It must
    # catch up before it votes, since its earlier votes are lost. Once the
    # status says `redundant` again, a second disk may be lost without losing an
    # accepted edit.
    revision = _Operator(running).edit(0.05)["revision"]
    before = set(_log_of(running, "control-2")["voters"])
    for index, lost in enumerate(("control-1", "control-3")):
        _delete_state(running, lost)
        running.start_instance(lost)
        running.wait_ready(lost)
        assert deployment.wait_until(
            lambda lost=lost: (
                _redundant(running)
                and _log_of(running, lost)["role"] in ("leader", "follower")
            )
        )
        revision = _edit_until_accepted(_Operator(running), 0.06 + index / 100)
    after = set(_log_of(running, "control-2")["voters"])
    assert len(after) == 3
    assert len(after & before) == 1
    _delete_state(running, "control-2")
    survivors = _Operator(running, "control-1", "control-3")
    assert deployment.wait_until(
        lambda: _leader(running, ("control-1", "control-3"))
    )
    assert survivors.admin.get("/v1/document", fresh="yes")["revision"] == (
        revision
    )


def test_hundreds_of_edits_survive_a_full_restart(running):
    # All control processes are restarted after hundreds of edits. Each must
    # recover all of them.
    operator = _Operator(running)
    base = operator.admin.get("/v1/document", fresh="yes")["revision"]
    for index in range(200):
        answer = operator.admin.edit(
            {
                "edit_id": f"many-{index}",
                "base_revision": base + index,
                "replacements": {
                    "tier:race": f"rank = 0\nreserved_share = 0.{index + 100}\n"
                },
            }
        )
        assert answer["status"] == "accepted"
    for name in NAMES:
        running.processes[name].kill()
        running.processes[name].wait()
    for name in NAMES:
        running.start_instance(name)
    for name in NAMES:
        running.wait_ready(name)
    _wait_leader(running, NAMES)
    for name in NAMES:
        admin = _Operator(running, name).admin
        document = admin.get("/v1/document", fresh="yes")
        assert document["revision"] == base + 200
        assert "reserved_share = 0.299" in document["text"]
    history = operator.admin.get("/v1/history")["history"]
    assert len(history) >= 200


def test_claimed_calls_run_at_most_once_across_leader_change(running):
    # The leader is killed while unrepeatable calls are running, and each call
    # is sent again. No call may run twice, and `not_run` must be true.
    leader = _leader(running)

    def sign_off(index):
        answers = []
        for entry in ("entry-1", "entry-2", "entry-1"):
            answers.append(
                caller.service(
                    running.entries[entry],
                    "groomers-north",
                    "trail-desk/sign-off",
                    body=f"pass {index}".encode(),
                    key=f"pass-{index}",
                )
            )
        return answers

    with futures.ThreadPoolExecutor(8) as pool:
        pending = [pool.submit(sign_off, index) for index in range(24)]
        running.processes[leader].kill()
        answers = [future.result(timeout=120) for future in pending]
    runs = [
        run
        for address in running.engines["trail-desk"]
        for run in json.loads(
            http_get.fetch(f"http://{address}/standin/runs", timeout_s=5).body
        )
    ]
    ran = collections.Counter(run["body"] for run in runs)
    assert max(ran.values()) == 1
    for index, group in enumerate(answers):
        body = f"pass {index}"
        if any(answer.status == 200 for answer in group):
            assert ran[body] == 1
        if group[-1].error and group[-1].error["not_run"]:
            assert not ran[body]
        if not ran[body]:
            assert all(answer.status != 200 for answer in group)
    assert sum(group[-1].status == 200 for group in answers) >= 1


def _member(running, *arguments):
    command = [
        *(sys.executable, "-m", "cardamombarrow", "member", *arguments),
        *("--url", running.controls["control-2"]),
        *("--token", "operations-token"),
    ]
    return subprocess.run(command, capture_output=True, text=True)


def _start_fourth_control(running):
    http_port, peer_port = deployment.free_ports(2)
    text = (running.state_folder / "control-1.ini").read_text()
    port = running.controls["control-1"].rpartition(":")[2]
    address = running.peers["control-1"]
    text = text.replace(f"port = {port}\n", f"port = {http_port}\n")
    text = text.replace(
        f"port = {address.rpartition(':')[2]}\n", f"port = {peer_port}\n"
    )
    text = text.replace("id = control-1\n", "id = control-4\n")
    text = text.replace(
        f"folder = {running.state_folder / 'control-1'}\n",
        f"folder = {running.state_folder / 'control-4'}\n",
    )
    path = running.state_folder / "control-4.ini"
    path.write_text(text)
    running._settings["control-4"] = ("control", path)
    running.controls["control-4"] = f"http://127.0.0.1:{http_port}"
    running.start_instance("control-4")
    running.wait_ready("control-4")


def test_control_process_is_replaced(running):
    # A new process waits until an operator adds it, catches up without a vote,
    # and votes once it is promoted. Then another process is removed.
    _start_fourth_control(running)
    assert _member(running, "remove", "control-9").returncode == 1
    assert deployment.wait_until(
        lambda: "control-4" in _member(running, "list").stdout
    )
    assert _member(running, "add", "control-4").returncode == 0
    assert deployment.wait_until(
        lambda: _member(running, "promote", "control-4").returncode == 0
    )
    leader = _leader(running, (*NAMES, "control-4"))
    removed = next(n for n in ("control-1", "control-3") if n != leader)
    assert _member(running, "remove", removed).returncode == 0
    voters = _log_of(running, leader)["voters"]
    assert len(voters) == 3
    assert any(voter.startswith("control-4.") for voter in voters)
    assert _Operator(running, "control-4").edit(0.07)["status"] == "accepted"
