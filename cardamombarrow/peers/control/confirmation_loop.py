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

from cardamombarrow.kernel import clock
from cardamombarrow.kernel import logs
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers.control import client as control_client
from cardamombarrow.peers.control import control_pb2

__all__ = ["ConfirmationLoop"]

INTERVAL_S = 1.0
"""Time between two confirmations: some fit into the shortest bound in use."""

RETRY_S = 0.2

ATTEMPT_TIMEOUT_S = 1.0
"""Maximum wait for one control process: above a round of the log with a slow
disk, and short enough that another one can be tried within the bound."""

FLUSH_TIMEOUT_S = 0.3
"""Maximum wait when stopping: the request arrives long before its reply."""

OnReply = abc.Callable[[str, float, control_pb2.ConfirmReply], None]


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
        confirmed = False
        while True:
            asked_s = self._clock.now_s()
            address, reply = await self._confirm_once()
            if confirmed != (reply is not None):
                confirmed = reply is not None
                logs.event(
                    "document confirmed" if confirmed else "document in doubt",
                    "INFO" if confirmed else "WARNING",
                    asked=self._control.addresses(),
                )
            if reply is None:
                await asyncio.sleep(RETRY_S)
                continue
            await asyncio.to_thread(self._on_reply, address, asked_s, reply)
            elapsed_s = self._clock.now_s() - asked_s
            await asyncio.sleep(max(INTERVAL_S - elapsed_s, RETRY_S))

    async def _confirm_once(
        self,
    ) -> tuple[str, control_pb2.ConfirmReply | None]:
        for address in self._control.addresses():
            reply = await self._control.confirm(
                self._request(address), address, ATTEMPT_TIMEOUT_S
            )
            if reply is not None and reply.confirmed:
                return address, reply
        return "", None

    def flush(self) -> None:
        """Sends a last request when stopping, to report the latest usage."""
        with contextlib.suppress(futures.TimeoutError):
            self._loop.call(self._confirm_once()).result(
                timeout=FLUSH_TIMEOUT_S
            )
