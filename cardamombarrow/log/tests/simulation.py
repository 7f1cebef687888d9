"""Simulation of a group of members in one thread, with faults and an oracle.

Core, storage and replica are the real ones; network, clock and power failures
are simulated.
"""

import hashlib
import json
import os
import pathlib
import random
import shutil

from cardamombarrow.log import base
from cardamombarrow.log import leading
from cardamombarrow.log import membership
from cardamombarrow.log import messages
from cardamombarrow.log import runner
from cardamombarrow.log import state as state_module

STEP_S = 0.05
TIMING = state_module.Timing()

# One or two entries per message, as with large entries on a slow link: a new
# leader's entries of earlier terms then arrive before its own first entry.
leading.MESSAGE_LIMIT_BYTES = 12
leading.CHUNK_LIMIT_BYTES = 200


class CommandRecorder(base.StateMachine):
    """Stores every command and answers with its position."""

    def __init__(self):
        self.commands: list[str] = []

    def apply(self, index: int, command: bytes) -> bytes:
        self.commands.append(command.decode())
        return str(len(self.commands)).encode()

    def snapshot(self) -> bytes:
        return json.dumps(self.commands).encode()

    def restore(self, snapshot: bytes) -> None:
        self.commands = json.loads(snapshot)


class Oracle:
    """Checks the invariants that must hold under all faults."""

    def __init__(self):
        self._entries: dict[int, messages.Entry] = {}
        self._digests: dict[int, str] = {}
        self._leaders: dict[int, str] = {}
        self.answered: dict[str, int] = {}

    def check(self, node: "Node", output: messages.Output) -> None:
        state = node.runner.core.state
        for entry in output.committed:
            known = self._entries.setdefault(entry.index, entry)
            assert known == entry, "a committed entry changed"
        if state.is_leader:
            leader = self._leaders.setdefault(state.term, state.me.id)
            assert leader == state.me.id, "two leaders in one term"

    def check_applied(self, node: "Node") -> None:
        index = node.runner.replica.applied_index
        raw = json.dumps(node.machine.commands).encode()
        digest = hashlib.sha256(raw).hexdigest()
        known = self._digests.setdefault(index, digest)
        assert known == digest, "state machines disagree"
        assert len(set(node.machine.commands)) == len(node.machine.commands)
        for command, position in self.answered.items():
            if len(node.machine.commands) >= position:
                assert node.machine.commands[position - 1] == command

    @property
    def last_index(self) -> int:
        return max(self._entries, default=0)


class Node:
    """One process and its disk."""

    def __init__(self, cluster: "Cluster", name: str):
        self._cluster = cluster
        self.name = name
        self.folder = cluster.folder / name
        self.runner: runner.Runner | None = None
        self.machine = CommandRecorder()
        self.proposed: dict[int, str] = {}
        self._synced: dict[int, int] = {}

    def start(self) -> None:
        cluster = self._cluster
        self.machine = CommandRecorder()
        self.proposed = {}
        contacts = tuple(
            membership.Member(membership.VoterId(name), name)
            for name in cluster.founders
            if name != self.name
        )
        self.runner = runner.Runner(
            self.folder,
            membership.Member(membership.VoterId(self.name), self.name),
            self.machine,
            contacts,
            self.name == cluster.founders[0],
            cluster.rng,
            cluster.now_s,
            self._on_sync,
            TIMING,
            keep_entries=3,
            membership_policy=cluster.membership_policy,
        )
        self.process_output()

    def _on_sync(self, descriptor: int) -> None:
        status = os.fstat(descriptor)
        self._synced[status.st_ino] = status.st_size

    def crash(self, persisted_share: float) -> None:
        """Simulates a power failure that loses a part of the unsynced data."""
        self.runner.storage.close()
        self.runner = None
        path = self.folder / "log"
        status = path.stat()
        synced = self._synced.get(status.st_ino, 0)
        size_bytes = synced + int((status.st_size - synced) * persisted_share)
        os.truncate(path, size_bytes)

    def lose_disk(self) -> None:
        if self.runner:
            self.runner.storage.close()
        self.runner = None
        shutil.rmtree(self.folder)

    def propose(self, command: str) -> None:
        number = self.runner.core.propose(
            messages.EntryKind.COMMAND, command.encode()
        )
        self.proposed[number] = command
        self.process_output()

    def change(self, change: membership.Change) -> None:
        self.runner.core.propose(messages.EntryKind.CHANGE, change.encode())
        self.process_output()

    def process_output(self, drop_output: bool = False) -> None:
        """Processes the core's output."""
        cluster = self._cluster
        output = self.runner.persist(cluster.now_s)
        cluster.oracle.check(self, output)
        if drop_output:
            return
        for envelope in output.envelopes:
            cluster.post(self.name, envelope)
        for entry, answer in self.runner.apply(output):
            command = self.proposed.pop(entry.proposal, None)
            if command is not None:
                cluster.oracle.answered[command] = int(answer)
        cluster.oracle.check_applied(self)

    def snapshot(self) -> None:
        replica = self.runner.replica
        self.runner.core.compact(replica.applied_index, replica.snapshot())
        self.process_output()


