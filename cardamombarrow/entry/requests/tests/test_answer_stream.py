"""How answers end."""

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.entry.requests import answer_stream
from cardamombarrow.kernel import errors


@pytest.mark.parametrize("kind", errors.ErrorKind)
def test_each_kind_of_error_has_an_outcome(kind):
    # Guards against a KeyError in place of the error that ended an answer,
    # whose tokens were then not counted.
    error = errors.RefusedError(kind, "no endpoint in time")
    outcome = answer_stream.outcome_of(error)
    assert outcome is not messages.Outcome.DONE
