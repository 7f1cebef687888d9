"""Loads modules without garbage collections meanwhile."""

from collections import abc
import contextlib
import gc

__all__ = ["modules"]


@contextlib.contextmanager
def modules() -> abc.Iterator[None]:
    """Pauses the garbage collector while the body imports modules.

    What modules are made of stays until the process ends: a collection finds
    nothing in it, now or later, so it is left out of later ones as well.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()
