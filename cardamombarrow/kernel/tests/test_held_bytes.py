"""Tests of the bound on incomplete messages."""

import hypothesis
from hypothesis import strategies

from cardamombarrow.kernel import held_bytes

_LIMIT_BYTES = 1_000
_SMALL_BYTES = 10


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 20), strategies.integers(0)),
        max_size=100,
    )
)
def test_buffers_together_stay_within_the_limit(changes):
    # Guards against a count that differs from what is held.
    held = held_bytes.HeldBytes(_LIMIT_BYTES, _SMALL_BYTES)
    buffers = [held.buffer() for _ in range(21)]
    sizes = [0] * len(buffers)
    for number, size in changes:
        if buffers[number].resize(size):
            sizes[number] = size
        counted = [each for each in sizes if each > _SMALL_BYTES]
        assert held.used_bytes == sum(counted) <= _LIMIT_BYTES
    for each in buffers:
        each.release()
    assert held.used_bytes == 0


def test_a_smaller_buffer_fits_where_the_largest_may_not_grow():
    # Guards against sound answers that are cut because of a faulty endpoint.
    held = held_bytes.HeldBytes(_LIMIT_BYTES, _SMALL_BYTES)
    large = [held.buffer() for _ in range(8)]
    size = 0
    while all(each.resize(size) for each in large):
        size += 1
    assert held.buffer().resize(size // 2)
    assert held.buffer().resize(_SMALL_BYTES)


def test_a_buffer_can_always_shrink():
    # Guards against bytes that stay counted after they were freed.
    held = held_bytes.HeldBytes(_LIMIT_BYTES, _SMALL_BYTES)
    first, second = held.buffer(), held.buffer()
    assert first.resize(500)
    assert second.resize(200)
    assert first.resize(400)
    assert held.used_bytes == 600
