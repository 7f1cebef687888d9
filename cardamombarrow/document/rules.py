"""Semantic rules that a document must satisfy to be accepted.

Each rule yields violations as (section, reason). Rules depend only on the
document, so that all voters agree on whether it is valid. An accepted document
is in force everywhere within seconds, so anything that an entry can't execute
must be rejected here.
"""

from collections import abc
import dataclasses
import re
import typing

from cardamombarrow.decisions import policies as policies_module
from cardamombarrow.document import schema
from cardamombarrow.kernel import addresses
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = [
    "MAX_RESERVED_SHARE",
    "Violation",
    "route_violations",
    "value_range",
    "violations",
]

MAX_RESERVED_SHARE = 0.5
"""Most capacity that all lower tiers together may reserve."""

_DIGEST = re.compile(r"^[0-9a-f]{64}$")
_ROUTE = re.compile(r"^[A-Z]+ /\S*$")

Violation = tuple[str, str]
Rule = abc.Callable[[schema.Document], abc.Iterator[Violation]]


def violations(document: schema.Document) -> abc.Iterator[Violation]:
    """Yields every violation of every rule, as (section name, reason)."""
    for rule in _RULES:
        yield from rule(document)


def route_violations(document: schema.Document) -> abc.Iterator[Violation]:
    """Yields violations of the rules on routes and keys only.

    For documents built by `from_routes`, whose other sections are generated.
    """
    yield from _routes(document)
    yield from _keys(document)


def _routes(document: schema.Document) -> abc.Iterator[Violation]:
    route_by_prefix: dict[tuple[str, str], ids.RouteId] = {}
    for route in document.routes.values():
        section = f"route:{route.route}"
        prefix = (route.host, route.path_prefix)
        other = route_by_prefix.setdefault(prefix, route.route)
        if other != route.route:
            yield (
                section,
                f"its host and prefix belong to [route:{other}]",
            )
        if not (route.path_prefix[:1] == route.path_prefix[-1:] == "/"):
            yield section, "its prefix does not begin and end with a slash"
        for service in route.services:
            if service not in document.services:
                yield section, f"there is no [service:{service}]"
        weights = route.services.values()
        if not weights or min(weights) < 0 or sum(weights) <= 0:
            yield section, "its weights must be 0 or more, at least one above 0"
        if route.class_id not in document.classes:
            yield section, f"there is no [class:{route.class_id}]"
        if route.max_attempts < 1:
            yield section, "max_attempts is below 1"


def _references(document: schema.Document) -> abc.Iterator[Violation]:
    for item in document.classes.values():
        if item.tier not in document.tiers:
            yield f"class:{item.class_id}", f"there is no [tier:{item.tier}]"
    for item in document.models.values():
        if item.service not in document.services:
            reason = f"there is no [service:{item.service}]"
            yield f"model:{item.model}", reason
    for item in document.workspaces.values():
        for class_id in item.classes:
            if class_id not in document.classes:
                reason = f"there is no [class:{class_id}]"
                yield f"workspace:{item.workspace}", reason


def _ranges(document: schema.Document) -> abc.Iterator[Violation]:
    groups: dict[str, dict[typing.Any, typing.Any]] = {
        "tier": document.tiers,
        "class": document.classes,
        "workspace": document.workspaces,
        "service": document.services,
        "weight-store": {"": document.weight_store},
    }
    for (kind, key), (low, high) in _VALUE_RANGES.items():
        for name, item in groups[kind].items():
            value = getattr(item, key)
            if not low <= value <= high:
                reason = f"{key} = {value} is not within {low} and {high}"
                yield f"{kind}:{name}" if name else kind, reason


_VALUE_RANGES: dict[tuple[str, str], tuple[float, float]] = {
    ("tier", "rank"): (0, 15),
    ("tier", "reserved_share"): (0.0, MAX_RESERVED_SHARE),
    ("class", "target_first_token_s"): (0.01, 86_400),
    ("class", "target_total_s"): (0.01, 86_400),
    ("class", "attainment_share"): (0.01, 1.0),
    ("class", "expected_tokens"): (1, 1_000_000),
    ("workspace", "max_in_flight"): (0, 100_000),
    ("workspace", "weight"): (0.01, 1_000),
    ("service", "slots_per_endpoint"): (1, 10_000),
    ("service", "stall_limit_s"): (0.1, 3_600),
    ("weight-store", "loads_per_minute"): (0.01, 10_000),
}


