"""Parses a document's text into `schema.Document`, reporting every mistake.

Validation depends only on the text, so that all voters that apply an edit agree
on whether it is valid.
"""

import configparser
import dataclasses
import enum
import functools
import typing

from cardamombarrow.document import rules
from cardamombarrow.document import schema
from cardamombarrow.document import text as text_module
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = ["parse"]

_BOOLEANS = configparser.ConfigParser.BOOLEAN_STATES
_SECTION_CLASSES = {
    "tier": schema.Tier,
    "class": schema.RequestClass,
    "workspace": schema.Workspace,
    "service": schema.Service,
    "model": schema.Model,
    "route": schema.Route,
    "owner": schema.Owner,
    "policies": schema.Policies,
    "weight-store": schema.WeightStore,
    "limits": schema.CallerLimits,
}
_KINDS_WITHOUT_NAME = ("policies", "weight-store", "limits")
_ENDPOINTS_PREFIX = "endpoints."

MAX_CACHED_TEXTS = 2
"""Cached texts: the one in force and the one that is being validated."""

MAX_CACHED_SECTIONS = 8_192
"""Cached sections: twice those of a document at the target size."""


@functools.lru_cache(maxsize=MAX_CACHED_TEXTS)
def parse(text: str) -> schema.Document:
    """Parses and validates a document; results are cached by text.

    Args:
        text: The INI text.

    Returns:
        The typed document.

    Raises:
        errors.ConfigError: With every mistake, each with its line.
    """
    mistakes: list[str] = []
    found: dict[str, dict] = {kind: {} for kind in _SECTION_CLASSES}
    lines: dict[str, int] = {}
    for section in text_module.split(text):
        label = f"[{section.name}]"
        if section.name in lines:
            mistakes.append(
                f"line {section.first_line}: {label}: already defined at "
                f"line {lines[section.name]}"
            )
            continue
        lines[section.name] = section.first_line
        parsed = _parse_section(section.name, section.lines)
        mistakes.extend(
            f"line {section.first_line + mistake.offset}: "
            f"{label}{mistake.key}: {mistake.reason}"
            for mistake in parsed.mistakes
        )
        if parsed.value is not None:
            kind, _, name = section.name.partition(":")
            found[kind][name] = parsed.value
    document = schema.Document(
        tiers=found["tier"],
        classes=found["class"],
        workspaces=found["workspace"],
        services=found["service"],
        models=found["model"],
        owners=found["owner"],
        policies=found["policies"].get("", schema.Policies()),
        weight_store=found["weight-store"].get("", schema.WeightStore()),
        routes=found["route"],
        limits=found["limits"].get("", schema.CallerLimits()),
    )
    if not mistakes:
        mistakes.extend(
            f"line {lines.get(section, 1)}: [{section}]: {reason}"
            for section, reason in rules.violations(document)
        )
    if mistakes:
        raise errors.ConfigError(mistakes)
    return document


@dataclasses.dataclass(frozen=True)
class _Mistake:
    """A mistake in one section.

    Attributes:
        offset: Lines below the section's header.
        key: A space and the key, or empty.
    """

    offset: int
    key: str
    reason: str


@dataclasses.dataclass(frozen=True)
class _ParsedSection:
    """The result of parsing one section."""

    value: typing.Any
    mistakes: tuple[_Mistake, ...]


@functools.lru_cache(maxsize=MAX_CACHED_SECTIONS)
def _parse_section(name: str, lines: tuple[str, ...]) -> _ParsedSection:
    """Parses one section; results are cached.

    An edit changes a few sections out of thousands. Parsing all of them again
    delayed the relaying threads of an entry by a tenth of a second at the
    target size.
    """
    if not name:
        stray = any(_content(line) for line in lines)
        reason = "text before the first section"
        return _ParsedSection(None, (_Mistake(0, "", reason),) if stray else ())
    kind, _, identity = name.partition(":")
    cls = _SECTION_CLASSES.get(kind)
    if cls is None or bool(identity) == (kind in _KINDS_WITHOUT_NAME):
        known = ", ".join(
            f"[{kind}]" if kind in _KINDS_WITHOUT_NAME else f"[{kind}:name]"
            for kind in _SECTION_CLASSES
        )
        reason = f"unknown section; known: {known}"
        return _ParsedSection(None, (_Mistake(0, "", reason),))
    return _SectionParser(cls, identity).parse_lines(lines)


