"""Odd values that other writers may leave in data from outside the process."""

__all__ = ["ADDRESSES", "JSON_NUMBERS", "JSON_VALUES", "deep"]

DEPTHS = (200, 900, 5_000, 100_000)


def deep(depth: int, *, objects: bool = False) -> str:
    """Returns a JSON text of arrays or objects within each other."""
    if objects:
        return '{"a":' * depth + "1" + "}" * depth
    return "[" * depth + "]" * depth


JSON_NUMBERS = (
    "1e999",
    "-1e999",
    "NaN",
    "Infinity",
    "-Infinity",
    "9" * 5_000,
    "9" * 4_000,
    str(2**64),
    str(2**63),
    "-1",
    "-9223372036854775809",
    "1e300",
)
"""JSON texts of numbers that few fields can hold, some of them invalid."""

JSON_VALUES = (
    *JSON_NUMBERS,
    *(deep(each) for each in DEPTHS),
    *(deep(each, objects=True) for each in DEPTHS),
    "2.5",
    "true",
    "null",
    "[]",
    "{}",
    '""',
    '"\\ud800"',
    '"a\\nb"',
    '"a\\u0000b"',
    '"' + "x" * 2_000 + '"',
)
"""JSON texts of values, most of them of the wrong type for any field."""

ADDRESSES = (
    "",
    ":",
    ":80",
    "10.0.0.9",
    "10.0.0.9:",
    "10.0.0.9:0",
    "10.0.0.9:-1",
    "10.0.0.9:+80",
    "10.0.0.9: 80",
    "10.0.0.9:8_0",
    "10.0.0.9:65536",
    "10.0.0.9:70000",
    "10.0.0.9:4294967297",
    "10.0.0.9:" + "9" * 5_000,
    "10.0.0.9:\u0668\u0660",
    "999.0.0.1:80",
    "10.0.0:80",
    "::1:80",
    "[]:80",
    "[::1:80",
    "[::x]:80",
    "[10.0.0.9]:80",
    "a b:80",
    "a\nb:80",
    "a\0b:80",
    "a/b:80",
    "a@b:80",
    "a..b:80",
    "-a:80",
    "a" * 64 + ":80",
    "a." * 150 + ":80",
    "\u00e9:80",
    "\ud800:80",
)
"""Texts that are no ``host:port`` to connect to."""
