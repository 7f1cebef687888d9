"""Reads a document's text into `schema.Document`, with every mistake.

Validation is deterministic: it looks at nothing but the text, so that each
voter that applies the same edit comes to the same verdict.
"""

import configparser
import dataclasses
import enum
import typing

from cardamombarrow.document import rules
from cardamombarrow.document import schema
from cardamombarrow.document import text as text_module
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = ["parse"]

_BOOLEANS = configparser.ConfigParser.BOOLEAN_STATES
_KINDS = {
    "tier": schema.Tier,
    "class": schema.RequestClass,
    "workspace": schema.Workspace,
    "service": schema.Service,
    "model": schema.Model,
    "owner": schema.Owner,
    "policies": schema.Policies,
}
_ENDPOINTS_PREFIX = "endpoints."


def parse(text: str) -> schema.Document:
    """Reads and checks a document.

    Args:
        text: The INI text.

    Returns:
        The typed document.

    Raises:
        errors.ConfigError: With every mistake, each with its line.
    """
    reader = _Reader()
    for section in text_module.split(text):
        if section.name:
            reader.read(section)
        elif any(_content(line) for line in section.lines):
            reader.mistake(1, "", "text before the first section")
    document = schema.Document(
        tiers=reader.found["tier"],
        classes=reader.found["class"],
        workspaces=reader.found["workspace"],
        services=reader.found["service"],
        models=reader.found["model"],
        owners=reader.found["owner"],
        policies=reader.policies,
    )
    if not reader.mistakes:
        reader.check(document)
    if reader.mistakes:
        raise errors.ConfigError(reader.mistakes)
    return document


def _content(line: str) -> str:
    stripped = line.strip()
    return "" if stripped.startswith(("#", ";")) else stripped


class _Reader:
    """Collects typed sections and mistakes while the text is walked."""

    def __init__(self):
        self.mistakes: list[str] = []
        self.found: dict[str, dict] = {kind: {} for kind in _KINDS}
        self.policies = schema.Policies()
        self._lines: dict[str, int] = {}

    def mistake(self, line: int, place: str, reason: str) -> None:
        self.mistakes.append(f"line {line}: {place}: {reason}")

    def read(self, section: text_module.Section) -> None:
        kind, _, name = section.name.partition(":")
        cls = _KINDS.get(kind)
        place = f"[{section.name}]"
        if cls is None or (not name and kind != "policies"):
            known = ", ".join(f"[{kind}:name]" for kind in _KINDS)
            self.mistake(
                section.first_line, place, f"unknown section; known: {known}"
            )
            return
        if section.name in self._lines:
            self.mistake(
                section.first_line,
                place,
                f"stands already at line {self._lines[section.name]}",
            )
            return
        self._lines[section.name] = section.first_line
        value = self._build(cls, name, section, place)
        if value is None:
            return
        if kind == "policies":
            self.policies = value
        else:
            self.found[kind][name] = value

    def _build(
        self,
        cls: type,
        name: str,
        section: text_module.Section,
        place: str,
    ) -> typing.Any:
        fields = {field.name: field for field in dataclasses.fields(cls)}
        values: dict[str, typing.Any] = {}
        if cls is not schema.Policies:
            identity = next(iter(fields))
            del fields[identity]
            values[identity] = name
        fields.pop("endpoints", None)
        before = len(self.mistakes)
        seen: set[str] = set()
        for number, key, raw in self._pairs(section, place):
            if key in seen:
                self.mistake(number, f"{place} {key}", "stands twice")
                continue
            seen.add(key)
            if cls is schema.Service and key.startswith(_ENDPOINTS_PREFIX):
                domain = ids.DomainId(key.removeprefix(_ENDPOINTS_PREFIX))
                groups = values.setdefault("endpoints", {})
                groups[domain] = tuple(raw.replace(",", " ").split())
            elif key not in fields:
                known = ", ".join(fields)
                reason = f"unknown key; known: {known}"
                self.mistake(number, f"{place} {key}", reason)
            else:
                try:
                    values[key] = _convert(fields[key].type, raw)
                except ValueError as error:
                    self.mistake(number, f"{place} {key}", str(error))
        for field in fields.values():
            if field.name not in seen and _required(field):
                self.mistake(
                    section.first_line,
                    f"{place} {field.name}",
                    "required key is missing",
                )
        return cls(**values) if len(self.mistakes) == before else None

    def _pairs(
        self, section: text_module.Section, place: str
    ) -> typing.Iterator[tuple[int, str, str]]:
        for offset, line in enumerate(section.lines[1:], start=1):
            content = _content(line)
            if not content:
                continue
            key, separator, raw = content.partition("=")
            number = section.first_line + offset
            if not separator:
                self.mistake(number, place, f"{content!r} is not `key = value`")
                continue
            yield number, key.strip(), raw.strip()

    def check(self, document: schema.Document) -> None:
        """Adds the mistakes that only the whole document shows."""
        for section, reason in rules.violations(document):
            line = self._lines.get(section, 1)
            self.mistake(line, f"[{section}]", reason)


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
        separator = "," if "," in raw else None
        return tuple(part.strip() for part in raw.split(separator))
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
