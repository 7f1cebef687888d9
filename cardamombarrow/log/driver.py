"""The running log: one thread owns the core, another one applies entries.

The log thread passes messages, proposals and the time to the core, syncs the
resulting writes and then sends the messages. A second thread applies committed
entries, because validating a long document or writing a snapshot of a large
ledger takes long enough to miss heartbeats, and the group would elect another
leader.
"""

import abc
from collections import abc as collections_abc
from concurrent import futures
import dataclasses
import functools
import os
import pathlib
import queue
import random
import threading
import time

from cardamombarrow.kernel import errors
from cardamombarrow.kernel import logs
from cardamombarrow.log import base
from cardamombarrow.log import membership as membership_module
from cardamombarrow.log import messages
from cardamombarrow.log import runner as runner_module
from cardamombarrow.log import state as state_module
from cardamombarrow.log import waiters as waiters_module

__all__ = ["MemberConfig", "ReplicatedLog", "Transport"]

PROPOSE_TIMEOUT_S = 5.0
"""Timeout of a proposal: two elections and one retry."""

NO_QUORUM_S = 2.5
"""Proposals fail at once after this time without a leader, so that operators
don't wait for a timeout. Longer than an election takes."""

SNAPSHOT_MIN_BYTES = 1_000_000
SNAPSHOT_FACTOR = 2
"""A snapshot is written when the log has grown by this multiple of the last
snapshot's size. The cost of snapshots is then a fixed share of that of the log,
independent of the size of the ledger."""

STALLED_S = 3.0
"""The status reports no quorum if the log thread's loop has been blocked for
this long, for example by a hanging disk."""

WRITE_RETRY_S = 0.2
"""Interval at which a failed write is tried again."""

MAX_QUEUED_BATCHES = 2_000
"""Maximum number of received batches of messages that are queued while the disk
hangs."""

_STOP = object()

Receive = collections_abc.Callable[
    [list[messages.Envelope], membership_module.VoterId], None
]


class _StoppingError(Exception):
    """The process stops while writes to the disk fail."""


class Transport(abc.ABC):
    """Transports envelopes between members; may lose but never alters them."""

    @abc.abstractmethod
    def start(self, me: membership_module.Member, receive: Receive) -> None:
        """Starts receiving; `receive` may be called from any thread."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Closes all connections."""

    @abc.abstractmethod
    def send(
        self,
        envelopes: list[messages.Envelope],
        members: tuple[membership_module.Member, ...],
    ) -> None:
        """Sends envelopes; returns at once."""


@dataclasses.dataclass(frozen=True)
class MemberConfig:
    """Configuration of a member of the log.

    Attributes:
        folder: Its data folder.
        me: Its name, as `id`, and its address.
        contacts: The other processes in the list of first voters, with their
            names as `id`.
        is_founder: Whether it may found the group.
    """

    folder: pathlib.Path
    me: membership_module.Member
    contacts: tuple[membership_module.Member, ...]
    is_founder: bool


@dataclasses.dataclass
class _Received:
    envelopes: list[messages.Envelope]
    via: membership_module.VoterId


@dataclasses.dataclass
class _Proposed:
    kind: messages.EntryKind
    data: bytes
    future: futures.Future[bytes]


@dataclasses.dataclass
class _SnapshotTaken:
    index: int
    data: bytes


