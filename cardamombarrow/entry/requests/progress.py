"""Progress of one request: times, tokens and metering."""

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import clock
from cardamombarrow.metering import meter as meter_module

__all__ = ["Progress"]


class Progress:
    """Times since a request's arrival; used by the thread that serves it.

    Attributes:
        tokens: Tokens relayed so far, in all runs.
        first_token_s: Time to the first piece of the answer, in seconds; None
            before it.
        longest_pause_s: Longest time between two pieces, in seconds.
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
        """Time since the request arrived, in seconds."""
        return self._clock.now_s() - self._job.arrived_s

    @property
    def run_s(self) -> float:
        """Time since the request was last sent, in seconds."""
        return self.age_s - self._sent_s

    @property
    def relayed_s(self) -> float:
        """Time since the first piece of the answer, in seconds."""
        if self.first_token_s is None:
            return 0.0
        return self.age_s - self.first_token_s

    def record_sent(self) -> None:
        """Records that the request is now sent to an endpoint."""
        self._sent_s = self.age_s

    def began(self) -> None:
        """Meters the request as started; only the first call counts."""
        if not self._counted:
            self._counted = True
            self._meter.count_request(self._job.workspace)

    def first_piece(self, job: messages.Job) -> None:
        """Records the first piece of the answer.

        Args:
            job: The placed request.
        """
        self.first_token_s = self.age_s
        if job.streams:
            self.began()
            after_s = self.first_token_s - self._sent_s
            self._meter.count_prefill(job.service, job.unread_tokens, after_s)

    def add_piece(self) -> None:
        """Records a piece of the answer and updates the longest pause."""
        age_s = self.age_s
        if self._last_piece_s is not None:
            pause_s = age_s - self._last_piece_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_piece_s = age_s
