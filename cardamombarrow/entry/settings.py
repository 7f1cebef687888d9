"""Settings of the `entry` role."""

import dataclasses

from cardamombarrow.kernel import http
from cardamombarrow.kernel import settings

__all__ = ["EntrySettings", "InstanceSettings", "LogSettings", "PeerSettings"]


@dataclasses.dataclass(frozen=True)
class InstanceSettings:
    """Who this instance is."""

    id: str = settings.setting(help="id of this instance, unique")
    domain: str = settings.setting(help="failure domain it stands in")
    region: str = settings.setting("", help="region it stands in")


@dataclasses.dataclass(frozen=True)
class LogSettings:
    """What is logged."""

    level: str = settings.setting(
        "INFO", help="least level written: DEBUG, INFO, WARNING, ERROR"
    )


@dataclasses.dataclass(frozen=True)
class PeerSettings:
    """How the system's own processes find and trust each other."""

    secret: str = settings.setting(
        help="shared secret of all instances", unit="characters", low=16
    )
    host: str = settings.setting(
        "127.0.0.1", help="address to listen on for other instances"
    )
    port: int = settings.setting(
        0, help="port to listen on for other instances", low=0, high=65535
    )
    address: str = settings.setting(
        "",
        help="address host:port that other instances reach this one at; "
        "empty for the two above",
    )
    controls: tuple[str, ...] = settings.setting(
        (), help="peer addresses host:port of the control processes"
    )
    seeds: tuple[str, ...] = settings.setting(
        (), help="peer addresses host:port of some entries of this domain"
    )
    report_interval_s: float = settings.setting(
        1.0,
        unit="s",
        help="time between reports of the applied revision",
        low=0.05,
        high=60.0,
    )


@dataclasses.dataclass(frozen=True)
class CallSettings:
    """Bounds on callers' requests."""

    body_limit_bytes: int = settings.setting(
        4_000_000,
        unit="bytes",
        help="largest request body",
        low=1_000,
        high=1_000_000_000,
    )
    drain_notice_s: float = settings.setting(
        5.0,
        unit="s",
        help="time after SIGTERM in which new requests are still taken, "
        "until the balancer has noticed",
        low=0.0,
        high=600.0,
    )


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """The platform's list and the endpoints' reports."""

    listing_url: str = settings.setting(
        "", help="URL of the platform's list; empty for none"
    )
    listing_interval_s: float = settings.setting(
        1.0, unit="s", help="time between two looks", low=0.05, high=60.0
    )
    report_interval_s: float = settings.setting(
        1.0,
        unit="s",
        help="time between two load reports of an endpoint",
        low=0.05,
        high=60.0,
    )


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """All settings of the role; one INI section each."""

    instance: InstanceSettings
    http: http.HttpSettings
    peers: PeerSettings
    calls: CallSettings
    platform: PlatformSettings
    log: LogSettings
