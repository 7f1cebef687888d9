"""The administration API: reads and edits of the document, and status."""

from collections import abc
import dataclasses
import hashlib
import json
import time
import typing

from werkzeug import exceptions
from werkzeug import routing
from werkzeug import wrappers

from cardamombarrow.admin import editions
from cardamombarrow.admin import outcomes
from cardamombarrow.control import state as state_module
from cardamombarrow.document import formats
from cardamombarrow.document import machine
from cardamombarrow.document import schema
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import json_text
from cardamombarrow.kernel import logs
from cardamombarrow.ledger import client as ledger_client
from cardamombarrow.log import base
from cardamombarrow.log import membership
from cardamombarrow.peers.control import codec
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import followers

__all__ = ["AdminApp"]

EDIT_TIMEOUT_S = 5.0
EDIT_LIMIT_BYTES = 4_000_000

_ROUTES = routing.Map(
    [
        routing.Rule("/v1/document", endpoint="document", methods=["GET"]),
        routing.Rule("/v1/edits", endpoint="edit", methods=["POST"]),
        routing.Rule("/v1/editions", endpoint="edition", methods=["PUT"]),
        routing.Rule("/v1/history", endpoint="history", methods=["GET"]),
        routing.Rule("/v1/in-force", endpoint="in_force", methods=["GET"]),
        routing.Rule("/v1/status", endpoint="status", methods=["GET"]),
        routing.Rule("/v1/ledger", endpoint="ledger", methods=["GET"]),
        routing.Rule("/v1/members", endpoint="member", methods=["POST"]),
        routing.Rule("/healthz", endpoint="health", methods=["GET"]),
    ]
)

_EDIT_STATUS = {
    machine.EditStatus.ACCEPTED: 200,
    machine.EditStatus.CONFLICT: 409,
    machine.EditStatus.INVALID: 422,
    machine.EditStatus.FORBIDDEN: 403,
    machine.EditStatus.ID_REUSED: 422,
}

GetFollowers = abc.Callable[[], dict[ids.InstanceId, followers.Follower]]


