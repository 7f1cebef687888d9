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
def _restore_signal_handlers():
    saved = {n: signal.getsignal(n) for n in (signal.SIGTERM, signal.SIGINT)}
    yield
    for number, handler in saved.items():
        signal.signal(number, handler)


def test_all_parts_are_stopped_if_one_fails_to_stop():
    # The HTTP server of an entry raised when stopped, as its port was closed
    # already. The remaining parts ran on, and the process had to be killed.
    stopped = []
    lifecycle.Process(
        [
            _Part(stopped, "first"),
            _Part(stopped, "middle", fails=True),
            _Part(stopped, "last"),
        ]
    ).run()
    assert stopped == ["last", "middle", "first"]


_SIGNAL_ON_OTHER_THREAD = """
import signal, threading, time
from cardamombarrow.kernel import lifecycle

class Other(lifecycle.Part):
    def start(self):
        threading.Thread(target=time.sleep, args=(60,), daemon=True).start()
        # From here on the system delivers the signal to the other thread.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
        print("started", flush=True)

    def stop(self):
        print("stopped", flush=True)

lifecycle.Process([Other()]).run()
"""


def test_a_signal_that_does_not_wake_the_main_thread_is_handled():
    # An entry that has just started is stopped. The signal arrives as the main
    # thread is about to wait, or on another thread, so its handler did not
    # run: the entry went on serving and was killed in the middle of answers.
    process = subprocess.Popen(
        [sys.executable, "-c", _SIGNAL_ON_OTHER_THREAD],
        stdout=subprocess.PIPE,
        text=True,
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
