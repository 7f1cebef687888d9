"""Confirmation that a control process has applied all accepted commands.

Each confirmation takes a round of the log. All requests that arrive during a
round share the next one, which begins when the current round has ended or has
lasted for `OVERLAP_S`; the number of rounds is therefore independent of the
number of entries. Without the second condition, requests that arrive while
there is no leader would wait for two consecutive rounds after the election.
"""

import asyncio

from cardamombarrow.kernel import errors
from cardamombarrow.log import base

__all__ = ["ConfirmationBatcher"]

OVERLAP_S = 0.1
"""Time after which the next round begins although the current one has not
ended: above a round without faults (a round trip between regions and a sync),
so that rounds overlap only if there are faults."""

TIMEOUT_S = 3.0
"""Timeout of a round: longer than an election; clients time out earlier."""


class ConfirmationBatcher:
    """Shares rounds of the log between requests; runs on one loop."""

    def __init__(self, log: base.Log):
        self._log = log
        self._running: asyncio.Task[bool] | None = None
        self._next: asyncio.Task[bool] | None = None

    async def confirm(self) -> bool:
        """Waits until all commands accepted before this call are applied.

        Returns:
            False if no majority confirmed it in time.
        """
        if self._next is None:
            self._next = asyncio.create_task(self._round(self._running))
        # A caller that is cancelled must not cancel the shared round.
        return await asyncio.shield(self._next)

    async def _round(self, before: "asyncio.Task[bool] | None") -> bool:
        if before is not None:
            await asyncio.wait([before], timeout=OVERLAP_S)
        # A round covers only commands accepted before it begins, so requests
        # from here on need another one.
        self._running, self._next = self._next, None
        try:
            barrier = asyncio.wrap_future(self._log.barrier())
            async with asyncio.timeout(TIMEOUT_S):
                await barrier
        except (TimeoutError, errors.RouterError):
            return False
        return True
