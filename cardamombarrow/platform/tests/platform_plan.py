"""The deployment that tests with servers of the platform run."""

import json

from tools import deployment

__all__ = ["plan"]


def plan(
    configuration: dict[str, object],
    listing_url: str,
    entries: dict[str, list[str]],
) -> deployment.Plan:
    """Returns a plan with one control process.

    Args:
        configuration: What an operator sends.
        listing_url: The list of servers.
        entries: Instance ids of entries by failure domain.
    """
    plugins = "cardamombarrow.platform."
    return deployment.Plan(
        document="",
        standins=False,
        entries=entries,
        controls={"a": ["control-1"]},
        edition=deployment.Edition("/configuration", json.dumps(configuration)),
        listing_url=listing_url,
        control_extra="[operators]\nprotocol = platform\n",
        control_plugins=tuple(
            plugins + name for name in ("configuration", "operator")
        ),
        entry_plugins=(
            *(
                plugins + name
                for name in ("caller", "configuration", "listing", "servers")
            ),
            "tools.standin.cut_links",
        ),
        entry_extra={
            "calls": "protocol = platform\ndrain_notice_s = 0.3\n",
            "document": "revoked_within_ms = 5000\n",
            "platform": "discovery = platform\nlisting_interval_s = 0.3\n",
            "retries": "share = 1.0\nslack = 1000\n",
        },
    )
