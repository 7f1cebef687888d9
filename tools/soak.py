"""Seeds of the soak tests, which a short run and long ones by hand share."""

import os

__all__ = ["seeds"]


def seeds(default: str, variable: str = "SOAK_SEEDS") -> range:
    """Returns the seeds to play.

    Args:
        default: `FIRST:LAST` of the short run; `LAST` is not played.
        variable: Environment variable that names others in the same form.

    Raises:
        ValueError: The variable does not have this form.
    """
    first, _, last = os.environ.get(variable, default).partition(":")
    return range(int(first), int(last))
