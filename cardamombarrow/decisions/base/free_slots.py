"""The base class of the free slots that a queue is shown."""

import abc
from collections import abc as collections_abc

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.limiting import capacity as capacity_module
from cardamombarrow.kernel import ids

__all__ = ["FreeSlots"]


class FreeSlots(abc.ABC):
    """The slots on which a queued job could run now."""

    @abc.abstractmethod
    def candidates(
        self, job: messages.Job
    ) -> list[endpoint_module.EndpointState]:
        """Returns endpoints with a slot that the job may take."""

    def is_late(self, job: messages.Job) -> bool:
        """Returns whether a job can no longer meet its target."""
        return False

    def orders_late_jobs(self, service: ids.ServiceId) -> bool:
        """Returns whether late jobs of a service go behind the others."""
        return False

    def services(self) -> collections_abc.Iterable[ids.ServiceId] | None:
        """Returns the services with changes; None means all services."""
        return None

    def capacity(self, service: ids.ServiceId) -> capacity_module.Capacity:
        """Returns this instance's slots of a service and their use."""
        raise NotImplementedError