class AdminApp:
    """The WSGI application of the administration API."""

    def __init__(
        self,
        log: base.Log,
        state: state_module.ControlState,
        get_followers: GetFollowers,
    ):
        self._log = log
        self._state = state
        self._get_followers = get_followers
        self._editions = editions.Editions(log, state)

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> abc.Iterable[bytes]:
        """Serves one request; see PEP 3333."""
        request = wrappers.Request(environ)
        request.max_content_length = EDIT_LIMIT_BYTES
        try:
            response = self._dispatch(request)
        except errors.RouterError as error:
            response = _json(
                {"error": {"code": error.kind.value, "message": error.detail}},
                error.answer.status,
            )
        return response(environ, start_response)

    def _dispatch(self, request: wrappers.Request) -> wrappers.Response:
        adapter = _ROUTES.bind_to_environ(request.environ)
        try:
            endpoint, _ = adapter.match()
        except exceptions.HTTPException as error:
            raise errors.RefusedError(
                errors.ErrorKind.NOT_FOUND, str(error.name)
            ) from None
        if endpoint == "health":
            return wrappers.Response("ok\n")
        if self._needs_catch_up(request):
            self._wait_for_document()
        owner = self._authenticate(request)
        return getattr(self, f"_on_{endpoint}")(request, owner)

    def _needs_catch_up(self, request: wrappers.Request) -> bool:
        return request.method != "GET" or request.args.get("fresh") == "yes"

    def _wait_for_document(self) -> None:
        """Waits for the first document, which contains the operators' tokens.

        A process that has just started may not have applied its log yet. It has
        no tokens to compare and would reject a valid operator. Once it has a
        document, this returns at once, so that unauthenticated requests cause
        no round of the log.
        """
        if self._state.document.revision == state_module.NO_DOCUMENT:
            outcomes.wait(self._log.barrier(), EDIT_TIMEOUT_S)

    def _authenticate(self, request: wrappers.Request) -> ids.OwnerId:
        scheme, _, token = request.headers.get("Authorization", "").partition(
            " "
        )
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        if self._state.document.revision == state_module.NO_DOCUMENT:
            raise errors.UnavailableError(
                errors.ErrorKind.NOT_READY,
                "no document yet: the control processes have no leader, or "
                "this one has not caught up",
            )
        document = _document(self._state)
        for owner in document.owners.values():
            if scheme.lower() == "bearer" and owner.token_sha256 == digest:
                return owner.owner
        raise errors.RefusedError(
            errors.ErrorKind.UNAUTHENTICATED,
            "send `Authorization: Bearer <token>` with an operator token",
        )

    def _on_document(
        self, request: wrappers.Request, owner: ids.OwnerId
    ) -> wrappers.Response:
        """Returns the document as applied by this process.

        With ``fresh=yes`` it is at least as new as every edit that was
        accepted before the request, by any control process.
        """
        if request.args.get("fresh") == "yes":
            outcomes.wait(self._log.barrier(), EDIT_TIMEOUT_S)
        accepted = self._state.document.accepted
        return _json(
            {
                "revision": accepted.revision,
                "number": accepted.number,
                "format": accepted.format,
                "text": accepted.text,
            }
        )

    def _on_edit(
        self, request: wrappers.Request, owner: ids.OwnerId
    ) -> wrappers.Response:
        edit = _parse_edit(request, owner)
        command = control_pb2.Command(edit=codec.edit_to_wire(edit))
        raw = outcomes.wait(
            self._log.propose(command.SerializeToString()), EDIT_TIMEOUT_S
        )
        reply = codec.raise_failure(control_pb2.Reply.FromString(raw))
        answer = codec.edit_answer_from_wire(reply.edit)
        return _json(answer.to_json(), _EDIT_STATUS[answer.status])

    def _on_edition(
        self, request: wrappers.Request, owner: ids.OwnerId
    ) -> wrappers.Response:
        """Replaces the whole document by an edition."""
        self._require_all_sections(owner)
        try:
            raw = json_text.load(self._editions.read_text(request))
            number, text = _int64(raw["number"]), _text(raw["text"])
        except (ValueError, KeyError, TypeError) as error:
            raise errors.RefusedError(
                errors.ErrorKind.BAD_REQUEST, f"not an edition: {error!r}"
            ) from None
        answer = self._editions.put(number, text, formats.SECTIONS)
        content = {**dataclasses.asdict(answer), "status": answer.status.value}
        invalid = answer.status is machine.EditionStatus.INVALID
        return _json(content, 422 if invalid else 200)

    def _require_all_sections(self, owner: ids.OwnerId) -> None:
        if "*" not in _document(self._state).owners[owner].sections:
            raise errors.RefusedError(
                errors.ErrorKind.FORBIDDEN,
                "only an owner with `sections = *` may do this",
            )

    def _on_history(
        self, request: wrappers.Request, owner: ids.OwnerId
    ) -> wrappers.Response:
        items = [
            dataclasses.asdict(item) for item in self._state.document.history
        ]
        return _json({"history": items})

    def _on_in_force(
        self, request: wrappers.Request, owner: ids.OwnerId
    ) -> wrappers.Response:
        now_s = time.monotonic()
        instances = {
            follower.instance: {
                "domain": follower.domain,
                "applied_revision": follower.applied_revision,
                "heard_ago_s": round(now_s - follower.last_report_s, 3),
            }
            for follower in list(self._get_followers().values())
        }
        revision = self._state.document.revision
        return _json({"revision": revision, "instances": instances})

    def _on_status(
        self, request: wrappers.Request, owner: ids.OwnerId
    ) -> wrappers.Response:
        status = dataclasses.asdict(self._log.status())
        return _json({"log": status, "revision": self._state.document.revision})

    def _on_member(
        self, request: wrappers.Request, owner: ids.OwnerId
    ) -> wrappers.Response:
        """Adds a learner, promotes one to a voter, or removes a member."""
        self._require_all_sections(owner)
        change = self._parse_change(request)
        logs.event(
            "membership change requested",
            change=change.kind.value,
            member=change.member.id,
            owner=owner,
        )
        reason = outcomes.wait(
            self._log.change(change), EDIT_TIMEOUT_S
        ).decode()
        if reason:
            raise errors.RefusedError(errors.ErrorKind.CONFLICT, reason)
        return _json({"status": "done", "member": change.member.id})

    def _parse_change(self, request: wrappers.Request) -> membership.Change:
        try:
            raw = json_text.load(request.get_data())
            kind = membership.ChangeKind(raw["change"])
            name = _text(raw["member"])
        except (ValueError, KeyError, TypeError) as error:
            raise errors.RefusedError(
                errors.ErrorKind.BAD_REQUEST, f"not a change: {error!r}"
            ) from None
        member = self._log.find(name)
        if member is None:
            raise errors.RefusedError(
                errors.ErrorKind.NOT_FOUND,
                f"{name!r} is not a member and has not requested to join; "
                "start its process first, then check `status`",
            )
        return membership.Change(kind, member)

    def _on_ledger(
        self, request: wrappers.Request, owner: ids.OwnerId
    ) -> wrappers.Response:
        key = ledger_client.ledger_key(
            ids.WorkspaceId(request.args.get("workspace", "")),
            request.args.get("key", ""),
        )
        claim = self._state.ledger.lookup(key)
        if claim is None:
            raise errors.RefusedError(
                errors.ErrorKind.NOT_FOUND, "this key was never claimed"
            )
        return _json(claim.to_json())


def _document(state: state_module.ControlState) -> schema.Document:
    accepted = state.document.accepted
    return formats.parse(accepted.format, accepted.text)


def _parse_edit(request: wrappers.Request, owner: ids.OwnerId) -> machine.Edit:
    try:
        raw = json_text.load(request.get_data())
        replacements = {
            _text(name): _text(body)
            for name, body in raw["replacements"].items()
        }
        return machine.Edit(
            edit_id=ids.EditId(_text(raw["edit_id"])),
            base_revision=ids.Revision(_int64(raw["base_revision"])),
            replacements=replacements,
            owner=owner,
            author=_text(raw.get("author", "")),
            at_unix_s=time.time(),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.RefusedError(
            errors.ErrorKind.BAD_REQUEST, f"not an edit: {error!r}"
        ) from None


def _int64(value: typing.Any) -> int:
    """Returns an integer that messages hold.

    Raises:
        ValueError: It is out of range, or no number.
        TypeError: It is of another type.
    """
    number = int(value)
    if not -(2**63) <= number < 2**63:
        raise ValueError("a number is out of range")
    return number


def _text(value: typing.Any) -> str:
    """Returns the value as a text that messages hold.

    Raises:
        ValueError: It has lone surrogates.
    """
    text = str(value)
    text.encode()
    return text


def _json(content: typing.Any, status: int = 200) -> wrappers.Response:
    return wrappers.Response(
        json.dumps(content), status=status, content_type="application/json"
    )
