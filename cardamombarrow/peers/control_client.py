"""An entry's standing link to the control processes.

One task per entry keeps a stream to one control process: reports of the
applied revision go up, accepted documents come down. When the link breaks or
goes silent, or its control process has no quorum, the next one is tried.
"""

import asyncio
from collections import abc
from concurrent import futures
import contextlib
import random

from grpclib import client
from grpclib import exceptions

from cardamombarrow.document import text as text_module
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs
from cardamombarrow.peers import codec
from cardamombarrow.peers import control_grpc
from cardamombarrow.peers import control_pb2
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import secret as secret_module

__all__ = ["LINK_ERRORS", "ControlClient", "StaleBaseError"]

RECONNECT_MIN_S = 0.2
RECONNECT_MAX_S = 2.0

SILENT_S = 4.0
"""A link on which nothing came for this long is replaced: four heartbeats of
`followers.HEARTBEAT_S`, so that one late heartbeat does no harm."""

NO_QUORUM_MOVE_S = 3.0
"""How long a control process without a quorum is followed: longer than an
election takes, shorter than an edit may take to be in force."""

ATTEMPT_S = 1.2
"""Longest wait for one control process before the next is asked. It may have
lost its quorum without knowing it yet, or the link may be silent."""

NEAR_LOOK_S = 1.0
"""Time between two looks for the own domain's control process while another
one is followed. It was not there yet at the start, or was lost for a time;
without the look an entry gets all documents from another region from then on:
of eight entries that started with the control processes, five did."""

PROPOSE_PAUSE_S = 0.1
"""Pause after every control process has refused: an election may be on."""

GOODBYE_S = 1.0


class StaleBaseError(Exception):
    """Changes came for another text than the one in force."""


LINK_ERRORS = (
    AttributeError,
    OSError,
    StaleBaseError,
    TimeoutError,
    exceptions.GRPCError,
    exceptions.ProtocolError,
    exceptions.StreamTerminatedError,
)
"""What a broken or silent link raises.

grpclib 0.4 raises AttributeError when a connection is reset between being
made and its first stream: its `Connection` has lost `_transport` by then. An
entry that started while a control process was not listening yet ended by it.
"""


