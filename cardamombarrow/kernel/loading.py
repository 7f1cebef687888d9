"""Imports modules with the garbage collector paused."""

from collections import abc
import contextlib
import gc

__all__ = ["gc_paused"]


@contextlib.contextmanager
def gc_paused() -> abc.Iterator[None]:
    """Pauses the garbage collector while the body imports modules.

    Objects of modules live until the process ends, so collecting them frees
    nothing; they are frozen to exclude them from later collections as well.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()
