"""Writes that are there after a loss of power."""

from collections import abc
import os
import pathlib

__all__ = ["append", "replace"]


def replace(
    path: pathlib.Path,
    parts: abc.Iterable[bytes],
    sync: abc.Callable[[int], None] = os.fsync,
) -> None:
    """Replaces a file by a synced temporary file, and syncs the folder.

    Without the sync of the folder, the old file may be back after a crash.

    Args:
        path: The file; what it held before stays if this fails.
        parts: The content.
        sync: Syncs a file descriptor.

    Raises:
        OSError: The write or sync failed.
    """
    temporary_path = path.with_name(f"{path.name}.new")
    with temporary_path.open("wb") as file:
        file.writelines(parts)
        file.flush()
        sync(file.fileno())
    temporary_path.replace(path)
    descriptor = os.open(path.parent, os.O_RDONLY)
    try:
        sync(descriptor)
    finally:
        os.close(descriptor)


def append(path: pathlib.Path, data: bytes) -> None:
    """Appends to a file and syncs it; a crash may leave a part of the data.

    Args:
        path: The file; its folder has been synced since it was created.
        data: What is added.

    Raises:
        OSError: The write or sync failed.
    """
    with path.open("ab") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
