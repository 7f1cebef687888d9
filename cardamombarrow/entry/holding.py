"""How long a request is held until this entry may serve it.

Load pattern answered: all processes are restarted at the same moment, and the
balancer sends requests from then on. The document is there within a fifth of
a second, the first confirmation of it two or three tenths later, once the log
has a leader again. Refused meanwhile, most callers come back late, and some,
who come back once only, not at all; held, they are served at the moment when
the confirmation comes.

An entry whose confirmation was there and has run out is cut off. Nothing says
when that ends, and other entries can serve its callers, so it holds nobody.

`HELD_SHARE` leaves a caller most of its time for the answer or for another
entry. `STARTING_S` is longer than a start of all processes takes, elections
included; who is not confirmed by then is cut off.
"""

__all__ = ["HELD_SHARE", "STARTING_S", "hold_s"]

HELD_SHARE = 0.25
"""Greatest part of a caller's time that its request is held."""

STARTING_S = 2.0
"""Time from the start in which a first confirmation is still expected."""


def hold_s(unconfirmed_s: float | None, limit_s: float) -> float:
    """Returns how long a request is held, in seconds; 0 for not at all.

    Args:
        unconfirmed_s: Time since the start, while no confirmation has come
            since; None once there was one.
        limit_s: The time that the caller gives its request.
    """
    if unconfirmed_s is None:
        return 0.0
    return max(min(HELD_SHARE * limit_s, STARTING_S - unconfirmed_s), 0.0)
