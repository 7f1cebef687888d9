"""Abstract base classes of the policies, one module for each plug-in slot.

A policy is built from a `context.PolicyContext`, registers itself with
``registry.plugin(<slot>, <name>)`` and is chosen by name in ``[policies]`` of
the document. All methods are called under the dispatcher's lock.
"""

from cardamombarrow.decisions.base import admission
from cardamombarrow.decisions.base import choice
from cardamombarrow.decisions.base import estimate
from cardamombarrow.decisions.base import free_slots
from cardamombarrow.decisions.base import limits
from cardamombarrow.decisions.base import policy
from cardamombarrow.decisions.base import preemption
from cardamombarrow.decisions.base import quarantine
from cardamombarrow.decisions.base import queue
from cardamombarrow.decisions.base import retry
from cardamombarrow.decisions.base import shares
from cardamombarrow.decisions.base import spill

__all__ = [
    "Admission",
    "Choice",
    "Estimate",
    "FreeSlots",
    "Limits",
    "Policy",
    "PreemptionPolicy",
    "Quarantine",
    "Queue",
    "Retry",
    "Shares",
    "Spill",
]

Admission = admission.Admission
Choice = choice.Choice
Estimate = estimate.Estimate
FreeSlots = free_slots.FreeSlots
Limits = limits.Limits
Policy = policy.Policy
PreemptionPolicy = preemption.PreemptionPolicy
Quarantine = quarantine.Quarantine
Queue = queue.Queue
Retry = retry.Retry
Shares = shares.Shares
Spill = spill.Spill
