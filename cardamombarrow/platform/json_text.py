"""Strict parsing of the platform's JSON, also of arrays with damaged items.

JSON as of RFC 8259: `NaN`, infinite numbers and bytes that are not UTF-8 are
errors.
"""

import json
import math
import re
import typing

__all__ = ["load", "load_array_member"]

_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_MEMBER = re.compile(r'\s*("(?:[^"\\]|\\.)*")\s*:(.*)', re.DOTALL)


def load(text: str | bytes) -> typing.Any:
    """Parses a JSON text.

    Raises:
        ValueError: It is not valid, or nested too deeply.
    """
    try:
        if isinstance(text, bytes):
            text = text.decode()
        return json.loads(
            text, parse_constant=_refuse_constant, parse_float=_finite
        )
    except RecursionError:
        raise ValueError("nested too deeply") from None


def load_array_member(
    body: bytes, name: str
) -> tuple[dict[str, typing.Any], list[typing.Any], list[str]]:
    """Parses an object with an array whose items may be damaged.

    Args:
        body: The object.
        name: Name of the member that is an array.

    Returns:
        The other members, the valid items, and for each of the others why it
        is not valid.

    Raises:
        ValueError: The object is not valid apart from the array's items.
    """
    try:
        raw = load(body)
    except ValueError:
        return _load_parts(body, name)
    if not isinstance(raw, dict) or not isinstance(raw.get(name), list):
        raise ValueError(f"not an object with an array {name!r}")
    items = raw.pop(name)
    return raw, items, []


def _load_parts(
    body: bytes, name: str
) -> tuple[dict[str, typing.Any], list[typing.Any], list[str]]:
    members = {}
    for part in _split(body.decode(errors="surrogateescape"), "{}"):
        found = _MEMBER.fullmatch(part)
        if found is None:
            raise ValueError("not a JSON object")
        members[load(found[1])] = found[2]
    if name not in members:
        raise ValueError(f"not an object with an array {name!r}")
    parts = _split(members.pop(name), "[]")
    items, mistakes = [], []
    for part in parts:
        try:
            items.append(load(part.encode(errors="surrogateescape")))
        except ValueError as error:
            mistakes.append(str(error))
    others = {
        member: load(text.encode(errors="surrogateescape"))
        for member, text in members.items()
    }
    return others, items, mistakes


def _split(text: str, brackets: str) -> list[str]:
    """Returns the items of an array, or the members of an object, as text.

    Raises:
        ValueError: The text is not enclosed in balanced brackets.
    """
    text = text.strip()
    if text[:1] != brackets[0] or text[-1:] != brackets[1]:
        raise ValueError(f"not enclosed in {brackets}")
    depth, start, parts = 0, 1, []
    for token in _TOKEN.finditer(text):
        symbol = token[0]
        if symbol in ("{", "["):
            depth += 1
        elif symbol in ("}", "]"):
            depth -= 1
        if depth < 1 and token.end() < len(text):
            break
        if depth == 1 and symbol == ",":
            parts.append(text[start : token.start()])
            start = token.end()
    if depth != 0 or token.end() != len(text):
        raise ValueError("brackets are not balanced")
    last = text[start:-1]
    return [*parts, last] if parts or last.strip() else []


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is not a JSON number")


def _finite(text: str) -> float:
    number = float(text)
    if math.isinf(number):
        raise ValueError(f"{text[:20]} is too large")
    return number
