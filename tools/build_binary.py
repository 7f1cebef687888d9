"""Builds the single-file distribution ``dist/cardamombarrow``.

It is a zipapp with its libraries, made by shiv. On the first start it unpacks
them below the user's cache folder (or ``SHIV_ROOT``) and runs in the same
process. Single-file formats that start a second process are not used, since an
instance may run only one.
"""

import pathlib
import shutil
import subprocess
import sys

__all__ = ["main"]

_ROOT = pathlib.Path(__file__).resolve().parent.parent


def main() -> int:
    """Builds the file and runs it with ``--version``."""
    build, dist = _ROOT / "build" / "binary", _ROOT / "dist"
    shutil.rmtree(build, ignore_errors=True)
    source = build / "source"
    source.mkdir(parents=True)
    dist.mkdir(exist_ok=True)
    shutil.copytree(
        _ROOT / "cardamombarrow",
        source / "cardamombarrow",
        ignore=shutil.ignore_patterns("tests", "__pycache__", "conftest.py"),
    )
    shutil.copy(_ROOT / "pyproject.toml", source)
    target = dist / "cardamombarrow"
    _run(
        str(pathlib.Path(sys.executable).parent / "shiv"),
        "--console-script",
        "cardamombarrow",
        "--compressed",
        "--reproducible",
        "--output-file",
        str(target),
        "--no-build-isolation",
        "--requirement",
        str(_ROOT / "requirements.txt"),
        str(source),
    )
    _run(str(target), "--version")
    print(f"{target.relative_to(_ROOT)}: {target.stat().st_size} bytes")
    return 0


def _run(*command: str) -> None:
    subprocess.run(command, check=True, cwd=_ROOT)


if __name__ == "__main__":
    sys.exit(main())
