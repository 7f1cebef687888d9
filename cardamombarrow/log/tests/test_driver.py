"""The running log with one voter and a real data folder."""

import errno
import os
import time

import pytest

from cardamombarrow.kernel import errors
from cardamombarrow.log import driver
from cardamombarrow.log import membership
from cardamombarrow.log.tests import simulation


class _NoPeers(driver.Transport):
    def start(self, me, receive):
        pass

    def stop(self):
        pass

    def send(self, envelopes, members):
        pass


def _open(folder, machine, contacts=()):
    config = driver.MemberConfig(
        folder,
        membership.Member(membership.VoterId("A"), "a:1"),
        contacts,
        is_founder=True,
    )
    return driver.ReplicatedLog(config, machine, _NoPeers())


@pytest.fixture
def log(tmp_path):
    log = _open(tmp_path / "A", simulation.CommandRecorder())
    log.start()
    yield log
    log.stop()


def test_proposals_are_answered_in_order(log):
    pending = [log.propose(b"%d" % i) for i in range(50)]
    assert [f.result(timeout=20) for f in pending] == [
        b"%d" % (i + 1) for i in range(50)
    ]


def test_cancelled_future_does_not_stop_the_log(log):
    # An entry's request times out during an election, and its future is
    # cancelled. Setting the result ended the log thread and the process at
    # both surviving voters.
    first = log.propose(b"first")
    first.cancel()
    assert log.propose(b"second").result(timeout=20) == b"2"


def test_state_is_restored_without_any_peer(tmp_path):
    # A control process restarts while its failure domain is isolated. It can't
    # reach a majority but must still show its last document.
    log = _open(tmp_path / "A", simulation.CommandRecorder())
    log.start()
    for i in range(20):
        log.propose(b"%d" % i).result(timeout=20)
    log.stop()
    machine = simulation.CommandRecorder()
    again = _open(tmp_path / "A", machine)
    again.start()
    try:
        assert again.barrier().result(timeout=20) == b""
        assert len(machine.commands) == 20
    finally:
        again.stop()


def test_without_a_quorum_a_proposal_fails_soon(tmp_path):
    # The other two voters are unreachable from the start.
    contacts = tuple(
        membership.Member(membership.VoterId(name), name) for name in "BC"
    )
    log = _open(tmp_path / "A", simulation.CommandRecorder(), contacts)
    log.start()
    try:
        with pytest.raises(errors.UnavailableError) as raised:
            log.propose(b"lost").result(timeout=20)
        assert raised.value.kind is errors.ErrorKind.NO_QUORUM
        assert not log.status().has_quorum
    finally:
        log.stop()


class _Disk:
    """Fails all syncs while `full` is set."""

    def __init__(self, monkeypatch):
        self.full = False
        self._sync = os.fsync
        monkeypatch.setattr(os, "fsync", self.sync)

    def sync(self, descriptor):
        if self.full:
            raise OSError(errno.ENOSPC, "no space left")
        self._sync(descriptor)


def test_full_disk_delays_the_log_and_loses_nothing(tmp_path, monkeypatch):
    # The disk of a control process fills up. The process ended itself, was
    # restarted and ended again. It has to keep running, refuse proposals, and
    # continue with all acknowledged entries once there is space.
    disk = _Disk(monkeypatch)
    log = _open(tmp_path / "A", simulation.CommandRecorder())
    log.start()
    try:
        assert log.propose(b"before").result(timeout=20) == b"1"
        disk.full = True
        delayed = log.propose(b"held up")
        assert _wait_until(lambda: not log.status().has_quorum)
        with pytest.raises(errors.UnavailableError):
            log.propose(b"refused").result(timeout=20)
        disk.full = False
        assert delayed.result(timeout=20) == b"2"
        assert log.propose(b"after").result(timeout=20) == b"3"
    finally:
        log.stop()
    again = _open(tmp_path / "A", simulation.CommandRecorder())
    again.start()
    try:
        assert again.propose(b"again").result(timeout=20) == b"4"
    finally:
        again.stop()


def test_process_can_stop_while_its_disk_is_full(tmp_path, monkeypatch):
    disk = _Disk(monkeypatch)
    log = _open(tmp_path / "A", simulation.CommandRecorder())
    log.start()
    disk.full = True
    log.propose(b"held up")
    assert _wait_until(lambda: not log.status().has_quorum)
    log.stop()


def _wait_until(condition):
    deadline_s = time.monotonic() + 20
    while not condition() and time.monotonic() < deadline_s:
        time.sleep(0.01)
    return condition()