class Cluster:
    """All processes and the network between them."""

    def __init__(
        self,
        folder: pathlib.Path,
        names: list[str],
        seed: int,
        membership_policy: state_module.MembershipPolicy | None = None,
    ):
        self.membership_policy = membership_policy
        self.folder = folder
        self.founders = names
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.oracle = Oracle()
        self.cuts: set[tuple[str, str]] = set()
        self.in_transit: list[tuple[str, str, messages.Envelope]] = []
        self.nodes = {name: Node(self, name) for name in names}
        self._count = 0
        for node in self.nodes.values():
            node.start()

    @property
    def alive(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.runner]

    def add_node(self, name: str) -> None:
        self.nodes[name] = Node(self, name)
        self.nodes[name].start()

    def post(self, sender: str, envelope: messages.Envelope) -> None:
        receiver = envelope.address or membership.name_of(envelope.hop)
        if (sender, receiver) not in self.cuts and receiver in self.nodes:
            self.in_transit.append((sender, receiver, envelope))

    def deliver(self, position: int, duplicate: bool = False) -> None:
        """Delivers one of the pending messages; `duplicate` duplicates it."""
        position %= len(self.in_transit)
        sender, receiver, envelope = self.in_transit[position]
        if not duplicate:
            del self.in_transit[position]
        node = self.nodes[receiver]
        if node.runner and (sender, receiver) not in self.cuts:
            self._step(node, sender, envelope)

    def _step(self, node: Node, sender: str, envelope) -> None:
        sending = self.nodes[sender].runner
        via = sending.core.state.me.id if sending else sender
        node.runner.core.step(envelope, self.now_s, via)
        node.process_output()

    def tick(self, name: str) -> None:
        node = self.nodes[name]
        if node.runner:
            node.runner.core.tick(self.now_s)
            # Otherwise the log thread would spin.
            assert node.runner.core.next_wake_s() > self.now_s
            node.process_output()

    def run(self, duration_s: float) -> None:
        """Advances the time while the network delivers in order."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            for name in list(self.nodes):
                self.tick(name)
            for _ in range(len(self.in_transit)):
                self.deliver(0)

    def run_until(self, condition, limit_s: float = 30.0) -> bool:
        end_s = self.now_s + limit_s
        while not condition():
            if self.now_s >= end_s:
                return False
            self.run(STEP_S)
        return True

    def next_command(self) -> str:
        self._count += 1
        return f"command-{self._count}"

    def leader(self) -> Node | None:
        leaders = [n for n in self.alive if n.runner.core.state.is_leader]
        return max(
            leaders, key=lambda n: n.runner.core.state.term, default=None
        )

    def cut(self, one: str, other: str) -> None:
        self.cuts |= {(one, other), (other, one)}

    def heal(self) -> None:
        self.cuts.clear()

    def answers(self, name: str) -> bool:
        """Whether a proposal at a node is answered in time."""
        command = self.next_command()
        self.nodes[name].propose(command)
        return self.run_until(lambda: command in self.oracle.answered)
