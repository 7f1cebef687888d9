"""Settings of one process, read from an INI file.

Each role declares frozen dataclasses, one per INI section, whose fields are
made with `setting`: default, unit, range and meaning are declared with the
field, and `describe` prints them for the documentation. `read` reports every
mistake at once, each with file, section, key and reason, so that an operator
doesn't need one start per mistake.
"""

import configparser
import dataclasses
import enum
import pathlib
import typing

from cardamombarrow.kernel import errors

__all__ = ["describe", "parse", "read", "section", "setting"]

_T = typing.TypeVar("_T")


def setting(
    default: typing.Any = dataclasses.MISSING,
    *,
    help: str,
    unit: str = "",
    low: float | None = None,
    high: float | None = None,
) -> typing.Any:
    """Declares one key of a settings section.

    Args:
        default: Value if the key is absent; without one the key is required.
        help: What the key is for.
        unit: Unit of the value, such as ``s`` or ``bytes``.
        low: Smallest allowed number, inclusive; for text, its minimum length.
        high: Largest allowed number, inclusive.

    Returns:
        A dataclass field.
    """
    metadata = {"help": help, "unit": unit, "low": low, "high": high}
    if isinstance(default, list | tuple):
        frozen = tuple(default)
        return dataclasses.field(
            default_factory=lambda: frozen, metadata=metadata
        )
    return dataclasses.field(default=default, metadata=metadata)


def read(cls: type[_T], path: pathlib.Path) -> _T:
    """Reads a role's settings from a file.

    Args:
        cls: A dataclass whose fields are dataclasses, one per INI section.
        path: The INI file.

    Returns:
        The settings, complete and within range.

    Raises:
        errors.ConfigError: With every mistake found.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.ConfigError([f"{path}: cannot be read: {error}"]) from None
    return parse(cls, text, str(path))


def parse(cls: type[_T], text: str, source: str = "settings") -> _T:
    """Reads a role's settings from text; see `read`."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        raise errors.ConfigError([f"{source}: {error}"]) from None
    mistakes: list[str] = []
    sections = {field.name: field.type for field in dataclasses.fields(cls)}
    for name in parser.sections():
        if name not in sections:
            known = ", ".join(sections)
            mistakes.append(
                f"{source}: [{name}]: unknown section; known: {known}"
            )
    values = {}
    for name, section_cls in sections.items():
        raw = dict(parser[name]) if parser.has_section(name) else {}
        location = f"{source}: [{name}]"
        values[name] = section(section_cls, raw, location, mistakes)
    if mistakes:
        raise errors.ConfigError(mistakes)
    return cls(**values)


def section(
    cls: type[_T], raw: dict[str, str], location: str, mistakes: list[str]
) -> _T | None:
    """Reads one section.

    Args:
        cls: A dataclass whose fields are made with `setting`.
        raw: Text by key.
        location: File and section, for the messages.
        mistakes: List that the mistakes found are appended to.

    Returns:
        The section, or None if it has mistakes.
    """
    known = {field.name: field for field in dataclasses.fields(cls)}
    for key in raw:
        if key not in known:
            mistakes.append(
                f"{location} {key}: unknown key; known: {', '.join(known)}"
            )
    before = len(mistakes)
    values = {}
    for name, field in known.items():
        if name not in raw:
            required = (
                field.default is dataclasses.MISSING
                and field.default_factory is dataclasses.MISSING
            )
            if required:
                mistakes.append(f"{location} {name}: required key is missing")
            continue
        try:
            values[name] = _convert(field, raw[name].strip())
        except ValueError as error:
            mistakes.append(f"{location} {name}: {error}")
    return cls(**values) if len(mistakes) == before else None


_BOOLEANS = configparser.ConfigParser.BOOLEAN_STATES


def _convert(field: dataclasses.Field, raw: str) -> typing.Any:
    kind = field.type
    if kind is bool:
        if raw.lower() not in _BOOLEANS:
            raise ValueError(f"{raw!r} is not yes or no")
        return _BOOLEANS[raw.lower()]
    if kind in (int, float):
        return _number(field, raw)
    if kind is pathlib.Path:
        return pathlib.Path(raw)
    if typing.get_origin(kind) is tuple:
        return tuple(raw.replace(",", " ").split())
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return kind(raw)
    least = field.metadata["low"]
    if least is not None and len(raw) < least:
        raise ValueError(f"needs at least {least} characters")
    return raw


def _number(field: dataclasses.Field, raw: str) -> float:
    try:
        value = field.type(raw)
    except ValueError:
        name = "whole number" if field.type is int else "number"
        raise ValueError(f"{raw!r} is not a {name}") from None
    low, high = field.metadata["low"], field.metadata["high"]
    if low is not None and value < low:
        raise ValueError(f"{value} is below the minimum, {low}")
    if high is not None and value > high:
        raise ValueError(f"{value} is above the maximum, {high}")
    return value


def describe(cls: type) -> typing.Iterator[str]:
    """Yields a Markdown reference of a role's settings, line by line."""
    for part in dataclasses.fields(cls):
        yield f"### [{part.name}]"
        yield ""
        yield "| key | default | unit | range | meaning |"
        yield "| --- | --- | --- | --- | --- |"
        for field in dataclasses.fields(part.type):
            yield _describe_key(field)
        yield ""


def _describe_key(field: dataclasses.Field) -> str:
    meta = field.metadata
    if field.default is not dataclasses.MISSING:
        default = f"`{field.default}`" if field.default != "" else "empty"
    elif field.default_factory is not dataclasses.MISSING:
        default = f"`{' '.join(field.default_factory()) or 'empty'}`"
    else:
        default = "required"
    limits = ""
    if meta["low"] is not None or meta["high"] is not None:
        low = "" if meta["low"] is None else meta["low"]
        high = "" if meta["high"] is None else meta["high"]
        limits = f"{low} to {high}"
    return (
        f"| {field.name} | {default} | {meta['unit']} | {limits} "
        f"| {meta['help']} |"
    )
