"""An entry's link to the control processes.

One task per entry maintains a stream to one control process: it sends reports
of the applied revision and receives accepted documents. If the link breaks or
goes silent, or the control process has no quorum, the next one is tried.
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
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import secret as secret_module
from cardamombarrow.peers.control import codec
from cardamombarrow.peers.control import control_grpc
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import document_codec

__all__ = ["LINK_ERRORS", "ControlClient", "StaleBaseError"]

RECONNECT_MIN_S = 0.2
RECONNECT_MAX_S = 2.0

SILENCE_TIMEOUT_S = 4.0
"""A link that received nothing for this long is replaced: four heartbeats of
`followers.HEARTBEAT_S`, so that a late heartbeat does not break the link."""

NO_QUORUM_TIMEOUT_S = 3.0
"""How long to follow a control process without a quorum: longer than an
election, shorter than the time within which an edit has to be in force."""

ATTEMPT_TIMEOUT_S = 1.2
"""Maximum wait for one control process before the next one is tried. It may
have lost its quorum without having detected it, or the link may be silent."""

OWN_DOMAIN_CHECK_S = 1.0
"""Time between two checks for the own domain's control process while another
one is followed. It may not have been up at the start, or have been unreachable
for a time. Without the check, five of eight entries that started together with
the control processes got all documents from another region from then on."""

PROPOSE_PAUSE_S = 0.1
"""Pause after all control processes refused: there may be an election."""

SHUTDOWN_TIMEOUT_S = 1.0


class StaleBaseError(Exception):
    """Received changes don't apply to the text in force."""


LINK_ERRORS = (
    AttributeError,
    OSError,
    StaleBaseError,
    TimeoutError,
    exceptions.GRPCError,
    exceptions.ProtocolError,
    exceptions.StreamTerminatedError,
)
"""Exceptions that a broken or silent link raises.

grpclib 0.4 raises AttributeError if a connection is reset after it was made
and before its first stream, because its `Connection` then has no `_transport`.
An entry that started before a control process was listening crashed on it.
"""


