"""Exit codes of the command."""

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """What the command's exit code means."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    NOT_IN_FORCE = 5
    PROMISE_BROKEN = 6
