"""Periodic confirmation that an entry's document is the newest.

Receiving no update does not prove that there is none: a broken link or a
control process that lags behind looks the same. The entry therefore requests
confirmations, and a control process replies after a majority has confirmed
its state. `entry.documents.lease` evaluates the replies.
"""

import asyncio
from collections import abc
from concurrent import futures
import contextlib
import dataclasses

from cardamombarrow.kernel import clock
from cardamombarrow.kernel import logs
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers.control import client as control_client
from cardamombarrow.peers.control import control_pb2

__all__ = ["ConfirmationLoop"]

INTERVAL_S = 1.0
"""Time between two confirmations: some fit into the shortest bound in use."""

RETRY_S = 0.2

NEXT_AFTER_S = 0.4
"""Time without a reply after which the next control process is also asked:
above a round of the log with a slow disk."""

ATTEMPT_TIMEOUT_S = 2.0
"""Maximum wait for one control process: a reply that takes as long as an
election still leaves time within the shortest bound in use."""

FLUSH_TIMEOUT_S = 0.3
"""Maximum wait when stopping: the request arrives long before its reply."""

OnReply = abc.Callable[[str, float, control_pb2.ConfirmReply], None]


@dataclasses.dataclass(frozen=True)
class _Confirmation:
    """A reply that confirms a document.

    Attributes:
        address: The control process that sent it.
        asked_s: When it was requested.
    """

    address: str
    asked_s: float
    reply: control_pb2.ConfirmReply


class ConfirmationLoop(loop_module.LoopPart):
    """Requests confirmations; one task on the loop."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        control: control_client.ControlClient,
        request: abc.Callable[[str], control_pb2.ConfirmRequest],
        on_reply: OnReply,
        time_source: clock.Clock,
    ):
        """Creates the task.

        Args:
            loop: The loop on which it runs.
            control: The links to the control processes.
            request: Returns the request to the control process at an address.
            on_reply: Called with the address of the control process, the time
                of the request and the reply; runs in a thread.
            time_source: The clock for the time of the request.
        """
        super().__init__(loop)
        self._control = control
        self._request = request
        self._on_reply = on_reply
        self._clock = time_source

    async def _run(self) -> None:
        was_confirmed = False
        while True:
            begin_s = self._clock.now_s()
            found = await self._confirm_once()
            if was_confirmed != (found is not None):
                was_confirmed = found is not None
                logs.event(
                    "document confirmed" if found else "document in doubt",
                    "INFO" if found else "WARNING",
                    asked=self._control.addresses(),
                )
            if found is None:
                await asyncio.sleep(RETRY_S)
                continue
            await asyncio.to_thread(
                self._on_reply, found.address, found.asked_s, found.reply
            )
            elapsed_s = self._clock.now_s() - begin_s
            await asyncio.sleep(max(INTERVAL_S - elapsed_s, RETRY_S))

    async def _confirm_once(self) -> _Confirmation | None:
        """Asks one control process after another until one confirms.

        Those that have not replied yet continue to be waited for, so that a
        control process that restarts does not delay the others' replies.
        """
        attempts: set[asyncio.Task[_Confirmation | None]] = set()
        addresses = iter(self._control.addresses())
        try:
            while True:
                address = next(addresses, None)
                if address is not None:
                    attempts.add(asyncio.create_task(self._ask(address)))
                if not attempts:
                    return None
                done, attempts = await asyncio.wait(
                    attempts,
                    timeout=None if address is None else NEXT_AFTER_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for attempt in done:
                    if attempt.result() is not None:
                        return attempt.result()
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def _ask(self, address: str) -> _Confirmation | None:
        # A change that is accepted before the request arrives is covered, so
        # waits for other control processes must not count.
        asked_s = self._clock.now_s()
        reply = await self._control.confirm(
            self._request(address), address, ATTEMPT_TIMEOUT_S
        )
        if reply is None or not reply.confirmed:
            return None
        return _Confirmation(address, asked_s, reply)

    def flush(self) -> None:
        """Sends a last request when stopping, to report the latest usage."""
        with contextlib.suppress(futures.TimeoutError):
            self._loop.call(self._confirm_once()).result(
                timeout=FLUSH_TIMEOUT_S
            )
