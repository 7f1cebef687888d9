"""Entry point of the command ``cardamombarrow``."""

import sys

from cardamombarrow.kernel import loading

__all__ = ["main"]


def main() -> int:
    """Runs the command line.

    Returns:
        The exit code, as documented in ``docs/cli.md``.
    """
    with loading.gc_paused():
        from cardamombarrow.cli import core

    return core.run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
