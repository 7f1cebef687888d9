"""Three control processes with real files, killed, frozen, cut off, emptied."""

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
    """The same processes, all alive and in reach of one another."""
    for link in group.proxy.links.values():
        link.mend()
    for name in NAMES:
        if group.processes[name].poll() is not None:
            group.start_instance(name)
            group.wait_ready(name)
    assert deployment.wait_until(lambda: _redundant(group))
    return group


class _Operator:
    """Edits by way of the control processes that it is given."""

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
    """Sends one edit, under the same id, until it is answered."""
    edit_id = f"retried-{share}"
    for _ in range(20):
        try:
            answer = operator.edit(share, edit_id)
        except errors.RouterError:
            continue
        if answer["status"] == "accepted":
            return answer["revision"]
        # Sent again from a newer base under the same id; the first try was
        # accepted and its answer lost.
        assert answer["status"] == "id_reused"
        return answer["revision"]
    raise AssertionError("no edit was accepted")


def test_edits_survive_a_killed_leader(running):
    # The leading control process is killed while operators edit. Whoever was
    # told that an edit is accepted finds it in every later read, wherever
    # it is asked for.
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


def test_frozen_leader_accepts_nothing_when_it_goes_on(running):
    # The leader's machine freezes for some seconds and then goes on as if
    # nothing had been. Meanwhile another one leads; the old one must not
    # accept an edit that the others don't know.
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


def test_isolated_control_says_so_and_accepts_nothing(running):
    # The network between one control process and the others goes silent
    # without closing anything. Its operators must learn at once that nothing
    # can be accepted there, and the other side goes on.
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
        link.mend()
    assert deployment.wait_until(lambda: _redundant(running))
    document = isolated.admin.get("/v1/document", fresh="yes")
    assert document["revision"] == revision
    assert _log_of(running, _leader(running))["term"] == term


def test_cut_of_one_link_is_gone_round(running):
    # Two control processes lose each other while the third sees both. An
    # operator at any of the three must still get edits accepted, and the
    # three must not depose each other in turn.
    leader = _leader(running)
    other = next(name for name in NAMES if name != leader)
    for link in running.proxy.between([leader], [other]):
        link.silence(new_too=True)
    term = _log_of(running, leader)["term"]
    for place, name in enumerate(NAMES * 2):
        operator = _Operator(running, name)
        assert operator.edit(0.4 + place / 100)["status"] == "accepted"
    assert _log_of(running, leader)["term"] == term


def _lose_disk(running, name):
    running.processes[name].kill()
    running.processes[name].wait()
    shutil.rmtree(running.state_folder / name)


def test_second_lost_disk_right_after_a_repair_is_survived(running):
    # An instance loses its disk and starts with an empty folder. It must not
    # vote on what it has forgotten; it catches up first. As soon as the
    # status says `redundant` again, a second disk may go, and everything that
    # was accepted is still there.
    revision = _Operator(running).edit(0.05)["revision"]
    before = set(_log_of(running, "control-2")["voters"])
    for place, lost in enumerate(("control-1", "control-3")):
        _lose_disk(running, lost)
        running.start_instance(lost)
        running.wait_ready(lost)
        assert deployment.wait_until(
            lambda lost=lost: (
                _redundant(running)
                and _log_of(running, lost)["role"] in ("leader", "follower")
            )
        )
        revision = _edit_until_accepted(_Operator(running), 0.06 + place / 100)
    after = set(_log_of(running, "control-2")["voters"])
    assert len(after) == 3
    assert len(after & before) == 1
    _lose_disk(running, "control-2")
    survivors = _Operator(running, "control-1", "control-3")
    assert deployment.wait_until(
        lambda: _leader(running, ("control-1", "control-3"))
    )
    assert survivors.admin.get("/v1/document", fresh="yes")["revision"] == (
        revision
    )


def test_hundreds_of_edits_survive_a_restart_of_all(running):
    # Hundreds of changes have gathered when the whole deployment is
    # restarted. Every process has to come back with all of them.
    operator = _Operator(running)
    base = operator.admin.get("/v1/document", fresh="yes")["revision"]
    for place in range(200):
        answer = operator.admin.edit(
            {
                "edit_id": f"many-{place}",
                "base_revision": base + place,
                "replacements": {
                    "tier:race": f"rank = 0\nreserved_share = 0.{place + 100}\n"
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


def test_claims_survive_a_leader_change_with_at_most_one_run(running):
    # A groomer's sign-offs are under way when the leading control process is
    # killed, and the groomer's phone sends each of them again. No pass may be
    # signed off twice, and "not run" must be true.
    leader = _leader(running)

    def sign_off(place):
        answers = []
        for entry in ("entry-1", "entry-2", "entry-1"):
            answers.append(
                caller.service(
                    running.entries[entry],
                    "groomers-north",
                    "trail-desk/sign-off",
                    body=f"pass {place}".encode(),
                    key=f"pass-{place}",
                )
            )
        return answers

    with futures.ThreadPoolExecutor(8) as pool:
        under_way = [pool.submit(sign_off, place) for place in range(24)]
        running.processes[leader].kill()
        answers = [future.result(timeout=120) for future in under_way]
    runs = [
        run
        for address in running.engines["trail-desk"]
        for run in json.loads(
            http_get.fetch(f"http://{address}/standin/runs", timeout_s=5).body
        )
    ]
    ran = collections.Counter(run["body"] for run in runs)
    assert max(ran.values()) == 1
    for place, group in enumerate(answers):
        body = f"pass {place}"
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


def _start_fourth(running):
    http_port, peer_port = deployment.free_ports(2)
    text = (running.state_folder / "control-1.ini").read_text()
    port = running.controls["control-1"].rpartition(":")[2]
    own = running.peers["control-1"]
    text = text.replace(f"port = {port}\n", f"port = {http_port}\n")
    text = text.replace(
        f"port = {own.rpartition(':')[2]}\n", f"port = {peer_port}\n"
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


def test_a_fourth_process_is_let_in_and_one_taken_out(running):
    # An instance is replaced by another one: the new process waits until an
    # operator lets it in, catches up without a vote, and then counts.
    _start_fourth(running)
    assert _member(running, "remove", "control-9").returncode == 1
    assert deployment.wait_until(
        lambda: "control-4" in _member(running, "list").stdout
    )
    assert _member(running, "add", "control-4").returncode == 0
    assert deployment.wait_until(
        lambda: _member(running, "promote", "control-4").returncode == 0
    )
    leader = _leader(running, (*NAMES, "control-4"))
    gone = next(n for n in ("control-1", "control-3") if n != leader)
    assert _member(running, "remove", gone).returncode == 0
    voters = _log_of(running, leader)["voters"]
    assert len(voters) == 3
    assert any(voter.startswith("control-4.") for voter in voters)
    assert _Operator(running, "control-4").edit(0.07)["status"] == "accepted"
