"""Tasks on the loop of a process."""

import threading

from cardamombarrow.kernel import logs
from cardamombarrow.peers import loop as loop_module


class _Failing(loop_module.LoopPart):
    async def _run(self) -> None:
        raise ValueError("broken")


def test_a_task_that_fails_is_logged(monkeypatch):
    # Guards against an entry that refuses everything as out of date, and no
    # line that says why nothing is confirmed any more.
    logged = {}
    seen = threading.Event()

    def record(event, level="INFO", **fields):
        logged[event] = (level, fields)
        seen.set()

    monkeypatch.setattr(logs, "event", record)
    loop = loop_module.LoopThread()
    loop.start()
    try:
        _Failing(loop).start()
        assert seen.wait(5.0)
    finally:
        loop.stop()
    level, fields = logged["task failed"]
    assert level == "ERROR"
    assert fields == {"part": "_Failing", "detail": "ValueError('broken')"}
