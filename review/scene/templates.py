"""Fills the settings templates by the rules of DEPLOY.md."""

import json
import re
import typing

__all__ = ["fill"]

_TAG = re.compile(r"\{\{([#^/]?)([^{}]+)\}\}")


def fill(text: str, fields: dict[str, typing.Any]) -> str:
    """Returns a template with its placeholders and sections filled in."""
    rendered, _ = _render(text, 0, [fields], "")
    return rendered


def _render(
    text: str, position: int, scopes: list[typing.Any], until: str
) -> tuple[str, int]:
    parts = []
    while (tag := _TAG.search(text, position)) is not None:
        parts.append(text[position : tag.start()])
        position = tag.end()
        sign, name = tag[1], tag[2]
        if sign == "/":
            assert name == until, f"{name} closes {until}"
            return "".join(parts), position
        if not sign:
            parts.append(_text(name, scopes))
            continue
        value = _lookup(name, scopes)
        shown = [value] if value and not isinstance(value, list) else value
        if sign == "^":
            shown = [] if value not in (None, False, []) else [scopes[-1]]
        body, end = "", None
        for each in shown or []:
            inner = [*scopes, each] if sign == "#" else scopes
            body, end = _render(text, position, inner, name)
            parts.append(body)
        if end is None:
            _, end = _render(text, position, scopes, name)
        position = end
    return "".join([*parts, text[position:]]), len(text)


def _lookup(name: str, scopes: list[typing.Any]) -> typing.Any:
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for key in name.split("."):
            if isinstance(value, list) and key.isdigit():
                value = value[int(key)] if int(key) < len(value) else None
            else:
                value = value.get(key) if isinstance(value, dict) else None
        if value is not None:
            return value
    return None


def _text(name: str, scopes: list[typing.Any]) -> str:
    name, _, form = name.partition("|")
    value = _lookup(name, scopes)
    if form == "json":
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(map(str, value))
    if isinstance(value, bool):
        return "true" if value else "false"
    return json.dumps(value) if isinstance(value, dict) else str(value)
