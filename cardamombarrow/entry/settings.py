"""Settings of the `entry` role."""

import dataclasses

from cardamombarrow.kernel import http
from cardamombarrow.kernel import settings

__all__ = [
    "CallSettings",
    "DocumentSettings",
    "EntrySettings",
    "ForwardingSettings",
    "InstanceSettings",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "RetrySettings",
    "SideSettings",
]


@dataclasses.dataclass(frozen=True)
class InstanceSettings:
    """Identity of this instance."""

    id: str = settings.setting(help="id of this instance, unique")
    domain: str = settings.setting(help="failure domain of this instance")
    region: str = settings.setting("", help="region of this instance")
    plugins: tuple[str, ...] = settings.setting(
        (), help="modules to import at the start; they register plug-ins"
    )


@dataclasses.dataclass(frozen=True)
class LogSettings:
    """Settings of the log."""

    level: str = settings.setting(
        "INFO", help="minimum level: DEBUG, INFO, WARNING or ERROR"
    )


@dataclasses.dataclass(frozen=True)
class PeerSettings:
    """How the system's processes find and authenticate each other."""

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
        help="address host:port at which other instances reach this one; "
        "empty for the host and port above",
    )
    controls: tuple[str, ...] = settings.setting(
        (), help="peer addresses host:port of the control processes"
    )
    controls_port: int = settings.setting(
        0,
        help="port of the control processes, replaces those in `controls`; "
        "0 uses the ports given there",
        low=0,
        high=65535,
    )
    seeds: tuple[str, ...] = settings.setting(
        (), help="peer addresses host:port of some entries of this domain"
    )
    ask_placer: bool = settings.setting(
        True,
        help="whether one instance of the domain places each stream; with no, "
        "each instance decides by itself",
    )
    report_interval_s: float = settings.setting(
        1.0,
        unit="s",
        help="time between reports of the applied revision",
        low=0.05,
        high=60.0,
    )

    def control_addresses(self) -> tuple[str, ...]:
        """Returns the peer addresses of the control processes."""
        return tuple(self.at_controls_port(each) for each in self.controls)

    def at_controls_port(self, address: str) -> str:
        """Returns an address with the port that control processes use."""
        if not self.controls_port:
            return address
        return f"{address.rpartition(':')[0]}:{self.controls_port}"


@dataclasses.dataclass(frozen=True)
class SideSettings:
    """Addresses at which a platform queries the state of the process."""

    ready: str = settings.setting(
        "", help="separate address host:port for /readyz; empty for none"
    )
    metrics: str = settings.setting(
        "", help="separate address host:port for /metrics; empty for none"
    )


@dataclasses.dataclass(frozen=True)
class RetrySettings:
    """Limits on retries to one service by all entries together."""

    share: float = settings.setting(
        0.1,
        help="share of the requests of a window that may be retried",
        low=0.0,
        high=10.0,
    )
    slack: float = settings.setting(
        20.0,
        unit="requests",
        help="additional requests of a window that may be retried",
        low=0.0,
        high=1e6,
    )
    window_s: float = settings.setting(
        10.0, unit="s", help="length of a window", low=0.1, high=3600.0
    )


REVOCATION_MARGIN_S = 0.5
"""Time for which a request may be on its way to the check of its key."""


@dataclasses.dataclass(frozen=True)
class DocumentSettings:
    """Requirements on the confirmation of the document."""

    confirmed_within_s: float = settings.setting(
        0.0,
        unit="s",
        help="maximum age of the last confirmation by a majority that the "
        "document in force is the newest; if it is older, requests are "
        "refused. With 0 an entry that is cut off continues to serve",
        low=0.0,
        high=3600.0,
    )
    revoked_within_ms: int = settings.setting(
        0,
        unit="ms",
        help="time after which every entry must refuse a removed key; where "
        "set, it replaces `confirmed_within_s`, less "
        f"{REVOCATION_MARGIN_S} s",
        low=0,
        high=3_600_000,
    )

    @property
    def max_age_s(self) -> float:
        """Maximum age of the last confirmation, in seconds; 0 for no bound."""
        if not self.revoked_within_ms:
            return self.confirmed_within_s
        allowed_s = self.revoked_within_ms / 1_000
        return max(allowed_s - REVOCATION_MARGIN_S, allowed_s / 2)


