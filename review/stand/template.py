"""Fills in the deploy file's settings templates as the platform does."""

import json
import re
import typing

__all__ = ["render"]

_TAG = re.compile(r"\{\{\s*(?P<tag>[^{}]+?)\s*\}\}")
_Scopes = tuple[typing.Any, ...]


def render(template: str, fields: dict[str, typing.Any]) -> str:
    """Returns the text of a template for one process.

    Args:
        template: The text with placeholders and sections.
        fields: The settings of the process.
    """
    text, _ = _render(template, 0, (fields,), "")
    return text


def _render(
    template: str, position: int, scopes: _Scopes, section: str
) -> tuple[str, int]:
    out = []
    while (match := _TAG.search(template, position)) is not None:
        out.append(template[position : match.start()])
        position, tag = match.end(), match["tag"]
        if tag == f"/{section}":
            return "".join(out), position
        if tag[0] in "#^":
            text, position = _section(template, position, scopes, tag)
            out.append(text)
        else:
            out.append(_value_text(scopes, tag))
    out.append(template[position:])
    return "".join(out), len(template)


def _section(
    template: str, position: int, scopes: _Scopes, tag: str
) -> tuple[str, int]:
    name = tag[1:]
    value = _find(scopes, name)
    shown = value not in (None, False, [], {})
    if tag[0] == "^":
        items = [] if shown else [scopes[-1]]
    elif isinstance(value, list):
        items = value
    else:
        items = [value] if shown else []
    texts = [
        _render(template, position, (*scopes, each), name)[0] for each in items
    ]
    _, end = _render(template, position, scopes, name)
    return "".join(texts), end


def _find(scopes: _Scopes, name: str) -> typing.Any:
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for key in name.split("."):
            if isinstance(value, list) and key.isdigit():
                value = value[int(key)] if int(key) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(key)
            else:
                value = None
        if value is not None:
            return value
    return None


def _value_text(scopes: _Scopes, tag: str) -> str:
    name, _, form = tag.partition("|")
    value = _find(scopes, name)
    if form == "json":
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(map(str, value))
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value).lower() if isinstance(value, bool) else str(value)
