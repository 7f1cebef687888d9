"""Conversion of accepted documents to the messages that carry them."""

from cardamombarrow.document import machine
from cardamombarrow.document import packing
from cardamombarrow.peers.control import control_pb2

__all__ = ["document_to_wire", "has_text", "set_text", "text_from_wire"]


def set_text(
    message: control_pb2.DocumentMessage,
    accepted: machine.AcceptedDocument,
    *,
    takes_packed: bool,
) -> None:
    """Sets the whole text, packed if the receiver reads it.

    Without a text, nothing is set: an empty text that is packed has bytes.
    """
    if takes_packed and accepted.text:
        message.packed_text = accepted.packed_text
    else:
        message.text = accepted.text


def document_to_wire(
    accepted: machine.AcceptedDocument, *, takes_packed: bool
) -> control_pb2.DocumentMessage:
    """Converts a document with its whole text."""
    message = control_pb2.DocumentMessage(
        revision=accepted.revision, format=accepted.format
    )
    set_text(message, accepted, takes_packed=takes_packed)
    return message


def has_text(message: control_pb2.DocumentMessage) -> bool:
    """Returns whether a message has the whole text."""
    return bool(message.text or message.packed_text)


def text_from_wire(message: control_pb2.DocumentMessage) -> str:
    """Returns the whole text; empty if the message has none.

    Raises:
        ValueError: The text can't be unpacked.
    """
    if message.packed_text:
        return packing.unpack(message.packed_text)
    return message.text
