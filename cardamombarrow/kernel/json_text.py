"""Strict parsing of JSON, also of arrays with damaged items.

JSON as of RFC 8259: `NaN`, infinite numbers and bytes that are not UTF-8 are
errors. Every text from outside the process is parsed here, because the
standard library's reader raises `RecursionError`, which is no `ValueError`.
"""

import json
import math
import re
import typing

__all__ = [
    "MAX_DEPTH",
    "load",
    "load_array",
    "load_array_member",
    "salvage_array_member",
]

MAX_DEPTH = 100
"""Most arrays and objects within each other. The interpreter's own limit
depends on the stack of the caller: of two control processes, one could accept
a document that the other refuses."""

MAX_SALVAGED_CHARS = 65_536
"""Longest item that is looked for behind a damaged one."""

MAX_SALVAGES = 1_000
"""Damaged items after which no further one is looked for."""

_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_NEXT_OBJECT = re.compile(r",\s*(?=\{)")
_SEPARATOR = re.compile(r"\s*,\s*")
_END = re.compile(r"\s*\]\s*(?:,\s*\"|\}\s*\Z)")
_MEMBER = re.compile(r'\s*("(?:[^"\\]|\\.)*")\s*:(.*)', re.DOTALL)


def load(text: str | bytes) -> typing.Any:
    """Parses a JSON text.

    Raises:
        ValueError: It is not valid, or nested too deeply.
    """
    try:
        if isinstance(text, bytes):
            text = text.decode()
        value = json.loads(
            text, parse_constant=_refuse_constant, parse_float=_finite
        )
    except RecursionError:
        raise ValueError("nested too deeply") from None
    _check_depth(value)
    return value


def load_array(text: str) -> tuple[list[typing.Any], list[str]]:
    """Parses an array whose items may be damaged.

    Returns:
        The valid items, and for each of the others why it is not valid.

    Raises:
        ValueError: It is not an array.
    """
    try:
        items = load(text)
    except ValueError:
        return _load_items(text)
    if not isinstance(items, list):
        raise ValueError("not an array")
    return items, []


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


def salvage_array_member(
    body: bytes, name: str
) -> tuple[str, list[typing.Any], list[str]]:
    """Parses the objects of an array in a text that is not JSON.

    Behind an item whose brackets or quotes are not closed, the next item is
    taken to start at the next object that follows a comma. An object within an
    array of the damaged item can be mistaken for an item.

    Args:
        body: The object.
        name: Name of the member that is an array.

    Returns:
        The text before and after the array, the valid items, and for each
        damaged one why it is not valid.

    Raises:
        ValueError: There is no such array.
    """
    text = body.decode(errors="surrogateescape")
    start = re.search(rf'"{re.escape(name)}"\s*:\s*\[\s*', text)
    if start is None:
        raise ValueError(f"not an object with an array {name!r}")
    items, mistakes = [], []
    position = start.end()
    while not _END.match(text, position):
        try:
            item, end = _load_at(text, position)
            separator = _SEPARATOR.match(text, end)
            if separator is None and not _END.match(text, end):
                # Also an item that has swallowed the following ones.
                raise ValueError("an item is not followed by another")
            items.append(item)
            position = separator.end() if separator is not None else end
        except ValueError as error:
            mistakes.append(str(error))
            following = _NEXT_OBJECT.search(text, position)
            if following is None or len(mistakes) > MAX_SALVAGES:
                break
            position = following.end()
    outside = text[: start.start()] + text[text.rfind("]") + 1 :]
    return outside, items, mistakes


def _load_at(text: str, position: int) -> tuple[typing.Any, int]:
    """Parses the value at a position; returns it and the position behind."""
    part = text[position : position + MAX_SALVAGED_CHARS]
    try:
        value, length = _DECODER.raw_decode(part)
    except RecursionError:
        raise ValueError("nested too deeply") from None
    _check_depth(value)
    return value, position + length


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
    items, mistakes = _load_items(members.pop(name))
    others = {
        member: load(text.encode(errors="surrogateescape"))
        for member, text in members.items()
    }
    return others, items, mistakes


def _load_items(text: str) -> tuple[list[typing.Any], list[str]]:
    items, mistakes = [], []
    for part in _split(text, "[]"):
        try:
            items.append(load(part.encode(errors="surrogateescape")))
        except ValueError as error:
            mistakes.append(str(error))
    return items, mistakes


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


def _check_depth(value: typing.Any) -> None:
    level = [value] if isinstance(value, (dict, list)) else []
    for _ in range(MAX_DEPTH):
        if not level:
            return
        level = [
            child
            for each in level
            for child in (each.values() if isinstance(each, dict) else each)
            if isinstance(child, (dict, list))
        ]
    if level:
        raise ValueError("nested too deeply")


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is not a JSON number")


def _finite(text: str) -> float:
    number = float(text)
    if math.isinf(number):
        raise ValueError(f"{text[:20]} is too large")
    return number


_DECODER = json.JSONDecoder(
    parse_constant=_refuse_constant, parse_float=_finite
)
