"""How far one request has come: times, tokens, and what is metered of it."""

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import clock
from cardamombarrow.metering import meter as meter_module

__all__ = ["Progress"]


class Progress:
    """Times since a request's arrival; used by the thread that serves it.

    Attributes:
        tokens: Tokens relayed so far, over all runs.
        first_token_s: Time to the first piece of the answer; None before it.
        longest_pause_s: Longest time between two pieces.
    """

    def __init__(
        self,
        job: messages.Job,
        time_source: clock.Clock,
        meter: meter_module.Meter,
    ):
        self.tokens = 0
        self.first_token_s: float | None = None
        self.longest_pause_s = 0.0
        self._job = job
        self._clock = time_source
        self._meter = meter
        self._counted = False
        self._sent_s = 0.0
        self._last_piece_s: float | None = None

    @property
    def age_s(self) -> float:
        """Time since the request arrived."""
        return self._clock.now_s() - self._job.arrived_s

    def sent(self) -> None:
        """Notes that the request goes to an endpoint now."""
        self._sent_s = self.age_s

    def began(self) -> None:
        """Meters the request as one that has begun to run, once."""
        if not self._counted:
            self._counted = True
            self._meter.count_request(self._job.workspace)

    def first_piece(self, job: messages.Job) -> None:
        """Notes the first piece of the answer.

        Args:
            job: The request as it was placed.
        """
        self.first_token_s = self.age_s
        if job.streams:
            self.began()
            after_s = self.first_token_s - self._sent_s
            self._meter.count_prefill(job.service, job.unread_tokens, after_s)

    def piece(self) -> None:
        """Keeps the longest time between two pieces of the answer."""
        age_s = self.age_s
        if self._last_piece_s is not None:
            pause_s = age_s - self._last_piece_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_piece_s = age_s
