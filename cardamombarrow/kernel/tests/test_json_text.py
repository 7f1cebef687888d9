"""Tests of the strict reader of JSON."""

import json

import pytest

from cardamombarrow.kernel import json_text
from cardamombarrow.kernel.tests import odd_values


@pytest.mark.parametrize("text", odd_values.JSON_VALUES, ids=lambda t: t[:12])
def test_a_text_is_parsed_or_refused_with_a_value_error(text):
    # Guards against errors of the parser that end the thread which reads.
    for whole in (text, f'{{"a": [{text}]}}', text.encode()):
        try:
            parsed = json_text.load(whole)
        except ValueError:
            continue
        assert json.loads(whole) == parsed
        assert repr(parsed)


def _at_stack_depth(frames, call):
    return call() if frames == 0 else _at_stack_depth(frames - 1, call)


@pytest.mark.parametrize("objects", [False, True])
@pytest.mark.parametrize("depth", [100, 101, 400, 600, 800, 900])
def test_what_is_nested_too_deeply_does_not_depend_on_the_stack(depth, objects):
    # Guards against control processes that disagree on whether a document is
    # valid, because one of them parses it with more calls on its stack.
    text = odd_values.deep(depth, objects=objects)

    def is_valid():
        try:
            json_text.load(text)
        except ValueError:
            return False
        return True

    at_depths = {_at_stack_depth(frames, is_valid) for frames in (0, 300, 600)}
    assert at_depths == {depth <= json_text.MAX_DEPTH}
