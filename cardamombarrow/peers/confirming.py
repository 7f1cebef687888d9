"""An entry asks again and again whether its document is the newest.

What an entry hears by itself never tells that there is nothing newer: a link
that was cut, or a control process that lags, is as silent as one that has no
news. So an entry asks, and a control process answers after a majority has
confirmed what it knows. `entry.lease` says what follows from the answers.
"""

import asyncio
from collections import abc
from concurrent import futures
import contextlib

from cardamombarrow.kernel import clock
from cardamombarrow.kernel import logs
from cardamombarrow.peers import control_client
from cardamombarrow.peers import control_pb2
from cardamombarrow.peers import loop as loop_module

__all__ = ["Confirming"]

INTERVAL_S = 1.0
"""Time between two confirmations: some fit into the shortest bound in use."""

RETRY_S = 0.2

ATTEMPT_S = 1.0
"""Longest wait for one control process: above a round of the log with a slow
disk, and short enough that another one can be asked within the bound."""

FLUSH_TIMEOUT_S = 0.3
"""Longest wait at a stop: what is told has arrived long before an answer."""

OnReply = abc.Callable[[str, float, control_pb2.ConfirmReply], None]


class Confirming(loop_module.LoopPart):
    """Asks for confirmations; one task on the loop."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        control: control_client.ControlClient,
        request: abc.Callable[[str], control_pb2.ConfirmRequest],
        on_reply: OnReply,
        time_source: clock.Clock,
    ):
        """Builds the task.

        Args:
            loop: Where it runs.
            control: The links to the control processes.
            request: Returns what to ask a control process, by its address.
            on_reply: Takes whom was asked, the moment at which, and the
                answer; runs in a thread.
            time_source: The clock of those moments.
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
            address, reply = await self._ask()
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
            past_s = self._clock.now_s() - asked_s
            await asyncio.sleep(max(INTERVAL_S - past_s, RETRY_S))

    async def _ask(self) -> tuple[str, control_pb2.ConfirmReply | None]:
        for address in self._control.addresses():
            reply = await self._control.confirm(
                self._request(address), address, ATTEMPT_S
            )
            if reply is not None and reply.confirmed:
                return address, reply
        return "", None

    def flush(self) -> None:
        """Asks once more before the process stops, for what asking tells."""
        with contextlib.suppress(futures.TimeoutError):
            self._loop.call(self._ask()).result(timeout=FLUSH_TIMEOUT_S)
