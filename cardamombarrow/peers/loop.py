"""The one asyncio loop of a process.

grpclib needs an event loop. It runs in one thread and is used through
`LoopThread.call`, which returns a `concurrent.futures.Future`; the rest of the
project uses threads.
"""

import abc
import asyncio
import collections
from collections import abc as collections_abc
from concurrent import futures
import contextlib
import threading
import typing

from cardamombarrow.kernel import background
from cardamombarrow.kernel import lifecycle

__all__ = ["LoopPart", "LoopThread", "supervise"]

_T = typing.TypeVar("_T")


class LoopThread(lifecycle.Part):
    """A thread that runs an asyncio loop."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._callbacks: collections.deque[
            collections_abc.Callable[[], None]
        ] = collections.deque()
        self._is_scheduled = False
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="loop", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Cancels all running tasks and ends the thread."""
        asyncio.run_coroutine_threadsafe(self._cancel_all(), self._loop).result(
            timeout=5
        )
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(timeout=5)

    async def _cancel_all(self) -> None:
        tasks = [
            task
            for task in asyncio.all_tasks()
            if task is not asyncio.current_task()
        ]
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=2) if tasks else None

    def call(
        self, coroutine: collections_abc.Coroutine[typing.Any, typing.Any, _T]
    ) -> futures.Future[_T]:
        """Runs a coroutine on the loop, from any other thread."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def call_soon(self, callback: collections_abc.Callable[[], None]) -> None:
        """Schedules a callback on the loop, from any thread."""
        self._callbacks.append(callback)
        if self._is_scheduled:
            return
        self._is_scheduled = True
        with contextlib.suppress(RuntimeError):
            # After the loop is closed, nothing waits for the callback.
            self._loop.call_soon_threadsafe(self._run_callbacks)

    def _run_callbacks(self) -> None:
        # Cleared first: a callback that is added from here on is either taken
        # below or schedules another run.
        self._is_scheduled = False
        for _ in range(len(self._callbacks)):
            callback = self._callbacks.popleft()
            try:
                callback()
            except Exception as error:
                # The callbacks that follow belong to other requests.
                self._loop.call_exception_handler(
                    {"message": "a callback failed", "exception": error}
                )


async def supervise(
    name: str,
    run: collections_abc.Callable[
        [], collections_abc.Coroutine[typing.Any, typing.Any, None]
    ],
) -> None:
    """Runs a background task; runs it again after an error.

    Args:
        name: Name of the task in log lines and metrics.
        run: Returns a new run of the task.
    """
    while True:
        try:
            return await run()
        except Exception as error:
            background.record_failure(name, error)
        await asyncio.sleep(background.RESTART_PAUSE_S)


class LoopPart(lifecycle.Part):
    """A part that consists of one task on the loop."""

    def __init__(self, loop: LoopThread):
        self._loop = loop
        self._task: futures.Future[None] | None = None

    def start(self) -> None:
        """Starts the task."""
        self._task = self._loop.call(supervise(type(self).__name__, self._run))

    def stop(self) -> None:
        """Cancels the task."""
        self._task.cancel()

    @abc.abstractmethod
    async def _run(self) -> None:
        """Runs until it is cancelled; called again after an error."""
