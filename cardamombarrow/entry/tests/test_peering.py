"""First queries of a starting entry to the control processes."""

from concurrent import futures
import threading

from cardamombarrow.entry import peering
from cardamombarrow.peers.control import control_pb2


def _answered(message):
    future = futures.Future()
    future.set_result(message)
    return future


def test_a_control_process_without_power_does_not_delay_a_start():
    # One control process has lost power while an entry restarts. The entry
    # waited for its answer twice, for 2 s each, before it followed one of the
    # others, and its callers were refused for that time.
    answer = control_pb2.DocumentMessage()
    asked = []

    def ask():
        asked.append(1)
        return [_answered(answer), _answered(answer), futures.Future()]

    start = threading.Thread(
        target=lambda: peering.probe_controls(ask), daemon=True
    )
    start.start()
    start.join(timeout=30)
    assert not start.is_alive()
    assert len(asked) == 1


def test_a_control_process_that_is_still_starting_is_asked_again():
    answers = [None, control_pb2.DocumentMessage()]
    peering.probe_controls(lambda: [_answered(answers.pop(0))])
    assert not answers
