"""Confirms that a control process knows all that was accepted.

Each confirmation costs a round of the log. All who ask while one round is
under way share the next one: however many entries follow a control process,
it has one round in flight.
"""

import asyncio

from cardamombarrow.kernel import errors
from cardamombarrow.log import base

__all__ = ["Confirmations"]

TIMEOUT_S = 3.0
"""Longer than an election: those who ask give up earlier by themselves."""


class Confirmations:
    """Shares rounds of the log among those who ask; lives on one loop."""

    def __init__(self, log: base.Log):
        self._log = log
        self._running: asyncio.Task[bool] | None = None
        self._next: asyncio.Task[bool] | None = None

    async def confirm(self) -> bool:
        """Waits until all that was accepted before this call is applied.

        Returns:
            False where no majority confirmed it in time.
        """
        if self._next is None:
            self._next = asyncio.create_task(self._round(self._running))
        # One who gives up must not end the round that others wait for.
        return await asyncio.shield(self._next)

    async def _round(self, before: "asyncio.Task[bool] | None") -> bool:
        if before is not None:
            await asyncio.wait([before])
        # A round covers only what was accepted before it begins, so whoever
        # asks from here on waits for another one.
        self._running, self._next = self._next, None
        try:
            barrier = asyncio.wrap_future(self._log.barrier())
            await asyncio.wait_for(barrier, TIMEOUT_S)
        except (TimeoutError, errors.RouterError):
            return False
        return True
