"""What a control process counts of itself, as Prometheus text."""

from collections import abc
import typing

from werkzeug import wrappers

from cardamombarrow.control import state as state_module
from cardamombarrow.log import base

__all__ = ["MetricsApp"]

PREFIX = "cardamombarrow_"


class MetricsApp:
    """Serves the state of the log on every path; see PEP 3333."""

    def __init__(self, log: base.Log, state: state_module.ControlState):
        self._log = log
        self._state = state

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> abc.Iterable[bytes]:
        """Serves one request."""
        text = "\n".join([*self._lines(), ""])
        response = wrappers.Response(
            text, content_type="text/plain; version=0.0.4"
        )
        return response(environ, start_response)

    def _lines(self) -> abc.Iterator[str]:
        status = self._log.status()
        accepted = self._state.document.accepted
        for name, value in (
            ("log_term", status.term),
            ("log_commit_index", status.commit_index),
            ("log_applied_index", status.applied_index),
            ("log_is_leader", int(status.role == "leader")),
            ("log_has_quorum", int(status.has_quorum)),
            ("log_is_redundant", int(status.redundant)),
            ("log_voters", len(status.voters)),
            ("document_revision", accepted.revision),
            ("document_number", accepted.number),
        ):
            yield f"# TYPE {PREFIX}{name} gauge"
            yield f"{PREFIX}{name} {value}"
        yield f"# TYPE {PREFIX}log_wakeups_total counter"
        yield f"{PREFIX}log_wakeups_total {status.wakeups}"
