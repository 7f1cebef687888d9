"""Entry point of the command ``cardamombarrow``."""

import signal
import sys

from cardamombarrow.kernel import loading

__all__ = ["main"]


def main() -> int:
    """Runs the command line.

    Returns:
        The exit code, as documented in ``docs/cli.md``.
    """
    if sys.argv[1:2] in (["entry"], ["control"]):
        # By default SIGHUP ends a process, and importing the modules takes
        # longer than it does until the platform sends one.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    with loading.gc_paused():
        from cardamombarrow.cli import core

    return core.run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
