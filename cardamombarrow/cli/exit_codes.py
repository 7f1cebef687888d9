"""Exit codes of the command."""

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """Meaning of the exit codes."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    NOT_IN_FORCE = 5
    TARGET_MISSED = 6