class ControlClient(lifecycle.Part):
    """Follows documents and hands in commands."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        controls: tuple[str, ...],
        secret: str,
        report: abc.Callable[[], control_pb2.AppliedReport],
        on_document: abc.Callable[[ids.Revision, str, str], object],
        in_force: abc.Callable[[], tuple[ids.Revision, str]],
        report_interval_s: float,
        domain: ids.DomainId = ids.DomainId(""),
    ):
        self._loop = loop
        self._domain = domain
        self._domains: dict[str, str] = {}
        self._addresses = list(controls)
        random.shuffle(self._addresses)
        self._secret = secret
        self._report = report
        self._on_document = on_document
        self._in_force = in_force
        self._report_interval_s = report_interval_s
        self._channels: dict[str, client.Channel] = {}
        self._followed = ""
        self._near = ""
        self._changed = asyncio.Event()
        self._stopping = False
        self._tasks: list[futures.Future[None]] = []

    def start(self) -> None:
        """Starts following."""
        self._tasks = [
            self._loop.call(self._follow_forever()),
            self._loop.call(self._look_near_forever()),
        ]

    def stop(self) -> None:
        """Says goodbye and stops following."""
        self._loop.call(self._goodbye()).result(timeout=GOODBYE_S + 1)
        for task in self._tasks:
            task.cancel()
        self._loop.call(self._close()).result(timeout=5)

    async def _goodbye(self) -> None:
        self._stopping = True
        self._changed.set()
        # Leaves the link time to send the goodbye.
        await asyncio.sleep(GOODBYE_S / 10)

    async def _close(self) -> None:
        for channel in self._channels.values():
            channel.close()

    def addresses(self) -> list[str]:
        """Returns the control processes, the one to ask first in front."""
        return list(self._addresses)

    def set_controls(self, controls: tuple[str, ...]) -> None:
        """Takes another list of control processes; from any thread."""
        self._loop.call(self._set_controls(controls))

    async def _set_controls(self, controls: tuple[str, ...]) -> None:
        kept = [each for each in self._addresses if each in controls]
        added = [each for each in controls if each not in kept]
        self._addresses = kept + added or self._addresses
        for address in added:
            # Tells in which domain it stands.
            await self._document(address, ATTEMPT_S)

    def _prefer_own_domain(self, address: str, domain: str) -> None:
        """Puts control processes of the own domain first.

        Each answer is then asked for inside the domain, and only the control
        processes speak between domains, however many entries there are.
        """
        if self._domains.get(address) == domain:
            return
        self._domains[address] = domain
        self._addresses.sort(
            key=lambda each: self._domains.get(each) != self._domain
        )

    def _stub(self, address: str) -> control_grpc.ControlStub:
        if address not in self._channels:
            self._channels[address] = secret_module.channel(
                address, self._secret
            )
        return control_grpc.ControlStub(self._channels[address])

    def _drop(self, address: str) -> None:
        """Closes a channel, so that the next use connects anew."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    # -- following ---------------------------------------------------------

    async def _follow_forever(self) -> None:
        pause_s = RECONNECT_MIN_S
        while self._addresses:
            address = self._addresses[0]
            try:
                await self._follow(address)
                pause_s = RECONNECT_MIN_S
            except LINK_ERRORS as error:
                logs.event(
                    "control link lost",
                    "WARNING",
                    address=address,
                    detail=repr(error),
                )
            self._followed = ""
            self._drop(address)
            self._addresses.remove(address)
            self._addresses.append(address)
            if self._near in self._addresses:
                self._addresses.remove(self._near)
                self._addresses.insert(0, self._near)
            self._near = ""
            await asyncio.sleep(random.uniform(RECONNECT_MIN_S, pause_s))
            pause_s = min(pause_s * 2, RECONNECT_MAX_S)

    async def _look_near_forever(self) -> None:
        while not self._stopping:
            await asyncio.sleep(NEAR_LOOK_S)
            if self._followed and not self._is_own(self._followed):
                await self._look_near()

    def _is_own(self, address: str) -> bool:
        return self._domains.get(address) == self._domain

    async def _look_near(self) -> None:
        """Notes the own domain's control process, if it has a quorum."""
        for address in self._addresses:
            if address == self._followed:
                continue
            if not self._is_own(address) and address in self._domains:
                continue
            message = await self._document(address, ATTEMPT_S, brief=True)
            has_quorum = message is not None and message.has_quorum
            if has_quorum and self._is_own(address):
                self._near = address
                return

    async def _follow(self, address: str) -> None:
        loop = asyncio.get_running_loop()
        quorum_s = loop.time()
        async with asyncio.timeout(SILENT_S) as silence:
            async with self._stub(address).Follow.open() as stream:
                await stream.send_message(self._report())
                sender = asyncio.create_task(self._send_reports(stream))
                try:
                    while message := await stream.recv_message():
                        self._followed = address
                        silence.reschedule(loop.time() + SILENT_S)
                        await self._take(message)
                        if message.has_quorum:
                            quorum_s = loop.time()
                        if loop.time() - quorum_s > NO_QUORUM_MOVE_S:
                            logs.event("control without quorum", "WARNING")
                            return
                        if self._near:
                            logs.event("control of the own domain is back")
                            return
                finally:
                    sender.cancel()

    async def _send_reports(self, stream: client.Stream) -> None:
        while not self._stopping:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait(), self._report_interval_s
                )
            self._changed.clear()
            report = self._report()
            report.leaving = self._stopping
            await stream.send_message(report)

    async def _take(self, message: control_pb2.DocumentMessage) -> None:
        if not message.text and not message.changes:
            return
        try:
            # Parsing takes long enough to hold up every other link.
            await asyncio.to_thread(self._put_in_force, message)
        except errors.RouterError as error:
            # A later version of the control processes may accept what this
            # one can't read. It keeps what it has in force.
            logs.event("document not taken", "ERROR", detail=error.detail)
        self._changed.set()

    def _put_in_force(self, message: control_pb2.DocumentMessage) -> None:
        text = message.text
        if message.changes:
            revision, base = self._in_force()
            if revision >= message.revision:
                return
            if revision != message.base_revision:
                # Put on another text the changes would give a document that
                # nobody accepted. A new link starts with a report of what is
                # in force here, and gets what is lacking.
                raise StaleBaseError(
                    f"changes of revision {message.base_revision}, "
                    f"{revision} in force"
                )
            text = text_module.replace(base, dict(message.changes))
        self._on_document(ids.Revision(message.revision), text, message.format)

    def report_now(self) -> None:
        """Sends a report at once, because another revision is in force."""
        self._loop.call(self._set_changed())

    async def _set_changed(self) -> None:
        self._changed.set()

    def documents(
        self, timeout_s: float
    ) -> list[futures.Future[control_pb2.DocumentMessage | None]]:
        """Asks every control process for its newest document."""
        return [
            self._loop.call(self._document(address, timeout_s))
            for address in self._addresses
        ]

    async def _document(
        self, address: str, timeout_s: float, *, brief: bool = False
    ) -> control_pb2.DocumentMessage | None:
        request = control_pb2.DocumentRequest(brief=brief)
        try:
            message = await asyncio.wait_for(
                self._stub(address).Document(request), timeout_s
            )
        except LINK_ERRORS:
            self._drop(address)
            return None
        self._prefer_own_domain(address, message.domain)
        return message

    async def confirm(
        self,
        request: control_pb2.ConfirmRequest,
        address: str,
        timeout_s: float,
    ) -> control_pb2.ConfirmReply | None:
        """Asks one control process for a confirmation, on the loop.

        Returns:
            None where it does not answer in time.
        """
        try:
            return await asyncio.wait_for(
                self._stub(address).Confirm(request), timeout_s
            )
        except LINK_ERRORS:
            if address != self._followed:
                self._drop(address)
            return None

    # -- commands ----------------------------------------------------------

    def propose(
        self, command: control_pb2.Command, timeout_s: float
    ) -> futures.Future[control_pb2.Reply]:
        """Hands a command to the log by way of any control process.

        A command may be handed in more than once, where an answer was lost;
        the state machines take each command once only.
        """
        return self._loop.call(self._propose(command, timeout_s))

    async def _propose(
        self, command: control_pb2.Command, timeout_s: float
    ) -> control_pb2.Reply:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        reply = _no_quorum("no control process is set")
        while loop.time() < deadline_s:
            for address in list(self._addresses):
                left_s = deadline_s - loop.time()
                if left_s <= 0:
                    break
                reply = await self._attempt(
                    command, address, min(left_s, ATTEMPT_S)
                )
                if reply.WhichOneof("kind") != "failure":
                    return reply
            await asyncio.sleep(PROPOSE_PAUSE_S)
        return reply

    async def _attempt(
        self, command: control_pb2.Command, address: str, timeout_s: float
    ) -> control_pb2.Reply:
        try:
            return await asyncio.wait_for(
                self._stub(address).Propose(command), timeout_s
            )
        except LINK_ERRORS as error:
            if address != self._followed:
                # Nothing else watches this link: had it gone silent, every
                # later command on it would wait in vain.
                self._drop(address)
            return _no_quorum(f"{address}: {error!r}")


def _no_quorum(detail: str) -> control_pb2.Reply:
    return codec.failure_to_wire(
        errors.UnavailableError(errors.ErrorKind.NO_QUORUM, detail)
    )
