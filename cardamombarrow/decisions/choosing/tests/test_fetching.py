"""Whether an engine fetches a cached prefix or prefills it."""

import pytest

from cardamombarrow.decisions.choosing import fetching
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

_LOCAL = fetching.FetchSource(10_000, True, ids.EndpointId("near"))
_REMOTE = fetching.FetchSource(10_000, False, ids.EndpointId("far"))


@pytest.mark.parametrize(
    ("kept_tokens", "sources", "target_s", "expected"),
    [
        (0, [_REMOTE], 2.5, _REMOTE),
        # Of two with the same prefix, the one in the same domain is used.
        (0, [_REMOTE, _LOCAL], 2.5, _LOCAL),
        # What is in its own cache or prefills in a few ms is not fetched.
        (9_900, [_REMOTE], 2.5, None),
        (10_000, [_LOCAL], 2.5, None),
        (0, [], 2.5, None),
        # A target of half a second is too short for another region.
        (0, [_REMOTE], 0.5, None),
        (0, [_LOCAL], 0.5, _LOCAL),
    ],
)
def test_source_of_a_fetch(kept_tokens, sources, target_s, expected):
    assert fetching.select_source(kept_tokens, sources, target_s) == expected


@pytest.mark.parametrize(
    ("token_bytes", "mbit_per_s", "expected_s"),
    [(35_136, 1_000_000.0, 2.81e-7), (327_680, 320_000.0, 8.19e-6)],
)
def test_transfer_time_follows_from_the_document(
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


def test_engines_without_a_configured_link_fetch_nothing():
    service = schema.Service(
        ids.ServiceId("letters"), schema.ServiceKind.ENGINE
    )
    assert fetching.fetch_token_s(service) is None
    assert fetching.fetch_token_s(None) is None
