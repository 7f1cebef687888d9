"""When requests were last placed, by service and urgency."""

from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["StartTimes"]


class StartTimes:
    """The last placement of each service and tier.

    A request that is refused shortly after a less urgent one was placed
    indicates a check that ignores urgency.
    """

    def __init__(self):
        self._placed_s: dict[tuple[ids.ServiceId, ids.TierId], float] = {}

    def record(
        self, document: schema.Document, job: messages.Job, placed_s: float
    ) -> None:
        """Records a placement."""
        request_class = document.classes.get(job.class_id)
        if request_class is None:
            return
        key = (job.service, request_class.tier)
        self._placed_s[key] = max(self._placed_s.get(key, 0.0), placed_s)

    def less_urgent_age_s(
        self,
        document: schema.Document,
        service: ids.ServiceId,
        class_id: ids.ClassId,
        now_s: float,
    ) -> float | None:
        """Returns the time since a less urgent request was last placed.

        Args:
            document: The document in force.
            service: The service.
            class_id: Class of the more urgent request.
            now_s: The time.

        Returns:
            Seconds; None if none was placed, or the class is unknown.
        """
        if class_id not in document.classes:
            return None
        rank = document.tier_of(class_id).rank
        times = []
        for (placed_service, tier_id), placed_s in self._placed_s.items():
            tier = document.tiers.get(tier_id)
            if placed_service == service and tier and tier.rank > rank:
                times.append(placed_s)
        return now_s - max(times) if times else None
