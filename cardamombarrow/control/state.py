"""The replicated state of the control processes."""

import json

from cardamombarrow.document import machine as document_machine
from cardamombarrow.document import packing
from cardamombarrow.duties import machine as duties_machine
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.ledger import machine as ledger_machine
from cardamombarrow.log import base
from cardamombarrow.orders import machine as orders_machine
from cardamombarrow.peers.control import codec
from cardamombarrow.peers.control import control_pb2

__all__ = ["NO_DOCUMENT", "ControlState"]

NO_DOCUMENT = ids.Revision(0)


class ControlState(base.StateMachine):
    """Applies `control_pb2.Command` messages.

    Attributes:
        document: The accepted document; its revision is 0 until the first
            one is committed.
        ledger: The claims of unrepeatable requests.
        orders: Which control process sends orders to engines.
        duties: Which control process calls the platform, and its usage
            reports.
    """

    def __init__(self):
        self.document = document_machine.DocumentState("", NO_DOCUMENT)
        self.ledger = ledger_machine.LedgerState()
        self.orders = orders_machine.HolderState()
        self.duties = duties_machine.DutiesState()

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies one command; see `base.StateMachine`."""
        message = control_pb2.Command.FromString(command)
        kind = message.WhichOneof("kind")
        if kind is None:
            # Proposed by a newer version during an upgrade. An exception here
            # would stop all older voters at this entry permanently.
            return codec.failure_to_wire(
                errors.UnavailableError(
                    errors.ErrorKind.INTERNAL, "a command of a newer version"
                )
            ).SerializeToString()
        return getattr(self, f"_apply_{kind}")(
            getattr(message, kind)
        ).SerializeToString()

    def _apply_found(self, wire: control_pb2.FoundCommand) -> control_pb2.Reply:
        """Sets the first document.

        It comes from the log and not from each process's own file: if the
        files differ, or an operator changes one later, the state machines
        would diverge.
        """
        founded = self.document.revision == NO_DOCUMENT
        if founded:
            self.document = document_machine.DocumentState(wire.text)
        return control_pb2.Reply(found=control_pb2.FoundReply(founded=founded))

    def _apply_edit(self, wire: control_pb2.EditCommand) -> control_pb2.Reply:
        answer = self.document.apply(codec.edit_from_wire(wire))
        return control_pb2.Reply(edit=codec.edit_answer_to_wire(answer))

    def _apply_edition(
        self, wire: control_pb2.EditionCommand
    ) -> control_pb2.Reply:
        try:
            edition = codec.edition_from_wire(wire)
        except ValueError as error:
            # An exception would stop all voters at this entry.
            return codec.failure_to_wire(
                errors.RefusedError(errors.ErrorKind.BAD_REQUEST, str(error))
            )
        answer = self.document.apply_edition(edition)
        return control_pb2.Reply(edition=codec.edition_answer_to_wire(answer))

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

    def _apply_take_orders(
        self, wire: control_pb2.TakeOrdersCommand
    ) -> control_pb2.Reply:
        holder = self.orders.take(ids.InstanceId(wire.instance))
        return _orders_reply(holder, current=True)

    def _apply_renew_orders(
        self, wire: control_pb2.RenewOrdersCommand
    ) -> control_pb2.Reply:
        requested = orders_machine.Holder(
            ids.InstanceId(wire.instance), wire.fencing
        )
        current = self.orders.renew(requested)
        return _orders_reply(self.orders.holder, current=current)

    def _apply_take_duties(
        self, wire: control_pb2.TakeDutiesCommand
    ) -> control_pb2.Reply:
        holder = self.duties.take(ids.InstanceId(wire.instance))
        return self._duties_reply(holder, current=True)

    def _apply_renew_duties(
        self, wire: control_pb2.RenewDutiesCommand
    ) -> control_pb2.Reply:
        requested = orders_machine.Holder(
            ids.InstanceId(wire.instance), wire.fencing
        )
        current = self.duties.renew(requested)
        return self._duties_reply(
            self.duties.holder_state.holder, current=current
        )

    def _duties_reply(
        self, holder: orders_machine.Holder, *, current: bool
    ) -> control_pb2.Reply:
        return control_pb2.Reply(
            duties=control_pb2.DutiesReply(
                instance=holder.instance,
                fencing=holder.fencing,
                current=current,
                before=self.duties.before,
            )
        )

    def _apply_commit_usage(
        self, wire: control_pb2.CommitUsageCommand
    ) -> control_pb2.Reply:
        counts = {
            ids.WorkspaceId(name): count for name, count in wire.counts.items()
        }
        holder = orders_machine.Holder(
            ids.InstanceId(wire.instance), wire.fencing
        )
        report = self.duties.commit(wire.window, counts, holder)
        return control_pb2.Reply(
            usage=control_pb2.UsageReply(
                window=wire.window,
                counts=report.counts if report else {},
                committed=report is not None,
            )
        )

    def _apply_settle_usage(
        self, wire: control_pb2.SettleUsageCommand
    ) -> control_pb2.Reply:
        self.duties.settle(wire.window)
        return control_pb2.Reply(
            usage=control_pb2.UsageReply(window=wire.window, committed=True)
        )

    def snapshot(self) -> bytes:
        """Returns the whole state as packed JSON."""
        text = json.dumps(
            {
                "document": self.document.to_json(),
                "ledger": self.ledger.to_json(),
                "orders": self.orders.to_json(),
                "duties": self.duties.to_json(),
            }
        )
        return packing.pack(text)

    def restore(self, snapshot: bytes) -> None:
        """Replaces the whole state by a snapshot, packed or not."""
        plain = snapshot.startswith(b"{")
        raw = json.loads(
            # The snapshot comes from this process or another member. With a
            # size limit, one that has grown beyond it could not be restored.
            snapshot if plain else packing.unpack(snapshot, max_bytes=0)
        )
        self.document = document_machine.DocumentState.from_json(
            raw["document"]
        )
        self.ledger = ledger_machine.LedgerState.from_json(raw["ledger"])
        self.orders = orders_machine.HolderState.from_json(raw["orders"])
        # Snapshots of versions without duties lack this key.
        if "duties" in raw:
            self.duties = duties_machine.DutiesState.from_json(raw["duties"])


def _orders_reply(
    holder: orders_machine.Holder, *, current: bool
) -> control_pb2.Reply:
    return control_pb2.Reply(
        orders=control_pb2.OrdersReply(
            instance=holder.instance, fencing=holder.fencing, current=current
        )
    )
