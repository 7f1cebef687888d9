"""Settings of the `control` role."""

import dataclasses

from cardamombarrow.duties import settings as duties_settings
from cardamombarrow.entry import settings as entry_settings
from cardamombarrow.kernel import http
from cardamombarrow.kernel import settings

__all__ = ["ControlSettings", "OperatorSettings", "StateSettings"]

MIN_VOTERS = 3
"""With fewer voters, the loss of one leaves no majority."""


@dataclasses.dataclass(frozen=True)
class StateSettings:
    """Where the state is stored and replicated."""

    folder: str = settings.setting(help="data folder, on a persistent disk")
    voters: tuple[str, ...] = settings.setting(
        (),
        help="first voters as id=host:port, the same list for each of them; "
        "used only while the data folder is empty",
    )
    founds: bool = settings.setting(
        True,
        help="whether this process may found the group; `no` if the system "
        "ran before and only this data folder is empty",
    )
    tended: bool = settings.setting(
        False,
        help="whether the group changes its members automatically: processes "
        "that request to join are added, silent ones above the wanted number "
        "are removed; with `no` only operators change the members",
    )
    tolerated_losses: int = settings.setting(
        1,
        help="number of disks that may be lost at once; the wanted number of "
        "voters is twice this number plus one",
        low=0,
        high=3,
    )
    first_document: str = settings.setting(
        "",
        help="file with the document of revision 1; empty if operators "
        "submit editions",
    )

    def wanted_voters(self) -> int:
        """Returns the wanted number of voters; 0 if none are removed."""
        if not self.tended:
            return 0
        return max(2 * self.tolerated_losses + 1, MIN_VOTERS)


@dataclasses.dataclass(frozen=True)
class OperatorSettings:
    """The API for operators."""

    protocol: str = settings.setting(
        "sections",
        help="`sections` for the administration API, or the name of an "
        "operator-app plug-in for editions",
    )


@dataclasses.dataclass(frozen=True)
class ControlSettings:
    """All settings of the role; each attribute is an INI section."""

    instance: entry_settings.InstanceSettings
    http: http.HttpSettings
    peers: entry_settings.PeerSettings
    state: StateSettings
    operators: OperatorSettings
    duties: duties_settings.DutySettings
    side: entry_settings.SideSettings
    log: entry_settings.LogSettings