class ReplicatedLog(base.Log):
    """One member of the replicated log."""

    def __init__(
        self,
        config: MemberConfig,
        machine: base.StateMachine,
        transport: Transport,
        timing: state_module.Timing | None = None,
        membership_policy: state_module.MembershipPolicy | None = None,
    ):
        """Opens the data folder and rebuilds the state machine.

        Raises:
            storage.CorruptError: The folder is damaged.
        """
        self._transport = transport
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._apply_queue: queue.SimpleQueue = queue.SimpleQueue()
        self._waiters = waiters_module.Waiters()
        self._runner = runner_module.Runner(
            config.folder,
            config.me,
            machine,
            config.contacts,
            config.is_founder,
            random.Random(),
            time.monotonic(),
            os.fsync,
            timing,
            membership_policy=membership_policy,
        )
        self._core = self._runner.core
        self._last_quorum_s = time.monotonic()
        self._snapshot_pending = False
        self._wakeups = 0
        self._leader = ""
        self._voters: tuple[membership_module.Member, ...] = ()
        self._last_loop_s = time.monotonic()
        self._status = self._build_status()
        self._write_failed_s: float | None = None
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._log_loop, name="log", daemon=True),
            threading.Thread(
                target=self._apply_loop, name="apply", daemon=True
            ),
        ]

    @property
    def me(self) -> membership_module.Member:
        """This member, with its full identity."""
        return self._core.state.me

    def start(self) -> None:
        """Starts participating in the group."""
        self._transport.start(self.me, self._on_envelopes)
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops participating; pending futures fail."""
        self._transport.stop()
        self._stopped.set()
        self._inbox.put(_STOP)
        for thread in self._threads:
            thread.join(timeout=5)
        self._waiters.expire(
            time.monotonic(),
            _no_quorum("this process is stopping"),
            fail_all=True,
        )
        self._runner.storage.close()

    # -- called from any thread --------------------------------------------

    def _on_envelopes(
        self,
        envelopes: list[messages.Envelope],
        via: membership_module.VoterId,
    ) -> None:
        # The inbox is not read while the disk hangs or fails. The other
        # members send dropped messages again.
        if self._inbox.qsize() < MAX_QUEUED_BATCHES:
            self._inbox.put(_Received(envelopes, via))

    def propose(self, command: bytes) -> futures.Future[bytes]:
        """See `base.Log.propose`."""
        return self._submit(messages.EntryKind.COMMAND, command)

    def barrier(self) -> futures.Future[bytes]:
        """See `base.Log.barrier`."""
        return self._submit(messages.EntryKind.BARRIER, b"")

    def change(self, change: membership_module.Change) -> futures.Future[bytes]:
        """See `base.Log.change`."""
        return self._submit(messages.EntryKind.CHANGE, change.encode())

    def _submit(
        self, kind: messages.EntryKind, data: bytes
    ) -> futures.Future[bytes]:
        future: futures.Future[bytes] = futures.Future()
        # A caller that stops waiting cancels the future, and setting the
        # result of a cancelled future raises, which would end the log thread.
        # A running future can't be cancelled.
        future.set_running_or_notify_cancel()
        no_quorum_s = time.monotonic() - self._last_quorum_s
        if self._write_failed_s is not None:
            future.set_exception(_no_quorum("writes to the disk fail"))
        elif self._stopped.is_set() or no_quorum_s > NO_QUORUM_S:
            future.set_exception(
                _no_quorum(
                    "this control process is isolated: no contact to a "
                    f"majority of voters for {no_quorum_s:.1f} s"
                )
            )
        else:
            self._inbox.put(_Proposed(kind, data, future))
        return future

    def find(self, name: str) -> membership_module.Member | None:
        """See `base.Log.find`."""
        members = (
            *self._core.state.log.membership.members,
            *self._core.applicants.values(),
        )
        for member in members:
            if name in (member.id, membership_module.name_of(member.id)):
                return member
        return None

    def addresses(self) -> tuple[str, ...]:
        """Returns the addresses of all known members."""
        members = self._core.state.log.membership.members
        return tuple(member.address for member in members)

    def count_members(self) -> int:
        """See `base.Log.count_members`."""
        return len(self._core.state.log.membership.members)

    def held_bytes(self) -> int:
        """Returns the size of the entries and the snapshot in memory."""
        return self._core.state.log.held_bytes

    def status(self) -> base.LogStatus:
        """See `base.Log.status`."""
        status = self._status
        stalled_s = time.monotonic() - self._last_loop_s
        if self._write_failed_s is not None or stalled_s > STALLED_S:
            return dataclasses.replace(
                status, has_quorum=False, redundant=False
            )
        return status

    # -- the log thread ----------------------------------------------------

    def _log_loop(self) -> None:
        try:
            while self._run_once():
                pass
        except _StoppingError:
            self._apply_queue.put(None)
        except Exception as error:
            # The process must not continue, since the content of its log is
            # not known any more.
            logs.event("log thread failed", "CRITICAL", detail=repr(error))
            os._exit(1)

    def _on_write_error(self, error: OSError) -> None:
        """Waits before a failed write is tried again.

        While the disk is full or failing, this member sends nothing, because
        nothing is durable; another member is elected leader. It recovers when
        writes succeed again. If the process ended instead, it would be
        restarted over and over and could not answer any request.
        """
        if self._write_failed_s is None:
            self._write_failed_s = time.monotonic()
            logs.event("disk writes fail", "ERROR", detail=str(error))
        if self._stopped.wait(WRITE_RETRY_S):
            raise _StoppingError

    def _run_once(self) -> bool:
        self._wakeups += 1
        wait_s = self._core.next_wake_s() - time.monotonic()
        for item in self._drain_inbox(wait_s):
            if item is _STOP:
                self._apply_queue.put(None)
                return False
            self._handle(item)
        now_s = time.monotonic()
        self._core.tick(now_s)
        output = self._runner.persist(now_s, self._on_write_error)
        if self._write_failed_s is not None:
            failing_s = time.monotonic() - self._write_failed_s
            self._write_failed_s = None
            logs.event("disk writes succeed again", after_s=round(failing_s, 3))
        if output.envelopes:
            members = self._core.state.log.membership.members
            self._transport.send(output.envelopes, members)
        if output.committed or output.restore is not None:
            self._apply_queue.put(output)
        self._expire_proposals(now_s)
        self._update_status(now_s)
        return True

    def _drain_inbox(self, wait_s: float) -> list:
        """Returns all queued items, which then share one write and one sync."""
        try:
            items = [self._inbox.get(timeout=max(0.0, wait_s))]
        except queue.Empty:
            return []
        while not self._inbox.empty():
            items.append(self._inbox.get())
        return items

    def _handle(self, item: _Received | _Proposed | _SnapshotTaken) -> None:
        now_s = time.monotonic()
        if isinstance(item, _Received):
            for envelope in item.envelopes:
                self._core.step(envelope, now_s, item.via)
        elif isinstance(item, _Proposed):
            self._waiters.add(
                functools.partial(self._core.propose, item.kind, item.data),
                item.future,
                now_s + PROPOSE_TIMEOUT_S,
            )
        else:
            self._core.compact(item.index, item.data)
            self._snapshot_pending = False
            logs.event(
                "snapshot written",
                index=item.index,
                size_bytes=len(item.data),
            )

    def _expire_proposals(self, now_s: float) -> None:
        expired = self._waiters.expire(
            now_s,
            _no_quorum("not committed in time; may still be committed"),
            fail_all=now_s - self._last_quorum_s > NO_QUORUM_S,
        )
        for number in expired:
            self._core.stop_resending(number)

    def _update_status(self, now_s: float) -> None:
        if self._core.has_quorum:
            self._last_quorum_s = now_s
        self._last_loop_s = now_s
        self._status = self._build_status()
        state = self._core.state
        voters = state.log.membership.voters
        if voters != self._voters:
            self._voters = voters
            logs.event("voters", voters=[voter.id for voter in voters])
        if state.leader != self._leader:
            self._leader = state.leader
            logs.event(
                "leader known" if state.leader else "no leader",
                "INFO" if state.leader else "WARNING",
                leader=state.leader,
                term=state.term,
                voter=state.me.id,
            )

    def _build_status(self) -> base.LogStatus:
        core, state = self._core, self._core.state
        membership = state.log.membership
        has_quorum = core.has_quorum
        return base.LogStatus(
            voter=state.me.id,
            leader=state.leader,
            term=state.term,
            commit_index=state.commit_index,
            voters=tuple(member.id for member in membership.voters),
            learners=tuple(member.id for member in membership.learners),
            has_quorum=has_quorum,
            redundant=has_quorum and state.redundant,
            role=_role(state),
            applied_index=self._runner.replica.applied_index,
            applicants=tuple(m.id for m in core.applicants.values()),
            wakeups=self._wakeups,
        )

    # -- the apply thread --------------------------------------------------

    def _apply_loop(self) -> None:
        try:
            while (output := self._apply_queue.get()) is not None:
                for entry, answer in self._runner.apply(output):
                    self._waiters.answer(entry.proposal, answer)
                self._snapshot_if_due()
        except Exception as error:
            # The entry fails again at every start, so an operator needs this
            # log line for a report.
            logs.event("apply thread failed", "CRITICAL", detail=repr(error))
            os._exit(1)

    def _snapshot_if_due(self) -> None:
        last_bytes = self._core.state.log.snapshot.data.size_bytes
        limit_bytes = max(SNAPSHOT_MIN_BYTES, SNAPSHOT_FACTOR * last_bytes)
        bytes_since_rewrite = self._runner.storage.bytes_since_rewrite
        if self._snapshot_pending or bytes_since_rewrite < limit_bytes:
            return
        self._snapshot_pending = True
        replica = self._runner.replica
        index = replica.applied_index
        self._inbox.put(_SnapshotTaken(index, replica.snapshot()))


def _role(state: state_module.CoreState) -> str:
    if state.is_leader:
        return "leader"
    if state.is_voter:
        return "follower"
    known = state.log.membership.find(state.me.id)
    return "learner" if known is not None else "outside"


def _no_quorum(detail: str) -> errors.UnavailableError:
    return errors.UnavailableError(errors.ErrorKind.NO_QUORUM, detail)
