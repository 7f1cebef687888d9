"""Who may call the platform now: the holder's side of the log.

The process that leads the log takes the duties. It calls only right after a
majority has confirmed that it is still the holder, by a clock that counts the
time for which the machine was suspended. A new holder leaves the one before it
the time of a lease: the two can't ask each other.
"""

from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.log import base as log_base
from cardamombarrow.orders import machine
from cardamombarrow.peers import committing
from cardamombarrow.peers import control_pb2

__all__ = ["Holding"]

CONFIRMED_SHARE = 0.25
"""Part of a lease for which one confirmation is relied on."""


class Holding:
    """This process's hold on the duties; used by one thread."""

    def __init__(
        self,
        log: log_base.Log,
        instance: ids.InstanceId,
        lease_s: float,
        boot_clock: clock.Clock,
    ):
        self._log = log
        self._instance = instance
        self._lease_s = lease_s
        self._clock = boot_clock
        self._holder: machine.Holder | None = None
        self._from_s = 0.0
        self._confirmed_s = float("-inf")

    @property
    def holder(self) -> machine.Holder | None:
        """What this process holds under; None where it doesn't."""
        return self._holder

    def leads(self) -> bool:
        """Tells whether this process leads the log, or lets the duties go."""
        status = self._log.status()
        leads = status.leader == status.voter and status.has_quorum
        if not leads and self._holder is not None:
            self.release("it does not lead the log")
        return leads

    def release(self, reason: str) -> None:
        """Stops holding; a token that was held is not used again."""
        logs.event(
            "duties let go",
            "WARNING",
            fencing=self._holder and self._holder.fencing,
            reason=reason,
        )
        self._holder = None

    def take(self) -> machine.Holder:
        """Takes the duties under a new token.

        Raises:
            errors.RouterError: There is no quorum.
        """
        asked_s = self._clock.now_s()
        reply = committing.commit(
            self._log,
            control_pb2.Command(
                take_duties=control_pb2.TakeDutiesCommand(
                    instance=self._instance
                )
            ),
        ).duties
        if self._holder is None:
            other = reply.before not in ("", self._instance)
            pause_s = self._lease_s if other else 0.0
            self._from_s = self._clock.now_s() + pause_s
        self._holder = machine.Holder(self._instance, reply.fencing)
        self._confirmed_s = asked_s
        logs.event(
            "duties taken", fencing=reply.fencing, holder_before=reply.before
        )
        return self._holder

    def may_call(self) -> bool:
        """Tells whether a call may be made now; may ask the log.

        Raises:
            errors.RouterError: There is no quorum.
        """
        if self._holder is None or self._clock.now_s() < self._from_s:
            return False
        if not self._is_confirmed():
            asked_s = self._clock.now_s()
            reply = committing.commit(
                self._log,
                control_pb2.Command(
                    renew_duties=control_pb2.RenewDutiesCommand(
                        instance=self._instance,
                        fencing=self._holder.fencing,
                    )
                ),
            ).duties
            if not reply.current:
                self.release(f"{reply.instance} holds {reply.fencing}")
                return False
            self._confirmed_s = asked_s
        return self._is_confirmed()

    def _is_confirmed(self) -> bool:
        past_s = self._clock.now_s() - self._confirmed_s
        return past_s <= CONFIRMED_SHARE * self._lease_s

    def refused(self) -> bool:
        """Looks who holds after a call was refused.

        Returns:
            Whether this process still holds: the refusal had another reason.

        Raises:
            errors.RouterError: There is no quorum.
        """
        self._confirmed_s = float("-inf")
        return self.may_call()
