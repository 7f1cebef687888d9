"""Input and output messages of the scheduling decisions.

`jobs`, `endpoints`, `peers` and `suspects` are inputs; `decision` has what is
decided on a request. `runs`, `backlog` and `waits` describe running and waiting
work.
All names are reached through this package.
"""

from cardamombarrow.decisions.messages import backlog
from cardamombarrow.decisions.messages import decision
from cardamombarrow.decisions.messages import endpoints
from cardamombarrow.decisions.messages import jobs
from cardamombarrow.decisions.messages import peers
from cardamombarrow.decisions.messages import runs
from cardamombarrow.decisions.messages import suspects
from cardamombarrow.decisions.messages import waits

__all__ = [
    "NO_STATEMENT",
    "Backlog",
    "CacheAnnouncement",
    "Decision",
    "EndpointSpeed",
    "EndpointStatement",
    "Fetch",
    "Job",
    "KnownEndpoint",
    "LoadReport",
    "Outcome",
    "PeerDemand",
    "PeerLoad",
    "Placement",
    "Preemption",
    "PromptPart",
    "RateLimit",
    "Refusal",
    "RejectionLimit",
    "RejectionPause",
    "RetryUse",
    "Running",
    "SuspectCounts",
    "SuspectReport",
    "WaitCause",
    "WaitStage",
    "WaitState",
]

Backlog = backlog.Backlog
Decision = decision.Decision
Fetch = decision.Fetch
Placement = decision.Placement
Preemption = decision.Preemption
Refusal = decision.Refusal
EndpointSpeed = endpoints.EndpointSpeed
EndpointStatement = endpoints.EndpointStatement
KnownEndpoint = endpoints.KnownEndpoint
LoadReport = endpoints.LoadReport
NO_STATEMENT = endpoints.NO_STATEMENT
RateLimit = endpoints.RateLimit
RejectionLimit = endpoints.RejectionLimit
RejectionPause = endpoints.RejectionPause
Job = jobs.Job
PromptPart = jobs.PromptPart
CacheAnnouncement = peers.CacheAnnouncement
PeerDemand = peers.PeerDemand
PeerLoad = peers.PeerLoad
Outcome = runs.Outcome
RetryUse = runs.RetryUse
Running = runs.Running
SuspectCounts = suspects.SuspectCounts
SuspectReport = suspects.SuspectReport
WaitCause = waits.WaitCause
WaitStage = waits.WaitStage
WaitState = waits.WaitState
