"""Confirmations come from the first control process that can give one."""

import asyncio
import collections
import contextlib
import queue

import pytest

from cardamombarrow.kernel import clock
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers.control import confirmation_loop
from cardamombarrow.peers.control import control_pb2
from tools import deployment

_CONFIRMED = control_pb2.ConfirmReply(confirmed=True)
_UNCONFIRMED = control_pb2.ConfirmReply()


class _Controls:
    """Control processes that reply after a time, or not at all.

    Attributes:
        asked: How often each was asked.
        cancelled: How often nothing waited for its reply any more.
        time_source: A clock that advances by a second with each request.
    """

    def __init__(self, **replies):
        self._replies = replies
        self.asked = collections.Counter()
        self.cancelled = collections.Counter()
        self.time_source = clock.ManualClock()

    def addresses(self):
        return list(self._replies)

    async def confirm(self, request, address, timeout_s):
        self.asked[address] += 1
        self.time_source.advance(1.0)
        after_s, reply = self._replies[address]
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(after_s)
        except TimeoutError:
            return None
        except asyncio.CancelledError:
            self.cancelled[address] += 1
            raise
        return reply


@pytest.fixture
def loop():
    thread = loop_module.LoopThread()
    thread.start()
    yield thread
    thread.stop()


@contextlib.contextmanager
def _running(loop, controls, on_reply):
    part = confirmation_loop.ConfirmationLoop(
        loop,
        controls,
        lambda address: control_pb2.ConfirmRequest(),
        on_reply,
        controls.time_source,
    )
    part.start()
    yield
    part.stop()


def _first(loop, controls):
    """Returns address and time of the first request that is confirmed."""
    found = queue.SimpleQueue()
    with _running(loop, controls, lambda *each: found.put(each)):
        address, asked_s, _ = found.get(timeout=10.0)
    return address, asked_s


def test_silent_control_processes_do_not_shorten_a_confirmation(loop):
    # Guards against entries that refuse requests right after a confirmation,
    # because the wait for other control processes counts as its age.
    silent = {f"silent-{n}": (60.0, _CONFIRMED) for n in range(3)}
    controls = _Controls(**silent, prompt=(0.0, _CONFIRMED))
    assert _first(loop, controls) == ("prompt", 3.0)


def test_a_slow_reply_counts_although_others_were_asked_meanwhile(loop):
    # Guards against entries without a confirmation while each control process
    # needs longer than the time after which the next one is asked.
    controls = _Controls(
        slow=(2.5 * confirmation_loop.NEXT_AFTER_S, _CONFIRMED),
        slower=(60.0, _CONFIRMED),
        slowest=(60.0, _CONFIRMED),
    )
    assert _first(loop, controls) == ("slow", 0.0)
    assert deployment.wait_until(lambda: controls.cancelled["slower"] == 1)


def test_a_refusal_passes_on_to_the_next_control_process_at_once(loop):
    controls = _Controls(
        isolated=(0.0, _UNCONFIRMED), gone=(0.0, None), good=(0.0, _CONFIRMED)
    )
    assert _first(loop, controls) == ("good", 2.0)


def test_without_any_confirmation_all_are_asked_again(loop):
    controls = _Controls(one=(0.0, _UNCONFIRMED), two=(0.0, None))
    found = []
    with _running(loop, controls, lambda *each: found.append(each)):
        assert deployment.wait_until(
            lambda: min(controls.asked[each] for each in ("one", "two")) > 1
        )
    assert not found
