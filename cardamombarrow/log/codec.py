"""Conversion between the core's messages and protobuf."""

import dataclasses
import typing

from cardamombarrow.log import membership as membership_module
from cardamombarrow.log import messages
from cardamombarrow.peers.log import log_pb2

__all__ = [
    "entry_from_wire",
    "entry_to_wire",
    "envelope_from_wire",
    "envelope_to_wire",
]

_VoterId = membership_module.VoterId

_WIRE_FIELDS: dict[type, str] = {
    messages.VoteRequest: "vote_request",
    messages.VoteReply: "vote_reply",
    messages.AppendRequest: "append_request",
    messages.AppendReply: "append_reply",
    messages.SnapshotChunk: "snapshot_chunk",
    messages.SnapshotReply: "snapshot_reply",
    messages.Forward: "forward",
    messages.JoinRequest: "join_request",
    messages.JoinReply: "join_reply",
}
_MESSAGE_TYPES = {name: cls for cls, name in _WIRE_FIELDS.items()}


def entry_to_wire(entry: messages.Entry) -> log_pb2.LogEntry:
    """Converts an entry to protobuf."""
    return log_pb2.LogEntry(
        index=entry.index,
        term=entry.term,
        kind=entry.kind.value,
        proposal=entry.proposal,
        data=entry.data,
    )


def entry_from_wire(wire: log_pb2.LogEntry) -> messages.Entry:
    """Converts an entry from protobuf."""
    return messages.Entry(
        wire.index,
        wire.term,
        messages.EntryKind(wire.kind),
        messages.ProposalId(wire.proposal),
        wire.data,
    )


def _proposal_to_wire(proposal: messages.Proposal) -> log_pb2.LogProposal:
    return log_pb2.LogProposal(
        proposal=proposal.proposal,
        kind=proposal.kind.value,
        data=proposal.data,
    )


def _proposal_from_wire(wire: log_pb2.LogProposal) -> messages.Proposal:
    return messages.Proposal(
        messages.ProposalId(wire.proposal),
        messages.EntryKind(wire.kind),
        wire.data,
    )


def _member_to_wire(member: membership_module.Member) -> log_pb2.LogMember:
    return log_pb2.LogMember(
        id=member.id, address=member.address, automatic=member.automatic
    )


def _member_from_wire(wire: log_pb2.LogMember) -> membership_module.Member:
    return membership_module.Member(
        _VoterId(wire.id), wire.address, wire.automatic
    )


def _convert_all(
    convert: typing.Callable[[typing.Any], typing.Any],
) -> typing.Callable[[typing.Any], tuple]:
    return lambda values: tuple(convert(value) for value in values)


# Converters of the fields whose types differ in protobuf, by field name.
_TO_WIRE: dict[str, typing.Callable[[typing.Any], typing.Any]] = {
    "entries": _convert_all(entry_to_wire),
    "proposals": _convert_all(_proposal_to_wire),
    "member": _member_to_wire,
    "membership": membership_module.Membership.encode,
}
_FROM_WIRE: dict[str, typing.Callable[[typing.Any], typing.Any]] = {
    "entries": _convert_all(entry_from_wire),
    "proposals": _convert_all(_proposal_from_wire),
    "member": _member_from_wire,
    "membership": membership_module.Membership.decode,
}
_FIELD_NAMES = {
    cls: tuple(field.name for field in dataclasses.fields(cls))
    for cls in _WIRE_FIELDS
}


def _identity(value: typing.Any) -> typing.Any:
    return value


def envelope_to_wire(envelope: messages.Envelope) -> log_pb2.LogEnvelope:
    """Converts an envelope to protobuf, without its `address`."""
    message = envelope.message
    values = {
        name: _TO_WIRE.get(name, _identity)(getattr(message, name))
        for name in _FIELD_NAMES[type(message)]
    }
    wire = log_pb2.LogEnvelope(
        source=envelope.source,
        target=envelope.target,
        hop=envelope.hop,
        relayed=envelope.relayed,
    )
    field = getattr(wire, _WIRE_FIELDS[type(message)])
    field.MergeFrom(type(field)(**values))
    field.SetInParent()
    return wire


def envelope_from_wire(wire: log_pb2.LogEnvelope) -> messages.Envelope:
    """Converts an envelope from protobuf.

    Raises:
        ValueError: It has no message of a type known to this version.
    """
    name = wire.WhichOneof("message")
    if name is None:
        raise ValueError("an envelope without a message")
    field = getattr(wire, name)
    cls = _MESSAGE_TYPES[name]
    message = cls(
        *(
            _FROM_WIRE.get(key, _identity)(getattr(field, key))
            for key in _FIELD_NAMES[cls]
        )
    )
    return messages.Envelope(
        _VoterId(wire.source),
        _VoterId(wire.target),
        _VoterId(wire.hop),
        wire.relayed,
        message,
    )
