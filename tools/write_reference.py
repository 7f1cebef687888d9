"""Generates the reference pages from the code.

``docs/reference/settings.md`` comes from the settings dataclasses,
``docs/reference/document.md`` from the schema, ``docs/reference/errors.md``
from the table of error kinds. A test compares the pages with the code.
"""

from collections import abc
import dataclasses
import enum
import inspect
import pathlib
import re
import sys
import typing

from cardamombarrow.control import settings as control_settings
from cardamombarrow.document import rules
from cardamombarrow.document import schema
from cardamombarrow.entry import settings as entry_settings
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import settings

__all__ = ["main", "pages"]

_FOLDER = pathlib.Path(__file__).resolve().parent.parent / "docs" / "reference"
_NOTE = "This page is written by `python -m tools.write_reference`."
_SECTIONS: dict[str, type] = {
    "tier:<name>": schema.Tier,
    "class:<name>": schema.RequestClass,
    "workspace:<name>": schema.Workspace,
    "service:<name>": schema.Service,
    "model:<name>": schema.Model,
    "route:<name>": schema.Route,
    "owner:<name>": schema.Owner,
    "policies": schema.Policies,
    "weight-store": schema.WeightStore,
    "limits": schema.CallerLimits,
}
_NOT_KEYS = {(schema.Workspace, "rank"), (schema.Service, "scaling")}
"""Fields that are not keys of a document."""

_ATTRIBUTE = re.compile(r"^    (\w+): (.*(?:\n {8}\S.*)*)", re.M)


def pages() -> dict[str, str]:
    """Returns the text of each page by file name."""
    return {
        "settings.md": _text(_settings()),
        "document.md": _text(_document()),
        "errors.md": _text(_errors()),
    }


def _text(lines: abc.Iterable[str]) -> str:
    return "\n".join(lines).rstrip() + "\n"


def _settings() -> abc.Iterator[str]:
    yield "# Settings"
    yield ""
    yield f"{_NOTE} Check a file with `cardamombarrow check --settings FILE`."
    for role, cls in (
        ("entry", entry_settings.EntrySettings),
        ("control", control_settings.ControlSettings),
    ):
        yield ""
        yield f"## {role}"
        yield ""
        yield from settings.describe(cls)


def _document() -> abc.Iterator[str]:
    yield "# The configuration document"
    yield ""
    yield f"{_NOTE} Check a file with `cardamombarrow check --document FILE`."
    yield "Times are in seconds, shares between 0 and 1, lists separated by"
    yield "commas."
    for name, cls in _SECTIONS.items():
        doc = inspect.getdoc(cls) or ""
        yield ""
        yield f"## [{name}]"
        yield ""
        yield doc.partition("\n")[0]
        yield ""
        yield "| key | default | range | meaning |"
        yield "| --- | --- | --- | --- |"
        meanings = dict(_ATTRIBUTE.findall(doc))
        fields = dataclasses.fields(cls)
        for field in fields[1:] if ":" in name else fields:
            if (cls, field.name) in _NOT_KEYS:
                continue
            yield _document_key(name.partition(":")[0], field, meanings)


def _document_key(
    kind: str, field: dataclasses.Field, meanings: dict[str, str]
) -> str:
    low, high = rules.value_range(kind, field.name) or ("", "")
    meaning = " ".join(meanings.get(field.name, "").split())
    limits = f"{low} to {high}" if high != "" else ""
    return f"| {field.name} | {_default(field)} | {limits} | {meaning} |"


def _default(field: dataclasses.Field) -> str:
    value: typing.Any = field.default
    if value is dataclasses.MISSING:
        if field.default_factory is dataclasses.MISSING:
            return "required"
        value = field.default_factory()
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, enum.Enum):
        value = value.value
    return f"`{value}`" if value not in ((), {}, "") else "empty"


def _errors() -> abc.Iterator[str]:
    yield "# Error codes"
    yield ""
    yield f"{_NOTE} An error answer is JSON: `error.code`, `error.message`,"
    yield "`error.not_run`, `error.retryable`, `error.retry_after_s`,"
    yield "`error.request_id`. `not_run` is true only where the request"
    yield "certainly did not run; an instance may set it to true where the"
    yield "table says false."
    yield ""
    yield "| code | HTTP status | not_run | retryable |"
    yield "| --- | --- | --- | --- |"
    for kind, answer in errors.ANSWERS.items():
        yield (
            f"| {kind.value} | {answer.status} | {str(answer.not_run).lower()} "
            f"| {str(answer.retryable).lower()} |"
        )


def main() -> int:
    """Writes all pages."""
    _FOLDER.mkdir(parents=True, exist_ok=True)
    for name, text in pages().items():
        (_FOLDER / name).write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
