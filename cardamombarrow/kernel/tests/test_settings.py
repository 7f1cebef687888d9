"""Settings: all mistakes are reported at once, each with its location."""

import pytest

from cardamombarrow.control import settings as control_settings
from cardamombarrow.entry import settings as entry_settings
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import settings

_GOOD = """
[instance]
id = entry-1
domain = nuwara-a
[peers]
secret = a-long-enough-secret
controls = 10.0.0.1:7000, 10.0.0.2:7000
"""


def test_defaults_are_used_for_absent_keys():
    read = settings.parse(entry_settings.EntrySettings, _GOOD)
    assert read.instance.id == "entry-1"
    assert read.peers.controls == ("10.0.0.1:7000", "10.0.0.2:7000")
    assert read.http.connections == 512


def test_all_mistakes_are_reported_at_once(snapshot):
    # Otherwise an operator would need one start per mistake.
    text = (
        _GOOD.replace("id = entry-1\n", "")
        + "[http]\nport = 99999\nconnections = many\nhots = 1\n[htp]\nx = 1\n"
    )
    with pytest.raises(errors.ConfigError) as caught:
        settings.parse(entry_settings.EntrySettings, text, "entry.ini")
    assert caught.value.mistakes == snapshot


@pytest.mark.parametrize(
    "role", [entry_settings.EntrySettings, control_settings.ControlSettings]
)
def test_every_key_is_described(role):
    rows = [line for line in settings.describe(role) if line.startswith("| ")]
    assert all(row.rstrip(" |").rpartition("|")[2].strip() for row in rows)
