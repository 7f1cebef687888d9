"""Settings of the `control` role."""

import dataclasses

from cardamombarrow.entry import settings as entry_settings
from cardamombarrow.kernel import http
from cardamombarrow.kernel import settings

__all__ = ["ControlSettings", "OperatorSettings", "StateSettings"]


@dataclasses.dataclass(frozen=True)
class StateSettings:
    """Where the state lives and who else keeps it."""

    folder: str = settings.setting(help="data folder, on a disk that lasts")
    voters: tuple[str, ...] = settings.setting(
        (),
        help="first voters as id=host:port, the same list on each; "
        "used only while the data folder is empty",
    )
    founds: bool = settings.setting(
        True,
        help="whether this process may found the group; no, where the system "
        "ran before and only this data folder is empty",
    )
    wanted_voters: int = settings.setting(
        0,
        help="voters that the group keeps by itself: processes that ask are "
        "let in, silent ones above this number are let go; with 0 the "
        "operators alone change the members",
        low=0,
        high=7,
    )
    first_document: str = settings.setting(
        "",
        help="file with the document of revision 1; empty where operators "
        "hand in editions",
    )


@dataclasses.dataclass(frozen=True)
class OperatorSettings:
    """How operators speak."""

    protocol: str = settings.setting(
        "sections",
        help="`sections` for the administration API, or an operator-app "
        "plug-in for editions",
    )


@dataclasses.dataclass(frozen=True)
class ControlSettings:
    """All settings of the role; one INI section each."""

    instance: entry_settings.InstanceSettings
    http: http.HttpSettings
    peers: entry_settings.PeerSettings
    state: StateSettings
    operators: OperatorSettings
    side: entry_settings.SideSettings
    log: entry_settings.LogSettings
