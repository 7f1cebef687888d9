"""Converts the operator's configuration to a document.

Each route gets its own request class, because each has its own latency
objective; tenants become workspaces; priorities become tiers.
"""

import hashlib
import typing

from cardamombarrow.document import formats
from cardamombarrow.document import from_routes
from cardamombarrow.document import schema
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import json_text
from cardamombarrow.kernel import logs
from cardamombarrow.kernel import registry

__all__ = ["NAME", "ConfigurationFormat", "version_of"]

NAME = "platform"

_IDEMPOTENT = "idempotent"
_STREAMING = "streaming"
_KINDS = (_IDEMPOTENT, _STREAMING, "non_idempotent")


MAX_INTEGER = 2**53
"""Highest integer; JSON numbers above it lose digits with many writers."""

MAX_NUMBER = 1e12

MAX_RANK = 2**16

MAX_ATTEMPTS = 2**16

MAX_SLOTS = 1_000_000

MAX_MISTAKE_CHARS = 200

_VERSIONS = range(-(2**63), 2**63)


def version_of(text: str) -> int:
    """Returns the version number in a configuration.

    Raises:
        errors.ConfigError: It is missing or not an integer of 64 bits.
    """
    version = _load(text).get("version")
    if not _is_integer(version):
        raise errors.ConfigError(["version: not an integer"])
    if version not in _VERSIONS:
        raise errors.ConfigError(["version: out of range"])
    return version


@registry.plugin(formats.SLOT, NAME)
class ConfigurationFormat(formats.DocumentFormat):
    """A configuration as JSON."""

    def parse(self, text: str) -> schema.Document:
        """Reads and checks a configuration; see `formats.DocumentFormat`."""
        raw = _load(text)
        reader = _Reader()
        services = reader.each(raw, "services", reader.service)
        routes = reader.each(raw, "routes", reader.route)
        workspaces = reader.each(
            raw, "tenants", reader.workspace, required=False
        )
        limits = reader.limits(raw.get("limits", {}))
        if reader.mistakes:
            raise errors.ConfigError(reader.mistakes)
        return from_routes.build(
            from_routes.ParsedRoutes(
                services=services,
                routes=[route for route, _, _ in routes],
                classes=[each for _, each, _ in routes],
                ranks={each.class_id: rank for _, each, rank in routes},
                workspaces=workspaces,
                # Without tenants, requests carry no API key.
                allow_anonymous="tenants" not in raw,
                limits=limits,
            )
        )


def _load(text: str) -> dict[str, typing.Any]:
    try:
        raw = json_text.load(text)
    except ValueError as error:
        raise errors.ConfigError([f"not JSON: {error}"]) from None
    if not isinstance(raw, dict):
        raise errors.ConfigError(["not a JSON object"])
    return raw


