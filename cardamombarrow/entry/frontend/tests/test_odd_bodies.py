"""Odd values in the bodies of callers' requests."""

import json

import pytest
from werkzeug import test as werkzeug_test
from werkzeug import wrappers

from cardamombarrow.document import formats
from cardamombarrow.entry.frontend import incoming
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel.tests import odd_values


def _complete(kandula_text, body):
    document = formats.parse(formats.SECTIONS, kandula_text)
    builder = werkzeug_test.EnvironBuilder(
        path="/v1/completions", method="POST", data=body
    )
    return incoming.completion(
        wrappers.Request(builder.get_environ()),
        document,
        next(iter(document.workspaces.values())),
        ids.new_request_id(),
        0.0,
    )


@pytest.mark.parametrize("field", ["model", "max_tokens", "stream", "other"])
@pytest.mark.parametrize("odd", odd_values.JSON_VALUES, ids=lambda t: t[:12])
def test_an_odd_value_is_refused_or_fits_a_message(kandula_text, field, odd):
    # Guards against a status of 500 for what the caller has to mend.
    document = formats.parse(formats.SECTIONS, kandula_text)
    fields = {"model": next(iter(document.models)), "max_tokens": 5}
    body = json.dumps({**fields, field: "ODD"}).replace('"ODD"', odd)
    try:
        call = _complete(kandula_text, body.encode())
    except errors.RefusedError:
        return
    assert 0 <= call.job.max_tokens < 2**32
    assert call.body
