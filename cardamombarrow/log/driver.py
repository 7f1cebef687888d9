"""The running log: one thread that owns the core, one that applies.

The log thread takes messages, proposals and time, carries out what the core
asks for, and syncs before anything leaves. Applying is left to a second
thread: to judge a long document or to write a snapshot of a large ledger takes
long enough to miss heartbeats, and a leader that misses them is deposed.
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

__all__ = ["LogPlace", "ReplicatedLog", "Transport"]

PROPOSE_TIMEOUT_S = 5.0
"""A proposal is given up after this: two elections and the retry."""

NO_QUORUM_S = 2.5
"""Without a leader for this long, longer than an election takes, proposals
fail at once: the operator learns of it in no time."""

SNAPSHOT_MIN_BYTES = 1_000_000
SNAPSHOT_FACTOR = 2
"""A snapshot is written when the log has grown by this many times the last
one, so that its cost is a fixed share of that of the log, however large the
ledger is."""

STALLED_S = 3.0
"""When the log thread has not come round for this long (a disk that hangs),
the status says that there is no quorum."""

REFUSED_RETRY_S = 0.2
"""Time between two tries of a write that the disk refuses."""

MOST_RECEIVED = 2_000
"""Messages of other members that may wait while the disk hangs."""

_STOP = object()

Receive = collections_abc.Callable[
    [list[messages.Envelope], membership_module.VoterId], None
]


class _StopError(Exception):
    """The process stops while the disk refuses writes."""


class Transport(abc.ABC):
    """Carries envelopes between members; may lose, never alters them."""

    @abc.abstractmethod
    def start(self, me: membership_module.Member, receive: Receive) -> None:
        """Starts; `receive` may be called from any thread."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stops all links."""

    @abc.abstractmethod
    def send(
        self,
        envelopes: list[messages.Envelope],
        members: tuple[membership_module.Member, ...],
    ) -> None:
        """Sends envelopes; returns at once."""


