"""For which services the overload controls are enabled.

Load pattern: prefill is short while slots are free, on endpoints that share
their machines with other work or after shared prefixes have become cold. The
controls order and hold requests that other deployments send at once, so they
are enabled only by the setting, or for a service whose endpoints report how
long work takes on their machines at the moment.
"""

from cardamombarrow.kernel import ids

__all__ = ["OverloadControl"]


class OverloadControl:
    """The services whose overload controls are enabled.

    Attributes:
        enabled: Whether they are enabled for all services.
    """

    def __init__(self, enabled: bool = False):
        self.enabled = enabled
        self._reporting: set[ids.ServiceId] = set()

    def record_work_time(self, service: ids.ServiceId) -> bool:
        """Records that an endpoint of a service has reported its work time.

        Returns:
            Whether that enables the controls for the service.
        """
        is_new = not self.is_enabled(service)
        self._reporting.add(service)
        return is_new

    def is_enabled(self, service: ids.ServiceId) -> bool:
        """Returns whether the controls are enabled for a service."""
        return self.enabled or service in self._reporting
