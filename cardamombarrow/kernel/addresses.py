"""Parsing of ``host:port``."""

import ipaddress
import re

__all__ = ["is_valid", "split"]

MAX_HOST_CHARS = 253

_PORT = re.compile(r"[0-9]{1,5}")
_NUMERIC = re.compile(r"[0-9.]+")
_LABEL = r"(?!-)[A-Za-z0-9_-]{1,63}(?<!-)"
_NAME = re.compile(rf"{_LABEL}(?:\.{_LABEL})*\.?")


def split(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address.

    Sockets raise `OverflowError` for other ports and `UnicodeError` for some
    other hosts, where callers expect `OSError` alone.

    Args:
        address: ``host:port`` with an IPv4 address, an IPv6 address in
            brackets, or the name of a host.

    Raises:
        ValueError: It is no such text.
    """
    host, _, port = address.rpartition(":")
    if not (_PORT.fullmatch(port) and 0 < int(port) < 65_536):
        raise ValueError(f"{address[:64]!r} has no valid port")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
        ipaddress.IPv6Address(host)
    elif _NUMERIC.fullmatch(host):
        ipaddress.IPv4Address(host)
    elif len(host) > MAX_HOST_CHARS or not _NAME.fullmatch(host):
        raise ValueError(f"{address[:64]!r} has no valid host")
    return host, int(port)


def is_valid(address: str) -> bool:
    """Returns whether a text is an address; see `split`."""
    try:
        split(address)
    except ValueError:
        return False
    return True