@dataclasses.dataclass(frozen=True)
class LogPlace:
    """Where a member of the log stands.

    Attributes:
        folder: Its data folder.
        me: Its name, as `id`, and its address.
        contacts: The other processes of the first voters' list, by name.
        is_founder: Whether it stands first in that list.
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
class _Snapshotted:
    index: int
    data: bytes


class ReplicatedLog(base.Log):
    """One member of the replicated log."""

    def __init__(
        self,
        place: LogPlace,
        machine: base.StateMachine,
        transport: Transport,
        timing: state_module.Timing | None = None,
        tending: state_module.Tending | None = None,
    ):
        """Opens the data folder and rebuilds the state machine.

        Raises:
            storage.CorruptError: The folder is damaged.
        """
        self._transport = transport
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._to_apply: queue.SimpleQueue = queue.SimpleQueue()
        self._waiters = waiters_module.Waiters()
        self._runner = runner_module.Runner(
            place.folder,
            place.me,
            machine,
            place.contacts,
            place.is_founder,
            random.Random(),
            time.monotonic(),
            os.fsync,
            timing,
            tending=tending,
        )
        self._core = self._runner.core
        self._quorum_s = time.monotonic()
        self._snapshotting = False
        self._wakeups = 0
        self._leader = ""
        self._voters: tuple[membership_module.Member, ...] = ()
        self._seen_s = time.monotonic()
        self._status = self._make_status()
        self._refused_since_s: float | None = None
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, name="log", daemon=True),
            threading.Thread(target=self._apply_all, name="apply", daemon=True),
        ]

    @property
    def me(self) -> membership_module.Member:
        """This member, with its identity."""
        return self._core.state.me

    def start(self) -> None:
        """Starts taking part."""
        self._transport.start(self.me, self._on_envelopes)
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops taking part; pending futures fail."""
        self._transport.stop()
        self._stopped.set()
        self._inbox.put(_STOP)
        for thread in self._threads:
            thread.join(timeout=5)
        self._waiters.expire(
            time.monotonic(), _no_quorum("this process stops"), lost=True
        )
        self._runner.storage.close()

    # -- called from any thread --------------------------------------------

    def _on_envelopes(
        self,
        envelopes: list[messages.Envelope],
        via: membership_module.VoterId,
    ) -> None:
        # While the disk hangs or refuses nothing is taken out. Whatever is
        # dropped here the other members send again.
        if self._inbox.qsize() < MOST_RECEIVED:
            self._inbox.put(_Received(envelopes, via))

    def propose(self, command: bytes) -> futures.Future[bytes]:
        """See `base.Log.propose`."""
        return self._hand_in(messages.EntryKind.COMMAND, command)

    def barrier(self) -> futures.Future[bytes]:
        """See `base.Log.barrier`."""
        return self._hand_in(messages.EntryKind.BARRIER, b"")

    def change(self, change: membership_module.Change) -> futures.Future[bytes]:
        """See `base.Log.change`."""
        return self._hand_in(messages.EntryKind.CHANGE, change.encode())

    def _hand_in(
        self, kind: messages.EntryKind, data: bytes
    ) -> futures.Future[bytes]:
        future: futures.Future[bytes] = futures.Future()
        # Whoever gives up waiting cancels the future. Once it runs it can't
        # be cancelled; setting a result on a cancelled one raises, which
        # would end the log thread.
        future.set_running_or_notify_cancel()
        lost_s = time.monotonic() - self._quorum_s
        if self._refused_since_s is not None:
            future.set_exception(_no_quorum("the disk refuses writes"))
        elif self._stopped.is_set() or lost_s > NO_QUORUM_S:
            future.set_exception(
                _no_quorum(
                    "this control process is isolated: no majority of voters "
                    f"in reach for {lost_s:.1f} s"
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
        """Returns the addresses of all members that are known here."""
        members = self._core.state.log.membership.members
        return tuple(member.address for member in members)

    def status(self) -> base.LogStatus:
        """See `base.Log.status`."""
        status = self._status
        stalled_s = time.monotonic() - self._seen_s
        if self._refused_since_s is not None or stalled_s > STALLED_S:
            return dataclasses.replace(
                status, has_quorum=False, redundant=False
            )
        return status

    # -- the log thread ----------------------------------------------------

    def _run(self) -> None:
        try:
            while self._work():
                pass
        except _StopError:
            self._to_apply.put(None)
        except Exception as error:
            # The process must not go on with a log of which it does not know
            # what it holds.
            logs.event("log failed", "CRITICAL", detail=repr(error))
            os._exit(1)

    def _on_refused(self, error: OSError) -> None:
        """Waits until a refused write is tried again.

        A full or failing disk holds this member up: it sends nothing that is
        not durable, so it is silent, another one leads, and it comes back by
        itself once the disk takes writes again. Ended, it would be started
        again and again, and answer nobody meanwhile.
        """
        if self._refused_since_s is None:
            self._refused_since_s = time.monotonic()
            logs.event("disk refuses writes", "ERROR", detail=str(error))
        if self._stopped.wait(REFUSED_RETRY_S):
            raise _StopError

    def _work(self) -> bool:
        self._wakeups += 1
        wait_s = self._core.next_wake_s() - time.monotonic()
        for item in self._collect(wait_s):
            if item is _STOP:
                self._to_apply.put(None)
                return False
            self._take(item)
        now_s = time.monotonic()
        self._core.tick(now_s)
        output = self._runner.persist(now_s, self._on_refused)
        if self._refused_since_s is not None:
            past_s = time.monotonic() - self._refused_since_s
            self._refused_since_s = None
            logs.event("disk takes writes again", after_s=round(past_s, 3))
        if output.envelopes:
            members = self._core.state.log.membership.members
            self._transport.send(output.envelopes, members)
        if output.committed or output.restore is not None:
            self._to_apply.put(output)
        self._expire(now_s)
        self._look(now_s)
        return True

    def _collect(self, wait_s: float) -> list:
        """Returns all that waits, so that it shares one write and one sync."""
        try:
            items = [self._inbox.get(timeout=max(0.0, wait_s))]
        except queue.Empty:
            return []
        while not self._inbox.empty():
            items.append(self._inbox.get())
        return items

    def _take(self, item: _Received | _Proposed | _Snapshotted) -> None:
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
            self._snapshotting = False
            logs.event(
                "snapshot written",
                index=item.index,
                size_bytes=len(item.data),
            )

    def _expire(self, now_s: float) -> None:
        late = self._waiters.expire(
            now_s,
            _no_quorum("not committed in time; it may still be, later"),
            lost=now_s - self._quorum_s > NO_QUORUM_S,
        )
        for number in late:
            self._core.forget(number)

    def _look(self, now_s: float) -> None:
        if self._core.has_quorum:
            self._quorum_s = now_s
        self._seen_s = now_s
        self._status = self._make_status()
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

    def _make_status(self) -> base.LogStatus:
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

    def _apply_all(self) -> None:
        try:
            while (output := self._to_apply.get()) is not None:
                for entry, answer in self._runner.apply(output):
                    self._waiters.answer(entry.proposal, answer)
                self._snapshot_if_due()
        except Exception as error:
            # The same entry fails in the same way at every start; the log
            # line is what an operator needs to report it.
            logs.event("apply failed", "CRITICAL", detail=repr(error))
            os._exit(1)

    def _snapshot_if_due(self) -> None:
        last_bytes = self._core.state.log.snapshot.data.size_bytes
        limit_bytes = max(SNAPSHOT_MIN_BYTES, SNAPSHOT_FACTOR * last_bytes)
        grown_bytes = self._runner.storage.grown_bytes
        if self._snapshotting or grown_bytes < limit_bytes:
            return
        self._snapshotting = True
        replica = self._runner.replica
        index = replica.applied_index
        self._inbox.put(_Snapshotted(index, replica.snapshot()))


def _role(state: state_module.CoreState) -> str:
    if state.is_leader:
        return "leader"
    if state.is_voter:
        return "follower"
    known = state.log.membership.find(state.me.id)
    return "learner" if known is not None else "outside"


def _no_quorum(detail: str) -> errors.UnavailableError:
    return errors.UnavailableError(errors.ErrorKind.NO_QUORUM, detail)
