"""Metrics of a control process, as Prometheus text.

``/duties`` returns as JSON which process calls the platform, the reported usage
and, at that process, the ordered endpoints.
"""

from collections import abc
import json
import typing

from werkzeug import wrappers

from cardamombarrow.control import state as state_module
from cardamombarrow.kernel import background
from cardamombarrow.kernel import left_out
from cardamombarrow.kernel import memory
from cardamombarrow.log import base
from cardamombarrow.peers.control import sends as sends_module

__all__ = ["MetricsApp"]

PREFIX = "cardamombarrow_"

DUTIES_PATH = "/duties"


class MetricsApp:
    """WSGI application for the duties and, on all other paths, the metrics."""

    def __init__(
        self,
        log: base.Log,
        state: state_module.ControlState,
        orders: abc.Callable[[], list[dict[str, typing.Any]]] = list,
        sends: abc.Callable[[], sends_module.DocumentSends | None] = (
            lambda: None
        ),
    ):
        """Builds the application.

        Args:
            log: The log of this process.
            state: The replicated state of this process.
            orders: Returns the endpoints that this process has ordered.
            sends: Returns the counts of documents sent; None before the start.
        """
        self._log = log
        self._state = state
        self._orders = orders
        self._sends = sends

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> abc.Iterable[bytes]:
        """Serves one request; see PEP 3333."""
        if environ.get("PATH_INFO") == DUTIES_PATH:
            body = json.dumps(self._duties())
            answer = wrappers.Response(body, content_type="application/json")
            return answer(environ, start_response)
        text = "\n".join([*self._lines(), ""])
        response = wrappers.Response(
            text, content_type="text/plain; version=0.0.4"
        )
        return response(environ, start_response)

    def _duties(self) -> dict[str, typing.Any]:
        duties = self._state.duties
        holder = duties.holder_state.holder
        return {
            "holder": holder.instance,
            "fencing": holder.fencing,
            "reports": [
                {
                    "window": window,
                    "requests": sum(report.counts.values()),
                    "counts": report.counts,
                    "fencing": report.fencing,
                    "taken": report.taken,
                }
                for window, report in sorted(duties.reports.items())
            ],
            "orders": self._orders(),
        }

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
            ("resident_memory_bytes", memory.resident_bytes()),
            ("duties_fencing", self._state.duties.holder_state.holder.fencing),
            (
                "usage_reports_open",
                sum(not r.taken for r in self._state.duties.reports.values()),
            ),
        ):
            if value is None:
                continue
            yield f"# TYPE {PREFIX}{name} gauge"
            yield f"{PREFIX}{name} {value}"
        yield from background.metric_lines(PREFIX)
        yield from left_out.metric_lines(PREFIX)
        sends = self._sends()
        counts = {} if sends is None else sends.counts()
        yield f"# TYPE {PREFIX}document_bytes_sent_total counter"
        for way, count in counts.items():
            yield (
                f'{PREFIX}document_bytes_sent_total{{way="{way.value}"}} '
                f"{count.size_bytes}"
            )
        yield f"# TYPE {PREFIX}documents_sent_total counter"
        for way, count in counts.items():
            yield (
                f'{PREFIX}documents_sent_total{{way="{way.value}"}} '
                f"{count.messages}"
            )
        yield f"# TYPE {PREFIX}log_wakeups_total counter"
        yield f"{PREFIX}log_wakeups_total {status.wakeups}"
