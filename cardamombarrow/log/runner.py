"""One member: its core, its storage and its state machine, in step.

The order of things is here, once, for the running log and for the fuzzer:
what the core wants durable is synced before any message leaves and before any
entry is applied.
"""

from collections import abc
import pathlib
import random

from cardamombarrow.log import base
from cardamombarrow.log import core as core_module
from cardamombarrow.log import membership
from cardamombarrow.log import messages
from cardamombarrow.log import replica as replica_module
from cardamombarrow.log import state as state_module
from cardamombarrow.log import storage as storage_module

__all__ = ["Runner"]


class Runner:
    """Opens a data folder and carries out what the core asks for.

    Attributes:
        core: The state machine of the protocol.
        storage: The data folder.
        replica: The state machine on the log; all of it is rebuilt from the
            snapshot and the entries after it.
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
    ):
        """Opens a folder; `me.id` is the name, without the random part.

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
        )
        self.replica = replica_module.Replica(machine)
        snapshot = durable.entries.snapshot
        if snapshot.index:
            self._restore(snapshot)

    def _restore(self, snapshot: messages.Snapshot) -> None:
        data = snapshot.data
        self.replica.restore(data.read(0, data.size_bytes))

    def persist(self, now_s: float) -> messages.Output:
        """Makes durable what the core asks for.

        Returns:
            What may go out, and be applied, now that all is synced.
        """
        output = self.core.take(now_s)
        self.storage.save(output.writes)
        if output.committed:
            self.storage.save_commit(output.committed[-1].index)
        if any(isinstance(w, messages.SnapshotWrite) for w in output.writes):
            self.core.stored(self.storage.snapshot())
        return output

    def apply(
        self, output: messages.Output
    ) -> abc.Iterator[tuple[messages.Entry, bytes]]:
        """Applies what an output commits; yields each proposal's answer."""
        if output.restore is not None:
            self._restore(output.restore)
        yield from self.replica.apply(output.committed)
