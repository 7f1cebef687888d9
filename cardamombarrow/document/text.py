"""The document as text: sections in order, each with its lines.

An edit replaces whole sections and leaves all others unchanged, comments
included. This module only splits and joins; `parsing` parses the values.
"""

import dataclasses
import re

__all__ = ["Section", "changes", "join", "replace", "split"]

_HEADER = re.compile(r"^\[(?P<name>[^\]]+)\]\s*$")


@dataclasses.dataclass(frozen=True)
class Section:
    """One section of the text.

    Attributes:
        name: The text between the brackets, such as ``tier:gold``; empty for
            the lines before the first header.
        lines: All lines, header included.
        first_line: Line number of the header in the whole text, from 1.
    """

    name: str
    lines: tuple[str, ...]
    first_line: int

    @property
    def kind(self) -> str:
        """The part of the name before the colon."""
        return self.name.partition(":")[0]


def split(text: str) -> list[Section]:
    """Splits a text into its sections, in order."""
    sections = []
    name, lines, first = "", [], 1
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line) if line.startswith("[") else None
        if header:
            sections.append(Section(name, tuple(lines), first))
            name, lines, first = header["name"].strip(), [], number
        lines.append(line.rstrip())
    sections.append(Section(name, tuple(lines), first))
    return [section for section in sections if section.name or section.lines]


def join(sections: list[Section]) -> str:
    """Joins sections into one text; the inverse of `split`."""
    return "".join(
        line + "\n" for section in sections for line in section.lines
    )


def replace(text: str, replacements: dict[str, str]) -> str:
    """Replaces, adds or removes whole sections.

    Args:
        text: The document.
        replacements: New body (lines after the header) by section name; an
            empty body removes the section.

    Returns:
        The new document; added sections come last.
    """
    result = []
    remaining = dict(replacements)
    for section in split(text):
        if section.name not in remaining:
            result.append(section)
            continue
        body = remaining.pop(section.name)
        if body.strip():
            result.append(_section(section.name, body))
    result.extend(
        _section(name, body) for name, body in remaining.items() if body.strip()
    )
    return join(result)


def changes(old: str, new: str) -> dict[str, str] | None:
    """Returns replacements that turn `old` into `new`.

    Returns:
        New body by section name, for `replace`; None if the order of sections
        changed, which replacements can't express.
    """
    before = {section.name: section.lines for section in split(old)}
    after = {section.name: section.lines for section in split(new)}
    result = {name: "" for name in before if name not in after}
    for name, lines in after.items():
        if before.get(name) != lines:
            result[name] = "\n".join(lines[1:])
    return result if replace(old, result) == new else None


def _section(name: str, body: str) -> Section:
    lines = [f"[{name}]", *(line.rstrip() for line in body.splitlines())]
    while not lines[-1]:
        lines.pop()
    return Section(name, (*lines, ""), 0)
