"""A deployment whose engines fail most requests, for tests of retries."""

import dataclasses
import pathlib

from tools import arrivals
from tools import deployment

__all__ = ["SERVICE", "FailingEngines"]

SERVICE = "engines"

_DIGEST = "fd501e4e4eabb3b62f313e4d323048dfbddebb4d702c7b63512125b3fa21dd28"
_DOCUMENT = f"""
[tier:race]
rank = 0
[class:question]
tier = race
target_first_token_s = 2
target_total_s = 6
[workspace:desk]
key_sha256 = {_DIGEST}
classes = question
[service:{SERVICE}]
kind = engine
slots_per_endpoint = 60
endpoints.a = 10.0.0.1:80, 10.0.0.2:80
endpoints.b = 10.0.0.3:80, 10.0.0.4:80
endpoints.c = 10.0.0.5:80, 10.0.0.6:80
[model:{SERVICE}]
service = {SERVICE}
[policies]
retry = window
choice = round-robin
admission = bounded
[owner:operations]
token_sha256 = {_DIGEST}
sections = *
"""


@dataclasses.dataclass(frozen=True)
class FailingEngines:
    """Six engines in three failure domains.

    Attributes:
        bound: Bound on retries of all entries.
        fail_share: Share of the requests that fail.
        crash_marker: Text in requests that end an engine; empty for none.
    """

    bound: arrivals.RetryBound
    fail_share: float
    crash_marker: str = ""

    def plan(
        self,
        folder: pathlib.Path,
        entries: dict[str, list[str]],
        controls: dict[str, list[str]],
    ) -> deployment.Plan:
        """Returns a plan whose engines record arrivals in a folder."""
        bound = self.bound
        return deployment.Plan(
            document=_DOCUMENT,
            entries=entries,
            controls=controls,
            engine_options=(
                "--fail-status",
                "500",
                "--fail-share",
                str(self.fail_share),
                "--crash-marker",
                self.crash_marker,
                "--arrivals",
                str(self._path(folder)),
            ),
            entry_extra={
                "retries": f"share = {bound.share}\nslack = {bound.slack}\n"
                f"window_s = {bound.window_s}\n",
                "document": "confirmed_within_s = 3.5\n",
            },
            entry_plugins=("tools.standin.cut_links",),
        )

    def arrivals(self, folder: pathlib.Path) -> list[arrivals.Arrival]:
        """Returns what has arrived at the engines, in order of time."""
        return arrivals.read(self._path(folder))

    def _path(self, folder: pathlib.Path) -> pathlib.Path:
        return folder / "arrivals"
