"""Start and stop of a process's parts."""

import signal

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
