"""Odd values in the header fields in which an endpoint describes itself."""

import pytest

from cardamombarrow.endpoints import statements
from cardamombarrow.kernel.tests import odd_values

_DATES = [
    "Mon, 01 Jan 2027 00:00:00 +99999999999999",
    "Mon, 01 Jan 99999999999999999999 00:00:00 GMT",
    "Mon, 01 Jan " + "9" * 5_000 + " 00:00:00 GMT",
    "Mon, 99999999999999999999 Jan 2027 00:00:00 GMT",
    "Mon, 01 Jan 2027 99999999999999999999:00:00 GMT",
    "Mon, 01 Jan 0001 00:00:00 +2300",
    "Mon, 01 Jan 0001 00:00:00 -2300",
    "Mon, 01 Jan 9999 00:00:00 -2300",
    ",",
    ", ,",
    "a b c d e",
]
_TEXTS = [
    *odd_values.JSON_VALUES,
    *_DATES,
    "1,1,1,9999999",
    "9" * 7 + ",1,1",
    "1,-1,1",
    "1,1e9,1",
    "\ud800",
    "\x00",
]
_PARSERS = [
    statements.parse_load,
    statements.parse_pause,
    statements.parse_rate_limit,
    statements.parse_rejection_limit,
]


@pytest.mark.parametrize("parse", _PARSERS)
@pytest.mark.parametrize("text", _TEXTS, ids=lambda text: ascii(text)[:40])
def test_an_odd_field_raises_nothing(parse, text):
    # Guards against requests that get no answer because of one header field
    # beside it.
    value = parse(text)
    if parse is statements.parse_pause:
        assert 0.0 <= value <= statements.MAX_PAUSE_S
    else:
        assert value is None or text in ("2.5",)
