"""A registry of plug-ins by slot and name.

A slot is a replaceable decision or protocol (`choice`, `admission`,
`endpoint-kind`, ...). A plug-in is a class that derives from the slot's
abstract base class and has the decorator `plugin`. The configuration document
selects the plug-in of a slot by name.
"""

import importlib
import typing

__all__ = ["UnknownPluginError", "load", "lookup", "names", "plugin"]

_T = typing.TypeVar("_T")
_PLUGINS: dict[str, dict[str, type]] = {}


class UnknownPluginError(LookupError):
    """No plug-in of that name is registered in that slot."""


def plugin(slot: str, name: str) -> typing.Callable[[type[_T]], type[_T]]:
    """Registers the decorated class under a slot and a name.

    Args:
        slot: The slot, such as ``choice``.
        name: The name that the document uses, such as ``round-robin``.

    Returns:
        The decorator; it returns the class unchanged.

    Raises:
        ValueError: Another class is registered under that name.
    """

    def register(cls: type[_T]) -> type[_T]:
        registered = _PLUGINS.setdefault(slot, {})
        if registered.get(name, cls) is not cls:
            raise ValueError(f"{slot} plug-in {name!r} is registered twice")
        registered[name] = cls
        return cls

    return register


def lookup(slot: str, name: str) -> type:
    """Returns the class registered under a slot and a name.

    Raises:
        UnknownPluginError: No such plug-in; the message lists the known
            names.
    """
    try:
        return _PLUGINS[slot][name]
    except KeyError:
        known = ", ".join(names(slot)) or "none"
        raise UnknownPluginError(
            f"no {slot} plug-in {name!r}; known: {known}"
        ) from None


def names(slot: str) -> list[str]:
    """Returns the registered names of a slot, sorted."""
    return sorted(_PLUGINS.get(slot, {}))


def load(*modules: str) -> None:
    """Imports modules, which registers the plug-ins in them."""
    for module in modules:
        importlib.import_module(module)
