"""The replicated state of a control process: the document and the ledger."""

import json

from cardamombarrow.document import machine as document_machine
from cardamombarrow.kernel import ids
from cardamombarrow.ledger import machine as ledger_machine
from cardamombarrow.log import base
from cardamombarrow.peers import codec
from cardamombarrow.peers import control_pb2

__all__ = ["ControlState"]


class ControlState(base.StateMachine):
    """Applies `control_pb2.Command` messages.

    Attributes:
        document: The accepted document.
        ledger: The claims of unrepeatable requests.
    """

    def __init__(self, first_text: str):
        self.document = document_machine.DocumentState(first_text)
        self.ledger = ledger_machine.LedgerState()

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies one command; see `base.StateMachine`."""
        message = control_pb2.Command.FromString(command)
        kind = message.WhichOneof("kind")
        return getattr(self, f"_apply_{kind}")(
            getattr(message, kind)
        ).SerializeToString()

    def _apply_edit(self, wire: control_pb2.EditCommand) -> control_pb2.Reply:
        answer = self.document.apply(codec.edit_from_wire(wire))
        return control_pb2.Reply(edit=codec.edit_answer_to_wire(answer))

    def _apply_claim(self, wire: control_pb2.ClaimCommand) -> control_pb2.Reply:
        verdict = self.ledger.claim(wire.key, codec.claim_from_wire(wire.claim))
        return control_pb2.Reply(claim=codec.verdict_to_wire(verdict))

    def _apply_settle(
        self, wire: control_pb2.SettleCommand
    ) -> control_pb2.Reply:
        settled = self.ledger.settle(
            wire.key,
            ids.RequestId(wire.attempt),
            codec.claim_from_wire(wire.outcome),
        )
        return control_pb2.Reply(
            settle=control_pb2.SettleReply(settled=settled)
        )

    def _apply_abandon(
        self, wire: control_pb2.AbandonCommand
    ) -> control_pb2.Reply:
        count = self.ledger.abandon(ids.InstanceId(wire.instance))
        return control_pb2.Reply(abandon=control_pb2.AbandonReply(count=count))

    def snapshot(self) -> bytes:
        """Returns document and ledger as JSON."""
        return json.dumps(
            {
                "document": self.document.to_json(),
                "ledger": self.ledger.to_json(),
            }
        ).encode()

    def restore(self, snapshot: bytes) -> None:
        """Replaces document and ledger."""
        raw = json.loads(snapshot)
        self.document = document_machine.DocumentState.from_json(
            raw["document"]
        )
        self.ledger = ledger_machine.LedgerState.from_json(raw["ledger"])
