"""Settings of the duties."""

import dataclasses

from cardamombarrow.kernel import settings

__all__ = ["DutySettings"]


@dataclasses.dataclass(frozen=True)
class DutySettings:
    """Calls to the platform that one control process makes for all."""

    gateway: str = settings.setting(
        "own", help="duties plug-in that makes the calls"
    )
    url: str = settings.setting(
        "", help="base address of the platform's calls; empty for no duties"
    )
    holder: str = settings.setting(
        "", help="name under which calls are made; empty for `[instance] id`"
    )
    reports_usage: bool = settings.setting(
        False, help="whether usage by workspace is reported"
    )
    orders_endpoints: bool = settings.setting(
        False, help="whether endpoints are ordered"
    )
    calls_per_s: float = settings.setting(
        10.0,
        unit="calls/s",
        help="maximum rate of calls, of all control processes together",
        low=0.1,
        high=10_000.0,
    )
    lease_ms: float = settings.setting(
        3_000.0,
        unit="ms",
        help="time that a new holder waits before its first call",
        low=0.0,
        high=60_000.0,
    )
    window_s: float = settings.setting(
        5.0,
        unit="s",
        help="length of a usage window; must equal that of the entries",
        low=0.1,
        high=86_400.0,
    )
    usage_late_s: float = settings.setting(
        10.0,
        unit="s",
        help="time after a window's end within which its report is due",
        low=0.5,
        high=86_400.0,
    )
    discovery: str = settings.setting(
        "list", help="discovery plug-in that reads the list of endpoints"
    )
    listing_url: str = settings.setting(
        "", help="URL of the list of endpoints; needed to order endpoints"
    )

    @property
    def is_enabled(self) -> bool:
        """Whether any calls are configured."""
        wanted = self.reports_usage or self.orders_endpoints
        return bool(self.url) and wanted
