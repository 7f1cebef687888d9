"""The closed list of error kinds and their answers."""

import pytest

from cardamombarrow.kernel import errors


@pytest.mark.parametrize("kind", errors.ErrorKind)
def test_every_kind_has_an_answer(kind):
    assert errors.ANSWERS[kind].status >= 400


def test_a_sent_request_may_have_run():
    error = errors.EndpointError(
        errors.ErrorKind.ENDPOINT_FAILED, "reset", sent=True
    )
    assert error.not_run is False
