"""Readiness and metrics for the platform, served on separate addresses."""

from collections import abc
import dataclasses
import json
import typing

from werkzeug import wrappers

from cardamombarrow.entry import readiness as readiness_module
from cardamombarrow.entry.documents import in_force
from cardamombarrow.entry.documents import lease as lease_module
from cardamombarrow.entry.requests import call_runner as call_runner_module
from cardamombarrow.kernel import ids

__all__ = ["SideApp"]


class SideApp:
    """Serves ``/readyz``, ``/metrics`` and ``/v1/instance``; see PEP 3333."""

    def __init__(
        self,
        instance: ids.InstanceId,
        documents: in_force.DocumentInForce,
        runner: call_runner_module.CallRunner,
        readiness: readiness_module.Readiness,
        lease: lease_module.DocumentLease,
    ):
        self._instance = instance
        self._documents = documents
        self._runner = runner
        self._readiness = readiness
        self._lease = lease

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> abc.Iterable[bytes]:
        """Serves one request."""
        response = self._answer(environ["PATH_INFO"])
        return response(environ, start_response)

    def _answer(self, path: str) -> wrappers.Response:
        if path == "/metrics":
            return wrappers.Response(
                self._runner.metrics_text(),
                content_type="text/plain; version=0.0.4",
            )
        if path == "/v1/instance":
            return self._instance_answer()
        reason = self._readiness.reason()
        if reason is not None:
            return wrappers.Response(f"{reason}\n", status=503)
        return wrappers.Response("ready\n")

    def _instance_answer(self) -> wrappers.Response:
        content = {
            "instance": self._instance,
            "revision": self._documents.revision,
            "document_age_s": round(self._lease.age_s, 3),
            "not_ready": self._readiness.reason(),
            "held": self._runner.held,
            "endpoints": [
                dataclasses.asdict(view)
                for view in self._runner.services.broker.views()
            ],
        }
        return wrappers.Response(
            json.dumps(content) + "\n", content_type="application/json"
        )
