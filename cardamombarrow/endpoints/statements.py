"""Parsers of the header fields in which an endpoint describes itself."""

import datetime
from email import utils
import math
import re
import time

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import logs

__all__ = [
    "MAX_PAUSE_S",
    "parse_load",
    "parse_pause",
    "parse_rate_limit",
    "parse_rejection_limit",
]

MAX_PAUSE_S = 3_600.0
"""Upper bound on a stated pause. A clock that is wrong by days would otherwise
remove an endpoint until the next restart."""

_DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?")
_LOAD = re.compile(
    r"(\d{1,6}),(\d{1,6}),(\d{1,6})(?:,(?P<percent>\d{1,6})(?:,.*)?)?"
)


def parse_load(text: str | None) -> messages.LoadReport | None:
    """Parses an endpoint's report of its load.

    Args:
        text: Numbers of running and waiting requests and of slots, separated
            by commas, then optionally how long work takes, in percent of the
            usual time. Further values are ignored, so that an endpoint that
            reports more of them does not lose its report. None if the answer
            lacks the field.

    Returns:
        None if the field is missing or invalid.
    """
    match = _LOAD.fullmatch(text or "")
    if match is None:
        return None
    percent = int(match["percent"] or 0)
    return messages.LoadReport(
        running=int(match[1]),
        waiting=int(match[2]),
        cache_used_share=0.0,
        leaving=False,
        measured_at_s=time.monotonic(),
        work_time_factor=percent / 100 if percent else None,
    )


def parse_rate_limit(text: str | None) -> messages.RateLimit | None:
    """Parses the header field of an answer with a rate limit.

    Args:
        text: Decimal number of requests per second; None if the answer lacks
            the field, which removes an earlier limit.

    Returns:
        None if the value is invalid: an earlier limit then stays in force.
    """
    now_s = time.monotonic()
    if text is None:
        return messages.RateLimit(None, now_s)
    if _DECIMAL.fullmatch(text.strip()) is None:
        return None
    return messages.RateLimit(float(text), now_s)


def parse_rejection_limit(text: str | None) -> messages.RejectionLimit | None:
    """Parses the header field of an answer with a limit on rejections.

    Args:
        text: Decimal number of rejections per second; None if the answer lacks
            the field, which removes an earlier limit.

    Returns:
        None if the value is invalid: an earlier limit then stays in force.
    """
    if text is None:
        return messages.RejectionLimit(None)
    if _DECIMAL.fullmatch(text.strip()) is None:
        return None
    return messages.RejectionLimit(float(text))


def parse_pause(text: str | None) -> float:
    """Parses ``Retry-After`` of an answer that turns a request away.

    Source: RFC 9110, section 10.2.3. A fraction of a second is accepted, too.

    Args:
        text: Seconds or an HTTP date; None if the answer lacks the field.

    Returns:
        Seconds, at most `MAX_PAUSE_S`; 0 if the field is missing or invalid.
    """
    if text is None:
        return 0.0
    text = text.strip()
    if _DECIMAL.fullmatch(text):
        pause_s = float(text)
    else:
        pause_s = _seconds_until(text)
    if math.isnan(pause_s) or pause_s > MAX_PAUSE_S:
        logs.event("retry-after out of range", "WARNING", text=text[:64])
    return 0.0 if math.isnan(pause_s) else min(pause_s, MAX_PAUSE_S)


def _seconds_until(date: str) -> float:
    """Returns the time until an HTTP date; NaN if it is invalid or past."""
    try:
        until = utils.parsedate_to_datetime(date)
    except (OverflowError, TypeError, ValueError):
        return math.nan
    if until.tzinfo is None:
        until = until.replace(tzinfo=datetime.UTC)
    left_s = until.timestamp() - time.time()
    return left_s if left_s > 0.0 else math.nan
