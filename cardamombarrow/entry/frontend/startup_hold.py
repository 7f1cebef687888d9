"""How long a request is held until this entry may serve it.

Load pattern: all processes are restarted at the same moment, and the balancer
sends requests from then on. The document arrives within a fifth of a second,
its first confirmation two or three tenths later, once the log has a leader
again. If they were refused in that time, most callers would retry late, and
those that retry only once would fail. Held requests are served as soon as the
confirmation arrives.

An entry whose confirmation has expired is cut off. Nothing indicates when that
ends, and other entries can serve its callers, so it holds no requests.

`HELD_SHARE` leaves a caller most of its time for the answer or for another
entry. `STARTING_S` is longer than a start of all processes takes, elections
included; an entry that is not confirmed by then is cut off.
"""

__all__ = ["HELD_SHARE", "STARTING_S", "hold_s"]

HELD_SHARE = 0.25
"""Maximum share of a caller's time limit for which its request is held."""

STARTING_S = 2.0
"""Time after the start within which a first confirmation is expected."""


def hold_s(unconfirmed_s: float | None, limit_s: float) -> float:
    """Returns how long to hold a request, in seconds; 0 not to hold it.

    Args:
        unconfirmed_s: Time since the start if no confirmation has arrived yet;
            None after the first one.
        limit_s: The caller's time limit for the request.
    """
    if unconfirmed_s is None:
        return 0.0
    return max(min(HELD_SHARE * limit_s, STARTING_S - unconfirmed_s), 0.0)
