"""Decides where a stream goes on that its caller resumes."""

from collections import abc

from cardamombarrow.document import schema
from cardamombarrow.entry.frontend import protocol as protocol_module
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.resumption import core as resumption

__all__ = ["StreamResumer"]

MAX_WAIT_S = 0.5
"""Longest wait for the origin of a stream: another entry may just be sending
it."""

WAIT_SHARE = 0.2
"""Longest wait as a share of the time that the caller waits."""

UNKNOWN_RETRY_S = 0.2
"""Retry delay of callers whose stream is not known here: another entry may know
it."""


class StreamResumer:
    """Determines which service and software go on with a caller's stream."""

    def __init__(
        self,
        origins: resumption.StreamOrigins,
        count: abc.Callable[[resumption.Resolution], None],
    ):
        """Builds a resumer.

        Args:
            origins: The origins of streams.
            count: Counts how the origin of a stream was determined.
        """
        self._origins = origins
        self._count = count

    def origin(
        self,
        headers: protocol_module.ParsedHeaders,
        route: schema.Route,
        workspace: schema.Workspace,
        request_id: ids.RequestId,
        limit_s: float,
    ) -> resumption.Origin | None:
        """Returns what has to serve a request; None if anything may.

        Args:
            headers: The request's headers.
            route: Its route.
            workspace: Its caller's workspace.
            request_id: Its id.
            limit_s: The time that its caller waits.

        Raises:
            errors.RefusedError: It resumes a stream whose origin is not known,
                or must not serve it any more.
        """
        if not (route.streams and headers.resume_after):
            return None
        services = [name for name, weight in route.services.items() if weight]
        key = None
        if headers.resumes:
            key = resumption.stream_key(workspace.workspace, headers.resumes)
        resolved = self._origins.resolve(
            key,
            services,
            min(MAX_WAIT_S, WAIT_SHARE * limit_s),
            route.class_id,
        )
        self._count(resolved.resolution)
        _log(resolved, headers, request_id)
        if resolved.origin is None:
            raise errors.RefusedError(
                errors.ErrorKind.STREAM_UNKNOWN,
                "the software version that began the stream is "
                f"{resolved.resolution.value}",
                retry_after_s=UNKNOWN_RETRY_S
                if resolved.resolution is resumption.Resolution.UNKNOWN
                else None,
            )
        if resolved.origin.service not in services:
            raise errors.RefusedError(
                errors.ErrorKind.STREAM_UNKNOWN,
                "the service that began the stream does not serve the route",
            )
        return resolved.origin


def _log(
    resolved: resumption.Resolved,
    headers: protocol_module.ParsedHeaders,
    request_id: ids.RequestId,
) -> None:
    origin, source = resolved.origin, resolved.source
    logs.decision(
        "resumption",
        request_id=request_id,
        resumes=headers.resumes,
        after_event=headers.resume_after,
        resolution=resolved.resolution.value,
        service=None if origin is None else origin.service,
        software=None if origin is None else origin.software,
        source=None if source is None else source.name.lower(),
        age_s=None if resolved.age_s is None else round(resolved.age_s, 3),
        candidates=sorted(
            f"{each.service} {each.software}" for each in resolved.candidates
        ),
        complete=resolved.is_complete,
        control_round=None
        if resolved.round_result is None
        else resolved.round_result.value,
        waited_s=round(resolved.waited_s, 3),
        list_age_s=round(resolved.list_age_s, 3),
        news_age_s=round(resolved.news_age_s, 3),
    )