def value_range(kind: str, key: str) -> tuple[float, float] | None:
    """Returns minimum and maximum of a key, or None if it has no range."""
    return _VALUE_RANGES.get((kind, key))


def _tiers(document: schema.Document) -> abc.Iterator[Violation]:
    by_rank: dict[int, schema.Tier] = {}
    for tier in document.tiers.values():
        other = by_rank.setdefault(tier.rank, tier)
        if other is not tier:
            reason = f"rank {tier.rank} belongs to [tier:{other.tier}]"
            yield f"tier:{tier.tier}", reason
    lower = sorted(by_rank)[1:]
    reserved = sum(by_rank[rank].reserved_share for rank in lower)
    if reserved > MAX_RESERVED_SHARE:
        yield (
            f"tier:{by_rank[lower[-1]].tier}",
            f"the lower tiers reserve {reserved:.2f} of the capacity, more "
            f"than {MAX_RESERVED_SHARE}",
        )


def _targets(document: schema.Document) -> abc.Iterator[Violation]:
    for item in document.classes.values():
        if item.target_total_s < item.target_first_token_s:
            yield (
                f"class:{item.class_id}",
                "target_total_s is below target_first_token_s",
            )


def _keys(document: schema.Document) -> abc.Iterator[Violation]:
    owner_of: dict[str, str] = {}
    for workspace in document.workspaces.values():
        section = f"workspace:{workspace.workspace}"
        for digest in workspace.key_sha256:
            if not _DIGEST.match(digest):
                yield section, f"{digest!r} is not a hexadecimal SHA-256 digest"
            other = owner_of.setdefault(digest, section)
            if other != section:
                # Callers of one workspace would be served, and charged, as
                # those of the other.
                yield section, f"one of its keys belongs to [{other}]"


def _workspaces(document: schema.Document) -> abc.Iterator[Violation]:
    for workspace in document.workspaces.values():
        if not workspace.classes:
            yield f"workspace:{workspace.workspace}", "it has no classes"


def _endpoints(document: schema.Document) -> abc.Iterator[Violation]:
    service_of: dict[str, str] = {}
    for service in document.services.values():
        section = f"service:{service.service}"
        for endpoint in (e for g in service.endpoints.values() for e in g):
            if not addresses.is_valid(endpoint):
                yield section, f"{endpoint!r} is not `host:port`"
            if endpoint in service_of:
                reason = f"{endpoint} is listed in [{service_of[endpoint]}]"
                yield section, f"{reason} already"
            service_of[endpoint] = section
        plain = service.kind is schema.ServiceKind.PLAIN
        if plain and service.orders is not schema.Orders.NONE:
            yield section, "plain services take no orders"
        for route in service.unrepeatable:
            if not _ROUTE.match(route):
                yield section, f"{route!r} is not `METHOD /path`"


def _models(document: schema.Document) -> abc.Iterator[Violation]:
    for model in document.models.values():
        section = f"model:{model.model}"
        service = document.services.get(model.service)
        if service and service.kind is not schema.ServiceKind.ENGINE:
            yield section, f"[service:{model.service}] runs no models"
        weights = model.versions.values()
        if weights and (min(weights) < 0 or sum(weights) <= 0):
            yield (
                section,
                "its version weights must be 0 or more, at least one above 0",
            )


def _owners(document: schema.Document) -> abc.Iterator[Violation]:
    for owner in document.owners.values():
        if not _DIGEST.match(owner.token_sha256):
            yield (
                f"owner:{owner.owner}",
                "token_sha256 is not a hexadecimal SHA-256 digest",
            )
    if not any("*" in owner.sections for owner in document.owners.values()):
        # Otherwise a document that excludes all owners could never be
        # corrected by an edit.
        yield "owner", "no owner has `sections = *`"


def _policies(document: schema.Document) -> abc.Iterator[Violation]:
    registry.load(*policies_module.POLICY_MODULES)
    for field in dataclasses.fields(document.policies):
        name = getattr(document.policies, field.name)
        known = registry.names(field.name)
        if name not in known:
            reason = f"{field.name} = {name}; known: {', '.join(known)}"
            yield "policies", reason


_RULES: tuple[Rule, ...] = (
    _references,
    _ranges,
    _tiers,
    _targets,
    _keys,
    _workspaces,
    _routes,
    _endpoints,
    _models,
    _owners,
    _policies,
)
