"""Settings of the `control` role."""

import dataclasses

from cardamombarrow.entry import settings as entry_settings
from cardamombarrow.kernel import http
from cardamombarrow.kernel import settings

__all__ = ["ControlSettings", "StateSettings"]


@dataclasses.dataclass(frozen=True)
class StateSettings:
    """Where the state lives and who else keeps it."""

    folder: str = settings.setting(help="data folder, on a disk that lasts")
    voters: tuple[str, ...] = settings.setting(
        (),
        help="first voters as id=host:port, the same list on each; "
        "used only while the data folder is empty",
    )
    first_document: str = settings.setting(
        "", help="file with the document of revision 1"
    )


@dataclasses.dataclass(frozen=True)
class ControlSettings:
    """All settings of the role; one INI section each."""

    instance: entry_settings.InstanceSettings
    http: http.HttpSettings
    peers: entry_settings.PeerSettings
    state: StateSettings
    log: entry_settings.LogSettings
