"""Start and stop of a process's parts."""

import signal
import subprocess
import sys

import pytest

from cardamombarrow.kernel import lifecycle


class _Part(lifecycle.Part):
    def __init__(self, stopped: list[str], name: str, fails: bool = False):
        self._stopped = stopped
        self._name = name
        self._fails = fails

    def start(self) -> None:
        if self._name == "last":
            signal.raise_signal(signal.SIGTERM)

    def stop(self) -> None:
        self._stopped.append(self._name)
        if self._fails:
            raise OSError("the port is closed already")


@pytest.fixture(autouse=True)
def _keep_signals():
    kept = {n: signal.getsignal(n) for n in (signal.SIGTERM, signal.SIGINT)}
    yield
    for number, handler in kept.items():
        signal.signal(number, handler)


def test_a_part_that_fails_to_stop_does_not_keep_the_others_from_it():
    # An entry whose port was closed already raised at its stop; the parts
    # behind it went on and the process had to be killed.
    stopped = []
    lifecycle.Process(
        [
            _Part(stopped, "first"),
            _Part(stopped, "middle", fails=True),
            _Part(stopped, "last"),
        ]
    ).run()
    assert stopped == ["last", "middle", "first"]


_LATE = """
import signal, threading, time
from cardamombarrow.kernel import lifecycle

class Other(lifecycle.Part):
    def start(self):
        threading.Thread(target=time.sleep, args=(60,), daemon=True).start()
        # From here on the system hands the signal to the other thread.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
        print("started", flush=True)

    def stop(self):
        print("stopped", flush=True)

lifecycle.Process([Other()]).run()
"""


def test_a_signal_that_does_not_wake_the_main_thread_is_seen():
    # An operator stops an entry that has just started. The signal comes as
    # the main thread is about to wait, or on another thread: noted, and not
    # looked at. The entry served on and was killed in the middle of answers.
    process = subprocess.Popen(
        [sys.executable, "-c", _LATE], stdout=subprocess.PIPE, text=True
    )
    try:
        lines = iter(process.stdout.readline, "")
        assert any("started" in line for line in lines)
        process.terminate()
        output, _ = process.communicate(timeout=20)
    finally:
        process.kill()
    assert "stopped" in output
    assert process.returncode == 0