def _is_integer(value: typing.Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


class _Reader:
    """Reads the sections of a configuration and collects the mistakes.

    Attributes:
        mistakes: One line for each, with its location.
    """

    def __init__(self):
        self.mistakes: list[str] = []
        self._location = ""

    def each(
        self,
        raw: dict[str, typing.Any],
        name: str,
        read: typing.Callable[[dict[str, typing.Any]], typing.Any],
        *,
        required: bool = True,
    ) -> list[typing.Any]:
        """Reads every item of a list."""
        items = raw.get(name, None if required else [])
        if not isinstance(items, list):
            self.mistakes.append(f"{name}: not a list")
            return []
        result = []
        for number, item in enumerate(items):
            self._location = f"{name}[{number}]"
            try:
                result.append(read(item))
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                mistake = f"{self._location}: {error!r}"
                self.mistakes.append(mistake[:MAX_MISTAKE_CHARS])
        return result

    def service(self, raw: dict[str, typing.Any]) -> schema.Service:
        """Reads a service."""
        engine = raw.get("engine")
        if engine is None:
            kind, slots = (
                schema.ServiceKind.PLAIN,
                from_routes.DEFAULT_PLAIN_SLOTS,
            )
        else:
            kind, slots = (
                schema.ServiceKind.ENGINE,
                _integer(engine["slots"], MAX_SLOTS),
            )
        return schema.Service(
            service=ids.ServiceId(_text(raw["name"])),
            kind=kind,
            slots_per_endpoint=slots,
            max_connections=_integer(raw.get("maxConns", 0)),
            cache_token_bytes=_integer((engine or {}).get("kvTokenBytes", 0)),
            cache_link_mbit_per_s=_number((engine or {}).get("linkMbps", 0.0)),
            scaling=_scaling(raw.get("scaling")),
        )

    def route(
        self, raw: dict[str, typing.Any]
    ) -> tuple[schema.Route, schema.RequestClass, int]:
        """Reads a route, its class and the rank of its requests."""
        name = _text(raw["name"])
        kind = raw["routeKind"]
        if kind not in _KINDS:
            raise ValueError(f"routeKind {kind!r}")
        resumable = kind == _STREAMING and bool(raw.get("resumable", False))
        timeout_s = _number(raw["timeoutMs"]) / 1_000
        if timeout_s <= 0:
            raise ValueError("timeoutMs must be greater than 0")
        target_s = _number(raw.get("latencyGoalMs") or raw["timeoutMs"]) / 1_000
        class_id = ids.ClassId(name)
        rank = _integer(raw.get("priority", from_routes.LAST_RANK), MAX_RANK)
        request_class = schema.RequestClass(
            class_id=class_id,
            tier=from_routes.tier_id(rank),
            target_first_token_s=min(target_s, timeout_s),
            target_total_s=timeout_s,
            repeatable=kind == _IDEMPOTENT or resumable,
            expected_tokens=from_routes.expected_tokens(kind == _STREAMING),
        )
        route = schema.Route(
            route=ids.RouteId(name),
            host=_text(raw["host"]).lower(),
            path_prefix=_text(raw["pathPrefix"]),
            class_id=class_id,
            services=_services(raw),
            max_attempts=_integer(raw.get("maxAttempts", 1), MAX_ATTEMPTS),
            anonymous=bool(raw.get("anonymous", False)),
            resumable=resumable,
            streams=kind == _STREAMING,
            longest_pause_s=_number(raw.get("itlTargetMs") or 0) / 1_000,
        )
        return route, request_class, rank

    def workspace(self, raw: dict[str, typing.Any]) -> schema.Workspace:
        """Reads a tenant."""
        priority = raw.get("priority")
        return schema.Workspace(
            workspace=ids.WorkspaceId(_text(raw["name"])),
            key_sha256=tuple(
                hashlib.sha256(_text(key).encode()).hexdigest()
                for key in raw["apiKeys"]
            ),
            classes=(),
            rank=None if priority is None else _integer(priority, MAX_RANK),
        )

    def limits(self, raw: dict[str, typing.Any]) -> schema.CallerLimits:
        """Reads the limits on callers' requests."""
        default = schema.CallerLimits()
        try:
            return schema.CallerLimits(
                header_bytes=_integer(
                    raw.get("maxHeaderBytes", default.header_bytes)
                ),
                body_bytes=_integer(
                    raw.get("maxBodyBytes", default.body_bytes)
                ),
                header_timeout_s=_number(raw["headerTimeoutMs"]) / 1_000
                if "headerTimeoutMs" in raw
                else default.header_timeout_s,
                idle_timeout_s=_number(raw["idleTimeoutMs"]) / 1_000
                if "idleTimeoutMs" in raw
                else default.idle_timeout_s,
            )
        except (TypeError, ValueError, AttributeError) as error:
            self.mistakes.append(f"limits: {error!r}"[:MAX_MISTAKE_CHARS])
            return default


def _scaling(raw: typing.Any) -> schema.Scaling | None:
    """Reads the bounds and prices for scaling a service.

    Returns:
        None if the service is not scaled, or if the values are invalid: the
        service then keeps its present endpoints.
    """
    if raw is None:
        return None
    try:
        scaling = schema.Scaling(
            least=_integer(raw["min"]),
            most=_integer(raw["max"]),
            boot_s=_number(raw.get("bootS", 0)),
            spot_price=_number(raw.get("spotPrice", 0)),
            prices={
                ids.DomainId(_text(zone)): _number(price)
                for zone, price in raw["zonePrices"].items()
            },
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        logs.event(
            "scaling not read",
            "WARNING",
            detail=repr(error)[:MAX_MISTAKE_CHARS],
        )
        return None
    if not (0 <= scaling.least <= scaling.most and scaling.prices):
        logs.event(
            "scaling bounds invalid",
            "WARNING",
            detail=str(raw)[:MAX_MISTAKE_CHARS],
        )
        return None
    return scaling


def _services(
    raw: dict[str, typing.Any],
) -> dict[ids.ServiceId, float]:
    if raw.get("split"):
        weights: dict[ids.ServiceId, float] = {}
        for part in raw["split"]:
            name = ids.ServiceId(_text(part["service"]))
            weight = _number(part["weight"])
            weights[name] = weights.get(name, 0.0) + weight
        return weights
    return {ids.ServiceId(_text(raw["service"])): 1.0}


def _text(value: typing.Any) -> str:
    """Returns a text that messages and headers can hold.

    Raises:
        TypeError: It is no text.
        ValueError: It has lone surrogates.
    """
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not text")
    value.encode()
    return value


def _integer(value: typing.Any, most: int = MAX_INTEGER) -> int:
    """Returns an integer from 0 to `most`; a fraction is cut off.

    Raises:
        TypeError: It is no number.
        ValueError: It is out of range.
    """
    number = int(_number(value)) if isinstance(value, float) else value
    if not _is_integer(number):
        raise TypeError(f"{value!r} is not a number")
    if not 0 <= number <= most:
        raise ValueError("a number is out of range")
    return number


def _number(value: typing.Any) -> float:
    """Returns a number from 0 to `MAX_NUMBER`.

    Raises:
        TypeError: It is no number.
        ValueError: It is out of range.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is not a number")
    if not 0 <= value <= MAX_NUMBER:
        raise ValueError("a number is out of range")
    return float(value)
