"""The policy objects that the document selects, one for each slot."""

import dataclasses

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.document import schema
from cardamombarrow.kernel import registry

__all__ = ["POLICY_MODULES", "Policies"]

POLICY_MODULES = (
    "cardamombarrow.decisions.baselines",
    "cardamombarrow.decisions.choosing.choice",
    "cardamombarrow.decisions.choosing.first_event",
    "cardamombarrow.decisions.limiting.limits",
    "cardamombarrow.decisions.choosing.spill",
    "cardamombarrow.decisions.limiting.shares",
    "cardamombarrow.decisions.fleet.quarantine",
    "cardamombarrow.decisions.queueing.tiers",
    "cardamombarrow.decisions.queueing.admission",
    "cardamombarrow.decisions.queueing.retry",
    "cardamombarrow.decisions.queueing.preemption",
    "cardamombarrow.decisions.queueing.estimate",
)
"""Modules whose import registers the policies."""


class Policies:
    """The policies in force; a policy is rebuilt when its name changes."""

    queue: base.Queue
    admission: base.Admission
    limits: base.Limits
    choice: base.Choice
    shares: base.Shares
    retry: base.Retry
    quarantine: base.Quarantine
    spill: base.Spill
    preemption: base.PreemptionPolicy
    estimate: base.Estimate

    def __init__(self, context: context_module.PolicyContext):
        registry.load(*POLICY_MODULES)
        self._names = context.document.policies
        for field in dataclasses.fields(schema.Policies):
            self._build(field.name, context)

    def _build(self, slot: str, context: context_module.PolicyContext) -> None:
        cls = registry.lookup(slot, getattr(context.document.policies, slot))
        setattr(self, slot, cls(context))

    def configure(
        self, context: context_module.PolicyContext, now_s: float
    ) -> None:
        """Applies a newer document; a policy with a new name is rebuilt."""
        new = context.document.policies
        for field in dataclasses.fields(schema.Policies):
            slot = field.name
            if getattr(new, slot) == getattr(self._names, slot):
                getattr(self, slot).configure(context.document)
                continue
            waiting = list(self.queue.jobs()) if slot == "queue" else []
            self._build(slot, context)
            for job in waiting:
                self.queue.push(job, now_s)
        self._names = new
