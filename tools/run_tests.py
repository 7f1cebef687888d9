"""Runs all tests except those in KNOWN-RED.txt, which it prints."""

import pathlib
import sys

import pytest

__all__ = ["main"]

_PARALLEL = ("-n", "4", "--dist", "loadscope")
"""Tests of one module run in one worker, so that they share one deployment of
real processes; four workers leave cores for those processes."""

_MOST_KNOWN_RED = 3

_ROOT = pathlib.Path(__file__).resolve().parent.parent


def main() -> int:
    """Runs pytest and returns its exit code."""
    lines = (_ROOT / "KNOWN-RED.txt").read_text().splitlines()
    known = [line for line in lines if line.strip() and line[0] != "#"]
    names = [line.partition("|")[0].strip() for line in known]
    tests = [name for name in names if ".py" in name]
    if len(tests) > _MOST_KNOWN_RED:
        print(f"KNOWN-RED.txt lists more than {_MOST_KNOWN_RED} tests")
        return 1
    for line in known:
        print(f"known red: {line}")
    deselect = [f"--deselect={name}" for name in tests]
    return int(pytest.main([*_PARALLEL, *sys.argv[1:], *deselect]))


if __name__ == "__main__":
    sys.exit(main())
