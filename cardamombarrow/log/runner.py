"""One member of the log: core, storage and state machine.

Enforces the order of operations for both the running log and the fuzzer: the
core's writes are synced before any message is sent and before any entry is
applied.
"""

from collections import abc
import contextlib
import pathlib
import random

from cardamombarrow.log import base
from cardamombarrow.log import core as core_module
from cardamombarrow.log import membership
from cardamombarrow.log import messages
from cardamombarrow.log import replica as replica_module
from cardamombarrow.log import state as state_module
from cardamombarrow.log import storage as storage_module

__all__ = ["OnWriteError", "Runner"]

OnWriteError = abc.Callable[[OSError], None]


def _raise(error: OSError) -> None:
    raise error


class Runner:
    """Opens a data folder and processes the core's output.

    Attributes:
        core: The protocol.
        storage: The data folder.
        replica: The replicated state machine; it is rebuilt from the snapshot
            and the entries after it.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        me: membership.Member,
        machine: base.StateMachine,
        contacts: tuple[membership.Member, ...],
        is_founder: bool,
        rng: random.Random,
        now_s: float,
        sync: abc.Callable[[int], None],
        timing: state_module.Timing | None = None,
        keep_entries: int = core_module.KEEP_ENTRIES,
        membership_policy: state_module.MembershipPolicy | None = None,
    ):
        """Opens a folder; `me.id` is the name without the random part.

        Raises:
            storage_module.CorruptError: The folder is damaged.
        """
        self.storage = storage_module.Storage(folder, me.id, sync)
        durable = self.storage.load()
        self.core = core_module.Core(
            membership.Member(self.storage.identity, me.address),
            durable,
            rng,
            now_s,
            timing,
            contacts,
            is_founder,
            keep_entries,
            membership_policy,
        )
        self.replica = replica_module.Replica(machine)
        snapshot = durable.entries.snapshot
        if snapshot.index:
            self._restore(snapshot)

    def _restore(self, snapshot: messages.Snapshot) -> None:
        data = snapshot.data
        self.replica.restore(data.read(0, data.size_bytes))

    def persist(
        self, now_s: float, on_write_error: OnWriteError = _raise
    ) -> messages.Output:
        """Syncs the core's pending writes.

        Args:
            now_s: The current time.
            on_write_error: Called when a write fails; returns when the write
                is to be tried again, or raises.

        Returns:
            The core's output, whose envelopes and committed entries may now
            be sent and applied.
        """
        output = self.core.take_output(now_s)
        for batch in storage_module.batches(output.writes):
            self._save(batch, on_write_error)
        if output.committed:
            # Needed only for a start without peers, so a failed write is
            # not an error.
            with contextlib.suppress(OSError):
                self.storage.save_commit(output.committed[-1].index)
        if any(isinstance(w, messages.SnapshotWrite) for w in output.writes):
            self.core.use_stored_snapshot(self.storage.snapshot())
        return output

    def _save(
        self, batch: storage_module.Batch, on_write_error: OnWriteError
    ) -> None:
        while True:
            try:
                self.storage.save(batch)
                return
            except OSError as error:
                on_write_error(error)

    def apply(
        self, output: messages.Output
    ) -> abc.Iterator[tuple[messages.Entry, bytes]]:
        """Applies committed entries; yields each proposal's answer."""
        if output.restore is not None:
            self._restore(output.restore)
        yield from self.replica.apply(output.committed)
