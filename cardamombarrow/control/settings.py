"""Settings of the `control` role."""

import dataclasses

from cardamombarrow.duties import settings as duties_settings
from cardamombarrow.entry import settings as entry_settings
from cardamombarrow.kernel import http
from cardamombarrow.kernel import settings

__all__ = ["ControlSettings", "OperatorSettings", "StateSettings"]

LEAST_VOTERS = 3
"""With fewer, the loss of one leaves no majority."""


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
    tended: bool = settings.setting(
        False,
        help="whether the group keeps its members by itself: processes that "
        "ask are let in, silent ones above the wanted number are let go; "
        "with `no` the operators alone change the members",
    )
    tolerated_losses: int = settings.setting(
        1,
        help="disks whose loss at once must be survived; twice as many voters "
        "and one more are wanted",
        low=0,
        high=3,
    )
    first_document: str = settings.setting(
        "",
        help="file with the document of revision 1; empty where operators "
        "hand in editions",
    )

    def wanted_voters(self) -> int:
        """Returns the voters that must stay; 0 where none are let go."""
        if not self.tended:
            return 0
        return max(2 * self.tolerated_losses + 1, LEAST_VOTERS)


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
    duties: duties_settings.DutySettings
    side: entry_settings.SideSettings
    log: entry_settings.LogSettings
