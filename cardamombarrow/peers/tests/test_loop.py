"""Tasks on the loop of a process."""

import asyncio
import threading

from cardamombarrow.kernel import background
from cardamombarrow.kernel import logs
from cardamombarrow.peers import loop as loop_module


class _Failing(loop_module.LoopPart):
    """Fails in its first run.

    Attributes:
        runs: How often it was run.
        again: Set by the second run.
    """

    def __init__(self, loop):
        super().__init__(loop)
        self.runs = 0
        self.again = threading.Event()

    async def _run(self) -> None:
        self.runs += 1
        if self.runs == 1:
            raise ValueError("broken")
        self.again.set()
        await asyncio.sleep(60.0)


def test_a_task_that_fails_is_logged_counted_and_run_again(monkeypatch):
    # Guards against an entry that refuses everything as out of date after one
    # error, and no line that says why nothing is confirmed any more.
    logged = {}

    def record(event, level="INFO", **fields):
        logged[event] = (level, fields)

    monkeypatch.setattr(logs, "event", record)
    before = background.failure_counts().get("_Failing", 0)
    loop = loop_module.LoopThread()
    loop.start()
    try:
        part = _Failing(loop)
        part.start()
        assert part.again.wait(10.0)
        part.stop()
    finally:
        loop.stop()
    level, fields = logged["task failed"]
    assert level == "ERROR"
    assert fields == {"part": "_Failing", "detail": "ValueError('broken')"}
    assert background.failure_counts()["_Failing"] == before + 1
