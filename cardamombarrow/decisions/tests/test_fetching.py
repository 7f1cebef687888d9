"""Whether an engine fetches a prompt's beginning or reads it."""

import pytest

from cardamombarrow.decisions import fetching
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

_NEAR = fetching.Source(10_000, True, ids.EndpointId("near"))
_FAR = fetching.Source(10_000, False, ids.EndpointId("far"))


@pytest.mark.parametrize(
    ("kept_tokens", "sources", "target_s", "expected"),
    [
        (0, [_FAR], 2.5, _FAR),
        # Of two with the same the nearer one is asked.
        (0, [_FAR, _NEAR], 2.5, _NEAR),
        # What the engine has itself, or reads in a few ms, is not fetched.
        (9_900, [_FAR], 2.5, None),
        (10_000, [_NEAR], 2.5, None),
        (0, [], 2.5, None),
        # A question with half a second can't wait for another region.
        (0, [_FAR], 0.5, None),
        (0, [_NEAR], 0.5, _NEAR),
    ],
)
def test_where_a_beginning_is_fetched_from(
    kept_tokens, sources, target_s, expected
):
    assert fetching.source_for(kept_tokens, sources, target_s) == expected


@pytest.mark.parametrize(
    ("token_bytes", "mbit_per_s", "expected_s"),
    [(35_136, 1_000_000.0, 2.81e-7), (327_680, 320_000.0, 8.19e-6)],
)
def test_the_pace_of_a_transfer_follows_from_the_document(
    token_bytes, mbit_per_s, expected_s
):
    service = schema.Service(
        ids.ServiceId("letters"),
        schema.ServiceKind.ENGINE,
        cache_token_bytes=token_bytes,
        cache_link_mbit_per_s=mbit_per_s,
    )
    token_s = fetching.fetch_token_s(service)
    assert token_s == pytest.approx(expected_s, rel=0.01)


def test_engines_of_which_no_link_is_told_fetch_nothing():
    service = schema.Service(
        ids.ServiceId("letters"), schema.ServiceKind.ENGINE
    )
    assert fetching.fetch_token_s(service) is None
    assert fetching.fetch_token_s(None) is None
