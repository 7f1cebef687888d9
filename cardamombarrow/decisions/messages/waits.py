"""What a job waits for."""

from collections import abc
import dataclasses
import enum

__all__ = ["WaitCause", "WaitStage", "WaitState"]


class WaitStage(enum.Enum):
    """Where a job waits."""

    QUEUE = "queue"
    RETRY_DELAY = "retry_delay"
    PLACER = "placer"


class WaitCause(enum.Enum):
    """Why an endpoint gets a waiting job not now.

    Attributes:
        SLOT: It has no free slot for the job.
        PROBATION: It has failed, and the time of its next probe has not come.
        PREFILL: It has enough prompts to read, or another one is preferred.
        RATE_LIMIT: Its rate limit is used.
        REJECTION_LIMIT: It has rejected requests for want of room.
        RUNS_ALONE: The job, or the one that runs there, must run alone.
        PAUSE: It has asked for a pause.
        SOFTWARE: It runs another software version than the job needs.
        OTHER_DOMAIN: It is in another domain, which takes no such job now.
        TURN: It would take the job; others are served before.
    """

    SLOT = "slot"
    PROBATION = "probation"
    PREFILL = "prefill"
    RATE_LIMIT = "rate_limit"
    REJECTION_LIMIT = "rejection_limit"
    RUNS_ALONE = "runs_alone"
    PAUSE = "pause"
    SOFTWARE = "software"
    OTHER_DOMAIN = "other_domain"
    TURN = "turn"


@dataclasses.dataclass(frozen=True, slots=True)
class WaitState:
    """The state in which a job waits.

    Attributes:
        causes: Number of endpoints by the cause for which each does not get it;
            empty if another instance decides, or a retry is not due.
        jobs_ahead: Queued jobs that would be served before it.
        waiting: Jobs that wait in this instance.
    """

    stage: WaitStage
    causes: abc.Mapping[WaitCause, int]
    jobs_ahead: int
    waiting: int

    def fields(self) -> dict[str, object]:
        """Returns the fields of a log line."""
        return {
            "stage": self.stage.value,
            "waited_for": {
                cause.value: count for cause, count in self.causes.items()
            },
            "jobs_ahead": self.jobs_ahead,
            "waiting": self.waiting,
        }
