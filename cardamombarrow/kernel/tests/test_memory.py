"""Log lines about resident memory."""

from cardamombarrow.kernel import memory


def test_each_step_of_growth_is_logged_once_with_what_is_held(monkeypatch):
    # A process that is killed for its memory must have logged what it held.
    lines = []
    monkeypatch.setattr(
        memory.logs, "event", lambda name, **fields: lines.append(fields)
    )
    sizes = [50_000_000, 55_000_000, 70_000_000, 60_000_000, 71_000_000]
    monkeypatch.setattr(memory, "resident_bytes", lambda: sizes.pop(0))
    watch = memory.MemoryWatch(lambda: {"log_bytes": 7})
    for _ in range(5):
        watch.check()
    assert lines == [
        {"resident_bytes": 50_000_000, "log_bytes": 7},
        {"resident_bytes": 70_000_000, "log_bytes": 7},
    ]


def test_resident_memory_is_known():
    assert memory.resident_bytes() > 1_000_000
