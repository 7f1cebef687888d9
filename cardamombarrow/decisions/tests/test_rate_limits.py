"""Rate limits that endpoints state."""

from cardamombarrow.decisions import messages
from cardamombarrow.decisions import rate_limits

_ONE = "10.0.0.1:80"


def _limit(per_s, heard_s):
    return messages.RateLimit(per_s, heard_s)


def test_a_limit_holds_until_an_answer_says_otherwise():
    limits = rate_limits.RateLimits()
    assert limits.hear(_ONE, _limit(None, 1.0)) is None
    assert limits.hear(_ONE, _limit(2.0, 2.0)).per_s is None
    assert limits.hear(_ONE, _limit(2.0, 3.0)) is None
    assert limits.limit(_ONE).per_s == 2.0
    assert limits.hear(_ONE, _limit(None, 4.0)).per_s == 2.0
    assert limits.limit(_ONE) is None


def test_an_older_word_does_not_end_a_limit():
    limits = rate_limits.RateLimits()
    limits.hear(_ONE, _limit(2.0, 2.0))
    assert limits.hear(_ONE, _limit(None, 1.5)) is None
    assert limits.limit(_ONE).per_s == 2.0


def test_what_is_remembered_of_endpoints_is_bounded():
    limits = rate_limits.RateLimits()
    for number in range(2 * rate_limits.LIMITS_KEPT):
        limits.hear(f"10.0.0.{number}:80", _limit(1.0, float(number)))
    assert limits.count() == rate_limits.LIMITS_KEPT
