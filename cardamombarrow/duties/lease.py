"""The lease under which one control process may call the platform.

The leader of the log takes the duties. It calls the platform only shortly after
a majority has confirmed that it is still the holder, measured on a clock that
includes the time in which the machine was suspended. A new holder waits for the
length of a lease before its first call, because it can't ask the previous
holder whether it has stopped.
"""

from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.log import base as log_base
from cardamombarrow.orders import machine
from cardamombarrow.peers.control import committing
from cardamombarrow.peers.control import control_pb2

__all__ = ["DutiesLease"]

CONFIRMED_SHARE = 0.25
"""Part of a lease for which one confirmation is valid."""


class DutiesLease:
    """This process's lease of the duties; used by one thread."""

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
        self._valid_from_s = 0.0
        self._confirmed_s = float("-inf")

    @property
    def holder(self) -> machine.Holder | None:
        """This process and its fencing token; None if it is not the holder."""
        return self._holder

    def check_leadership(self) -> bool:
        """Returns whether this process leads the log; releases if not."""
        status = self._log.status()
        check_leadership = status.leader == status.voter and status.has_quorum
        if not check_leadership and self._holder is not None:
            self.release("no longer leader of the log")
        return check_leadership

    def release(self, reason: str) -> None:
        """Gives up the duties; the token is not used again."""
        logs.event(
            "duties released",
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
        requested_s = self._clock.now_s()
        reply = committing.commit(
            self._log,
            control_pb2.Command(
                take_duties=control_pb2.TakeDutiesCommand(
                    instance=self._instance
                )
            ),
        ).duties
        if self._holder is None:
            replaces_other = reply.before not in ("", self._instance)
            wait_s = self._lease_s if replaces_other else 0.0
            self._valid_from_s = self._clock.now_s() + wait_s
        self._holder = machine.Holder(self._instance, reply.fencing)
        self._confirmed_s = requested_s
        logs.event(
            "duties taken", fencing=reply.fencing, holder_before=reply.before
        )
        return self._holder

    def may_call(self) -> bool:
        """Returns whether a call may be made now; renews through the log.

        Raises:
            errors.RouterError: There is no quorum.
        """
        if self._holder is None or self._clock.now_s() < self._valid_from_s:
            return False
        if not self._is_confirmed():
            requested_s = self._clock.now_s()
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
                self.release(f"{reply.instance} holds token {reply.fencing}")
                return False
            self._confirmed_s = requested_s
        return self._is_confirmed()

    def _is_confirmed(self) -> bool:
        age_s = self._clock.now_s() - self._confirmed_s
        return age_s <= CONFIRMED_SHARE * self._lease_s

    def confirm_after_refusal(self) -> bool:
        """Checks through the log who the holder is after a refused call.

        Returns:
            Whether this process is still the holder, so that the refusal had
            another reason.

        Raises:
            errors.RouterError: There is no quorum.
        """
        self._confirmed_s = float("-inf")
        return self.may_call()
