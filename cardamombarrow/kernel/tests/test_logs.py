"""Tests of the fields of log lines."""

from cardamombarrow.kernel import logs


def test_a_field_may_have_the_name_of_a_parameter():
    # Guards against work that is lost because a line about it can't be logged.
    fields = {"name": 1, "level": 2}
    logs.event("tested", **fields)
    logs.decision("tested", **fields)
