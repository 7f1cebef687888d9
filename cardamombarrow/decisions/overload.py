"""Which controls for heavy load are enabled, and for which services.

Load patterns: callers who compete for too little prefill capacity, and
endpoints of unequal speed that share their machines with other work. The
controls order requests that other deployments send at once, so each is enabled
only where it is needed:

- the ordering by prefill (`choosing.prefill_bound`, `queueing.lateness`,
  `queueing.prefill_forecast`) by a setting;
- the speed of each endpoint (`choosing.endpoint_speed`) by another setting, or,
  by a third one, for a service whose endpoints report how long work takes on
  their machines.
"""

from cardamombarrow.kernel import ids

__all__ = ["OverloadControl"]


class OverloadControl:
    """The controls that are enabled.

    Attributes:
        orders_by_prefill: Whether requests are ordered and refused by the
            prefill ahead of them.
    """

    def __init__(
        self,
        orders_by_prefill: bool = False,
        learns_speeds: bool = False,
        enabled_by_reports: bool = True,
    ):
        self.orders_by_prefill = orders_by_prefill
        self._enabled_by_reports = enabled_by_reports
        self._learns_speeds = learns_speeds
        self._reporting: set[ids.ServiceId] = set()

    def record_work_time(self, service: ids.ServiceId) -> None:
        """Records that an endpoint of a service has reported its work time."""
        if self._enabled_by_reports:
            self._reporting.add(service)

    def learns_speeds(self, service: ids.ServiceId) -> bool:
        """Returns whether the speed of each endpoint of a service is used."""
        return self._learns_speeds or service in self._reporting