class ControlClient(lifecycle.Part):
    """Follows accepted documents and submits commands."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        controls: tuple[str, ...],
        secret: str,
        report: abc.Callable[[bool], control_pb2.AppliedReport],
        on_document: abc.Callable[[ids.Revision, str, str], object],
        in_force: abc.Callable[[], tuple[ids.Revision, str]],
        report_interval_s: float,
        domain: ids.DomainId = ids.DomainId(""),
        on_suspects: abc.Callable[
            [abc.Sequence[control_pb2.SuspectReport]], None
        ] = lambda _: None,
        on_forwarders: abc.Callable[
            [abc.Sequence[str], abc.Sequence[str]], None
        ] = lambda near, far: None,
        on_entry_count: abc.Callable[[int], None] = lambda count: None,
        on_new: abc.Callable[[], None] = lambda: None,
        on_open_streams: abc.Callable[
            [abc.Sequence[control_pb2.OpenStreams], bool], None
        ] = lambda received, are_all: None,
        on_silence: abc.Callable[[], None] = lambda: None,
    ):
        """Builds a client.

        Args:
            loop: The thread on which it runs.
            controls: Addresses of control processes.
            secret: Shared secret of all instances.
            report: Returns this entry's report; called with whether it is the
                first one on a link.
            on_document: Called with revision, text and format of a document.
            in_force: Returns revision and text of the document in force.
            report_interval_s: Time between two reports.
            domain: Failure domain of this entry.
            on_suspects: Called with other entries' reports of suspects.
            on_forwarders: Called with the addresses of entries that take
                forwarded requests, in the own domain and in others.
            on_entry_count: Called with the number of entries of all domains.
            on_new: Called if this entry had no process before.
            on_open_streams: Called with open streams, and whether no others
                are open.
            on_silence: Called when a link is closed that was silent, so that
                what was sent on it may be lost.
        """
        self._loop = loop
        self._on_suspects = on_suspects
        self._on_forwarders = on_forwarders
        self._on_entry_count = on_entry_count
        self._on_new = on_new
        self._on_open_streams = on_open_streams
        self._on_silence = on_silence
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
        self._own_control = ""
        self._changed = asyncio.Event()
        self._stopping = False
        self._tasks: list[futures.Future[None]] = []

    def start(self) -> None:
        """Starts following."""
        self._tasks = [
            self._loop.call(loop_module.supervise(run.__name__, run))
            for run in (self._follow_forever, self._watch_own_domain)
        ]

    def stop(self) -> None:
        """Announces the shutdown and stops following."""
        self._loop.call(self._announce_shutdown()).result(
            timeout=SHUTDOWN_TIMEOUT_S + 1
        )
        for task in self._tasks:
            task.cancel()
        self._loop.call(self._close()).result(timeout=5)

    async def _announce_shutdown(self) -> None:
        self._stopping = True
        self._changed.set()
        # Gives the link time to send the last report.
        await asyncio.sleep(SHUTDOWN_TIMEOUT_S / 10)

    async def _close(self) -> None:
        for channel in self._channels.values():
            channel.close()

    def addresses(self) -> list[str]:
        """Returns the addresses of control processes, best one first."""
        return list(self._addresses)

    @property
    def is_following(self) -> bool:
        """Whether a control process sends accepted documents."""
        return bool(self._followed)

    def set_controls(self, controls: tuple[str, ...]) -> None:
        """Replaces the list of control processes; thread-safe."""
        self._loop.call(self._set_controls(controls))

    async def _set_controls(self, controls: tuple[str, ...]) -> None:
        remaining = [each for each in self._addresses if each in controls]
        added = [each for each in controls if each not in remaining]
        self._addresses = remaining + added or self._addresses
        for address in added:
            # The reply contains the failure domain of the control process.
            await self._document(address, ATTEMPT_TIMEOUT_S, brief=True)

    def _prefer_own_domain(self, address: str, domain: str) -> None:
        """Moves control processes of the own domain to the front.

        Entries then send their requests inside their domain, and only control
        processes communicate between domains, whatever the number of entries.
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

    def _disconnect(self, address: str) -> None:
        """Closes a channel, so that the next use opens a new connection."""
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
                if isinstance(error, TimeoutError):
                    self._on_silence()
            self._followed = ""
            self._disconnect(address)
            if address in self._addresses:
                self._addresses.remove(address)
                self._addresses.append(address)
            if self._own_control in self._addresses:
                self._addresses.remove(self._own_control)
                self._addresses.insert(0, self._own_control)
            self._own_control = ""
            await asyncio.sleep(random.uniform(RECONNECT_MIN_S, pause_s))
            pause_s = min(pause_s * 2, RECONNECT_MAX_S)

    async def _watch_own_domain(self) -> None:
        while not self._stopping:
            await asyncio.sleep(OWN_DOMAIN_CHECK_S)
            if self._followed and not self._is_in_own_domain(self._followed):
                await self._find_own_control()

    def _is_in_own_domain(self, address: str) -> bool:
        return self._domains.get(address) == self._domain

    async def _find_own_control(self) -> None:
        """Sets the own domain's control process, if it has a quorum."""
        for address in self._addresses:
            if address == self._followed:
                continue
            if not self._is_in_own_domain(address) and address in self._domains:
                continue
            message = await self._document(
                address, ATTEMPT_TIMEOUT_S, brief=True
            )
            has_quorum = message is not None and message.has_quorum
            if has_quorum and self._is_in_own_domain(address):
                self._own_control = address
                return

    async def _follow(self, address: str) -> None:
        loop = asyncio.get_running_loop()
        quorum_s = loop.time()
        async with asyncio.timeout(SILENCE_TIMEOUT_S) as silence:
            async with self._stub(address).Follow.open() as stream:
                await stream.send_message(self._report(True))
                sender = asyncio.create_task(self._send_reports(stream))
                try:
                    while message := await stream.recv_message():
                        self._followed = address
                        silence.reschedule(loop.time() + SILENCE_TIMEOUT_S)
                        await self._apply(message)
                        if message.has_quorum:
                            quorum_s = loop.time()
                        if loop.time() - quorum_s > NO_QUORUM_TIMEOUT_S:
                            logs.event("control without quorum", "WARNING")
                            return
                        if self._own_control:
                            logs.event("control of the own domain available")
                            return
                finally:
                    sender.cancel()

    async def _send_reports(self, stream: client.Stream) -> None:
        while not self._stopping:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._report_interval_s):
                    await self._changed.wait()
            self._changed.clear()
            report = self._report(False)
            report.leaving = self._stopping
            await stream.send_message(report)

    async def _apply(self, message: control_pb2.DocumentMessage) -> None:
        self._on_forwarders(message.near_forwarders, message.far_forwarders)
        if message.is_new:
            self._on_new()
        # Records that news have come, without which they would be doubted.
        if message.entry_count:
            self._on_entry_count(message.entry_count)
        if message.open_streams or message.knows_open_streams:
            self._on_open_streams(
                message.open_streams, message.knows_open_streams
            )
        if message.suspects:
            await asyncio.to_thread(self._on_suspects, message.suspects)
        if not document_codec.has_text(message) and not message.changes:
            return
        try:
            # Parsing would block the event loop and all other links.
            await asyncio.to_thread(self._apply_document, message)
        except (errors.RouterError, ValueError) as error:
            # Control processes of a later version may accept a document that
            # this entry can't parse. The previous one stays in force.
            logs.event("document not taken", "ERROR", detail=str(error))
        self._changed.set()

    def _apply_document(self, message: control_pb2.DocumentMessage) -> None:
        text = document_codec.text_from_wire(message)
        if message.changes:
            revision, base = self._in_force()
            if revision >= message.revision:
                return
            if revision != message.base_revision:
                # Applied to another text, the changes would result in a
                # document that was never accepted. A new link starts with a
                # report of the revision in force and gets the missing changes.
                raise StaleBaseError(
                    f"changes based on revision {message.base_revision}, "
                    f"{revision} is in force"
                )
            text = text_module.replace(base, dict(message.changes))
        self._on_document(ids.Revision(message.revision), text, message.format)

    def report_now(self) -> None:
        """Sends a report at once, after a change."""
        self._loop.call(self._set_changed())

    async def _set_changed(self) -> None:
        self._changed.set()

    def documents(
        self, timeout_s: float, *, brief: bool = False
    ) -> list[futures.Future[control_pb2.DocumentMessage | None]]:
        """Requests the newest document from each control process.

        Args:
            timeout_s: Longest wait, in seconds.
            brief: Whether the text is left out.
        """
        return [
            self._loop.call(self._document(address, timeout_s, brief=brief))
            for address in self._addresses
        ]

    async def _document(
        self, address: str, timeout_s: float, *, brief: bool = False
    ) -> control_pb2.DocumentMessage | None:
        request = control_pb2.DocumentRequest(brief=brief, takes_packed=True)
        try:
            async with asyncio.timeout(timeout_s):
                message = await self._stub(address).Document(request)
        except LINK_ERRORS:
            self._disconnect(address)
            return None
        self._prefer_own_domain(address, message.domain)
        return message

    async def confirm(
        self,
        request: control_pb2.ConfirmRequest,
        address: str,
        timeout_s: float,
    ) -> control_pb2.ConfirmReply | None:
        """Requests a confirmation from one control process, on the loop.

        Returns:
            The reply; None if there is none in time.
        """
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        detail = "no majority confirmed it in time"
        reply = None
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._stub(address).Confirm(request)
        except LINK_ERRORS as error:
            detail = repr(error)
            if address != self._followed:
                self._disconnect(address)
        if reply is None or not reply.confirmed:
            logs.event(
                "confirmation failed",
                "WARNING",
                address=address,
                detail=detail,
                elapsed_s=round(loop.time() - begin_s, 3),
                is_followed=address == self._followed,
                applied_revision=request.applied_revision,
            )
        return reply

    async def open_streams(
        self,
        request: control_pb2.OpenStreamsRequest,
        address: str,
        timeout_s: float,
    ) -> control_pb2.OpenStreamsReply | None:
        """Exchanges open streams with one control process, on the loop.

        Returns:
            The reply; None if there is none in time, or if the control process
            is of a version that does not answer.
        """
        stub = self._stub(address)
        channel = self._channels[address]
        try:
            async with asyncio.timeout(timeout_s):
                return await stub.OpenStreams(request)
        except LINK_ERRORS as error:
            is_answered = isinstance(error, exceptions.GRPCError)
            is_current = self._channels.get(address) is channel
            if address != self._followed and is_current and not is_answered:
                self._disconnect(address)
            return None

    # -- commands ----------------------------------------------------------

    def propose(
        self, command: control_pb2.Command, timeout_s: float
    ) -> futures.Future[control_pb2.Reply]:
        """Proposes a command to the log through any control process.

        A command may be submitted more than once if a reply was lost; the
        state machines apply each command only once.
        """
        return self._loop.call(self._propose(command, timeout_s))

    async def _propose(
        self, command: control_pb2.Command, timeout_s: float
    ) -> control_pb2.Reply:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        reply = _no_quorum("no control process is configured")
        while loop.time() < deadline_s:
            for address in list(self._addresses):
                left_s = deadline_s - loop.time()
                if left_s <= 0:
                    break
                reply = await self._attempt(
                    command, address, min(left_s, ATTEMPT_TIMEOUT_S)
                )
                if reply.WhichOneof("kind") != "failure":
                    return reply
            await asyncio.sleep(PROPOSE_PAUSE_S)
        return reply

    async def _attempt(
        self, command: control_pb2.Command, address: str, timeout_s: float
    ) -> control_pb2.Reply:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._stub(address).Propose(command)
        except LINK_ERRORS as error:
            if address != self._followed:
                # Nothing else monitors this link: if it is silent, all later
                # commands on it would time out.
                self._disconnect(address)
            return _no_quorum(f"{address}: {error!r}")


def _no_quorum(detail: str) -> control_pb2.Reply:
    return codec.failure_to_wire(
        errors.UnavailableError(errors.ErrorKind.NO_QUORUM, detail)
    )
