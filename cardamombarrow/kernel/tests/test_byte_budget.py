"""Bytes are handed out up to a limit, to the most urgent first."""

import threading

from cardamombarrow.kernel import byte_budget
from tools import deployment


def test_bytes_over_the_limit_are_not_reserved():
    budget = byte_budget.ByteBudget(100)
    assert budget.reserve(60, 0, 0.0)
    assert not budget.reserve(60, 0, 0.0)
    assert budget.reserve(40, 0, 0.0)
    budget.release(60)
    assert budget.reserve(60, 0, 0.0)
    assert budget.used_bytes == 100


def test_a_buffer_over_the_limit_fits_alone():
    budget = byte_budget.ByteBudget(100)
    assert budget.reserve(150, 0, 0.0)
    assert not budget.reserve(1, 0, 0.0)
    budget.release(150)
    assert budget.reserve(1, 0, 0.0)
    assert not budget.reserve(150, 0, 0.0)


def test_the_most_urgent_of_those_that_wait_is_first():
    # Guards against urgent requests that are refused while less urgent ones
    # get the memory.
    budget = byte_budget.ByteBudget(100)
    assert budget.reserve(100, 0, 0.0)
    order = []

    def wait(rank):
        assert budget.reserve(100, rank, 30.0)
        order.append(rank)
        budget.release(100)

    waiting = []
    for count, rank in enumerate((2, 1, 0, 1), 1):
        waiting.append(threading.Thread(target=wait, args=(rank,)))
        waiting[-1].start()
        assert deployment.wait_until(lambda n=count: len(budget._waiting) == n)
    budget.release(100)
    for each in waiting:
        each.join()
    assert order == [0, 1, 1, 2]
    assert budget.used_bytes == 0