class _SectionParser:
    """Parses the keys of one section, collecting mistakes."""

    def __init__(self, cls: type, identity: str):
        self._cls = cls
        self._fields = {field.name: field for field in dataclasses.fields(cls)}
        self._values: dict[str, typing.Any] = {}
        self._mistakes: list[_Mistake] = []
        if identity:
            first = next(iter(self._fields))
            del self._fields[first]
            self._values[first] = identity
        if cls is schema.Service:
            del self._fields["endpoints"], self._fields["scaling"]
        if cls is schema.Workspace:
            del self._fields["rank"]

    def parse_lines(self, lines: tuple[str, ...]) -> _ParsedSection:
        """Parses the lines, header first."""
        seen: set[str] = set()
        for offset, line in enumerate(lines[1:], start=1):
            content = _content(line)
            if not content:
                continue
            key, separator, raw = content.partition("=")
            key = key.strip()
            if not separator:
                self._mistake(offset, "", f"{content!r} is not `key = value`")
            elif key in seen:
                self._mistake(offset, key, "is repeated")
            else:
                self._parse_value(offset, key, raw.strip())
            seen.add(key)
        for field in self._fields.values():
            if field.name not in seen and _required(field):
                self._mistake(0, field.name, "required key is missing")
        value = None if self._mistakes else self._cls(**self._values)
        return _ParsedSection(value, tuple(self._mistakes))

    def _mistake(self, offset: int, key: str, reason: str) -> None:
        key = f" {key}" if key else ""
        self._mistakes.append(_Mistake(offset, key, reason))

    def _parse_value(self, offset: int, key: str, raw: str) -> None:
        if self._cls is schema.Service and key.startswith(_ENDPOINTS_PREFIX):
            domain = ids.DomainId(key.removeprefix(_ENDPOINTS_PREFIX))
            groups = self._values.setdefault("endpoints", {})
            groups[domain] = tuple(raw.replace(",", " ").split())
        elif key not in self._fields:
            known = ", ".join(self._fields)
            self._mistake(offset, key, f"unknown key; known: {known}")
        else:
            try:
                self._values[key] = _convert(self._fields[key].type, raw)
            except ValueError as error:
                self._mistake(offset, key, str(error))


def _content(line: str) -> str:
    stripped = line.strip()
    return "" if stripped.startswith(("#", ";")) else stripped


def _required(field: dataclasses.Field) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _convert(kind: typing.Any, raw: str) -> typing.Any:
    if kind is bool:
        if raw.lower() not in _BOOLEANS:
            raise ValueError(f"{raw!r} is not yes or no")
        return _BOOLEANS[raw.lower()]
    if kind in (int, float):
        try:
            return kind(raw)
        except ValueError:
            raise ValueError(f"{raw!r} is not a number") from None
    origin = typing.get_origin(kind)
    if origin is tuple:
        # Lists are separated only by commas, as a route contains a space.
        return tuple(part.strip() for part in raw.split(",") if part.strip())
    if origin is dict:
        return _weights(raw)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return kind(raw)
    return raw


def _weights(raw: str) -> dict[str, float]:
    weights = {}
    for part in raw.replace(",", " ").split():
        name, separator, weight = part.partition(":")
        try:
            weights[name] = float(weight)
        except ValueError:
            separator = ""
        if not separator:
            raise ValueError(f"{part!r} is not `version:weight`")
    return weights
