"""The settings that the platform fills in for an entry."""

import pathlib
import re

import pytest

from cardamombarrow.entry import settings as entry_settings
from cardamombarrow.kernel import settings

_TEMPLATE = pathlib.Path(__file__).resolve().parents[3] / "deploy/entry.ini"
_FIELDS = {
    "nodeName": "edge-a-1",
    "zone": "a",
    "region": "north",
    "ip": "10.1.0.19",
    "portRange.0": "7340",
    "portRange.1": "7355",
    "listen.frontend": "10.1.0.19:8227",
    "listen.ready": "10.1.0.19:8220",
    "seeds": "10.1.0.22:8229",
    "cloudApi.address": "10.200.0.61:8223",
    "bounds.retryBudgetRatio": "0.2",
    "bounds.retrySlack": "54",
    "bounds.retryWindowS": "10",
    "bounds.drainMs": "4000",
}


def _settings(fields: dict[str, str]) -> entry_settings.EntrySettings:
    """Returns the settings for the fields of a machine."""
    text = re.sub(
        r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}",
        lambda found: (
            found[3] if (found[1] == "#") == (found[2] in fields) else ""
        ),
        _TEMPLATE.read_text(),
        flags=re.DOTALL,
    )
    text = re.sub(
        r"\{\{([\w.]+)\}\}", lambda found: fields.get(found[1], ""), text
    )
    return settings.parse(entry_settings.EntrySettings, text)


@pytest.mark.parametrize("grace_s", ["3", "8", "12.5", "30"])
def test_the_grace_of_the_deployment_is_used(grace_s):
    # Guards against a stop that is planned for another grace than is given.
    fields = {**_FIELDS, "bounds.graceS": grace_s}
    assert _settings(fields).calls.grace_s == float(grace_s)


def test_a_deployment_without_a_grace_gets_one():
    # Guards against an entry that is killed though it knows of no grace.
    assert _settings(_FIELDS).calls.grace_s == 8.0
