"""Conversion between the messages of the state machines and protobuf."""

from cardamombarrow.document import machine as document_machine
from cardamombarrow.document import packing
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.ledger import machine as ledger_machine
from cardamombarrow.peers.control import control_pb2

__all__ = [
    "claim_from_wire",
    "claim_to_wire",
    "edit_answer_from_wire",
    "edit_answer_to_wire",
    "edit_from_wire",
    "edit_to_wire",
    "edition_answer_from_wire",
    "edition_answer_to_wire",
    "edition_from_wire",
    "edition_to_wire",
    "failure_to_wire",
    "raise_failure",
    "verdict_from_wire",
    "verdict_to_wire",
]


def edit_to_wire(edit: document_machine.Edit) -> control_pb2.EditCommand:
    """Converts an edit."""
    return control_pb2.EditCommand(
        edit_id=edit.edit_id,
        base_revision=edit.base_revision,
        replacements=edit.replacements,
        owner=edit.owner,
        author=edit.author,
        at_unix_s=edit.at_unix_s,
    )


def edit_from_wire(wire: control_pb2.EditCommand) -> document_machine.Edit:
    """Converts an edit back."""
    return document_machine.Edit(
        edit_id=ids.EditId(wire.edit_id),
        base_revision=ids.Revision(wire.base_revision),
        replacements=dict(wire.replacements),
        owner=ids.OwnerId(wire.owner),
        author=wire.author,
        at_unix_s=wire.at_unix_s,
    )


def edit_answer_to_wire(
    answer: document_machine.EditAnswer,
) -> control_pb2.EditReply:
    """Converts the answer to an edit."""
    return control_pb2.EditReply(**answer.to_json())


def edit_answer_from_wire(
    wire: control_pb2.EditReply,
) -> document_machine.EditAnswer:
    """Converts the answer to an edit back."""
    return document_machine.EditAnswer(
        status=document_machine.EditStatus(wire.status),
        revision=ids.Revision(wire.revision),
        mistakes=tuple(wire.mistakes),
        conflicts=dict(wire.conflicts),
    )


def edition_to_wire(
    edition: document_machine.Edition,
) -> control_pb2.EditionCommand:
    """Converts an edition."""
    return control_pb2.EditionCommand(
        number=edition.number,
        format=edition.format,
        packed_text=packing.pack(edition.text),
    )


def edition_from_wire(
    wire: control_pb2.EditionCommand,
) -> document_machine.Edition:
    """Converts an edition back.

    Raises:
        ValueError: The text can't be unpacked.
    """
    text = wire.text
    if wire.packed_text:
        text = packing.unpack(wire.packed_text)
    return document_machine.Edition(wire.number, text, wire.format)


def edition_answer_to_wire(
    answer: document_machine.EditionAnswer,
) -> control_pb2.EditionReply:
    """Converts the answer to an edition."""
    return control_pb2.EditionReply(
        status=answer.status.value,
        revision=answer.revision,
        number=answer.number,
        mistakes=answer.mistakes,
    )


def edition_answer_from_wire(
    wire: control_pb2.EditionReply,
) -> document_machine.EditionAnswer:
    """Converts the answer to an edition back."""
    return document_machine.EditionAnswer(
        document_machine.EditionStatus(wire.status),
        ids.Revision(wire.revision),
        wire.number if wire.HasField("number") else None,
        tuple(wire.mistakes),
    )


def claim_to_wire(claim: ledger_machine.Claim) -> control_pb2.ClaimRecord:
    """Converts a claim."""
    return control_pb2.ClaimRecord(
        body_sha256=claim.body_sha256,
        instance=claim.instance,
        attempt=claim.attempt,
        at_unix_s=claim.at_unix_s,
        deadline_unix_s=claim.deadline_unix_s,
        state=claim.state.value,
        status=claim.status,
        content_type=claim.content_type,
        answer=claim.answer,
    )


def claim_from_wire(wire: control_pb2.ClaimRecord) -> ledger_machine.Claim:
    """Converts a claim back."""
    return ledger_machine.Claim(
        body_sha256=wire.body_sha256,
        instance=ids.InstanceId(wire.instance),
        attempt=ids.RequestId(wire.attempt),
        at_unix_s=wire.at_unix_s,
        deadline_unix_s=wire.deadline_unix_s,
        state=ledger_machine.ClaimState(wire.state),
        status=wire.status,
        content_type=wire.content_type,
        answer=wire.answer,
    )


def verdict_to_wire(verdict: ledger_machine.Verdict) -> control_pb2.ClaimReply:
    """Converts the verdict on a claim."""
    wire = control_pb2.ClaimReply(verdict=verdict.kind.value)
    if verdict.claim is not None:
        wire.claim.CopyFrom(claim_to_wire(verdict.claim))
    return wire


def verdict_from_wire(wire: control_pb2.ClaimReply) -> ledger_machine.Verdict:
    """Converts the verdict on a claim back."""
    claim = claim_from_wire(wire.claim) if wire.HasField("claim") else None
    return ledger_machine.Verdict(
        ledger_machine.VerdictKind(wire.verdict), claim
    )


def failure_to_wire(error: errors.RouterError) -> control_pb2.Reply:
    """Converts an error into a reply."""
    return control_pb2.Reply(
        failure=control_pb2.FailureReply(
            error_kind=error.kind.value, detail=error.detail
        )
    )


def raise_failure(reply: control_pb2.Reply) -> control_pb2.Reply:
    """Returns a reply, or raises the error that it contains.

    Raises:
        errors.UnavailableError: The reply is a failure.
    """
    if reply.WhichOneof("kind") == "failure":
        raise errors.UnavailableError(
            errors.ErrorKind(reply.failure.error_kind), reply.failure.detail
        )
    return reply
