"""Confirms that a control process knows all that was accepted.

Each confirmation costs a round of the log. All who ask while one round is
under way share the next one, which begins when the one before has ended, or
has lasted for `OVERLAP_S`: however many entries follow a control process, it
begins no more rounds than that. Without the second bound those who ask while
there is no leader wait for two rounds, one after the other, once there is one.
"""

import asyncio

from cardamombarrow.kernel import errors
from cardamombarrow.log import base

__all__ = ["Confirmations"]

OVERLAP_S = 0.1
"""Time from one round to the next while the first lasts: above a round without
faults (a round trip between regions and a sync), so that none overlap then."""

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
            await asyncio.wait([before], timeout=OVERLAP_S)
        # A round covers only what was accepted before it begins, so whoever
        # asks from here on waits for another one.
        self._running, self._next = self._next, None
        try:
            barrier = asyncio.wrap_future(self._log.barrier())
            await asyncio.wait_for(barrier, TIMEOUT_S)
        except (TimeoutError, errors.RouterError):
            return False
        return True