@dataclasses.dataclass(frozen=True)
class CallSettings:
    """Bounds on callers' requests."""

    protocol: str = settings.setting(
        "openai",
        help="protocol of callers: `openai`, or a caller-protocol plug-in for "
        "requests by route",
    )

    body_limit_bytes: int = settings.setting(
        4_000_000,
        unit="bytes",
        help="largest request body",
        low=1_000,
        high=1_000_000_000,
    )
    large_bodies_bytes: int = settings.setting(
        24_000_000,
        unit="bytes",
        help="maximum size of all request bodies over 64 KiB together, of "
        "callers that send requests by route; others wait and are then refused",
        low=1_000_000,
        high=1_000_000_000,
    )
    grace_s: float = settings.setting(
        0.0,
        unit="s",
        help="time from SIGTERM until the platform kills the process; requests "
        "that can't be answered by then are refused. 0 if it is not killed",
        low=0.0,
        high=3600.0,
    )
    drain_most_s: float = settings.setting(
        30.0,
        unit="s",
        help="maximum time after SIGTERM in which the port stays open for "
        "running requests; new callers get a refusal. `grace_s` replaces it",
        low=0.0,
        high=600.0,
    )
    drain_notice_s: float = settings.setting(
        5.0,
        unit="s",
        help="time after SIGTERM in which new requests are still accepted, "
        "until the balancer has noticed; at most a third of `grace_s`",
        low=0.0,
        high=600.0,
    )


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """The platform's list of endpoints and the endpoints' load reports."""

    discovery: str = settings.setting(
        "list", help="discovery plug-in that reads the list"
    )
    listing_url: str = settings.setting(
        "", help="URL of the platform's list; empty for none"
    )
    listing_interval_s: float = settings.setting(
        1.0,
        unit="s",
        help="time between two reads of the list",
        low=0.05,
        high=60.0,
    )
    leaving_within_ms: float = settings.setting(
        0.0,
        unit="ms",
        help="time from the list marking an endpoint as leaving until no "
        "entry sends to it any more; with 0 a list counts as old after two "
        "intervals",
        low=0.0,
        high=600_000.0,
    )
    listing_shared: bool = settings.setting(
        False,
        help="whether one entry of a domain reads the list for the others",
    )
    report_interval_s: float = settings.setting(
        1.0,
        unit="s",
        help="time between two load reports of an endpoint",
        low=0.05,
        high=60.0,
    )


@dataclasses.dataclass(frozen=True)
class MeteringSettings:
    """Metering of usage by workspace."""

    window_s: float = settings.setting(
        0.0,
        unit="s",
        help="length of the windows in which usage by workspace is counted; "
        "0 counts none",
        low=0.0,
        high=86_400.0,
    )


@dataclasses.dataclass(frozen=True)
class OverloadSettings:
    """Controls for load above the prefill capacity of the endpoints."""

    enabled: bool = settings.setting(
        False,
        help="whether requests are ordered and refused by the prefill ahead "
        "of them",
    )
    learns_speeds: bool = settings.setting(
        False,
        help="whether the speed of each endpoint is learned and used",
    )
    learns_reported_speeds: bool = settings.setting(
        False,
        help="the same for services whose endpoints report their work time",
    )


@dataclasses.dataclass(frozen=True)
class ForwardingSettings:
    """Requests that an entry without a path to endpoints has others serve."""

    address: str = settings.setting(
        "",
        help="address host:port at which this entry takes requests of other "
        "entries; empty neither takes nor forwards any",
    )
    connections: int = settings.setting(
        64, help="forwarded requests served at once", low=1, high=4096
    )


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """All settings of the role; one INI section each."""

    instance: InstanceSettings
    http: http.HttpSettings
    peers: PeerSettings
    calls: CallSettings
    platform: PlatformSettings
    document: DocumentSettings
    retries: RetrySettings
    metering: MeteringSettings
    overload: OverloadSettings
    forwarding: ForwardingSettings
    side: SideSettings
    log: LogSettings
