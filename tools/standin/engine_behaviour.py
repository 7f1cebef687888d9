"""How a stand-in engine behaves."""

import dataclasses

__all__ = ["Behaviour"]


@dataclasses.dataclass
class Behaviour:
    """How the engine behaves; every field can be changed at run time.

    Attributes:
        slots: Requests in one batch; more wait by priority.
        token_s: Time between two tokens of one request.
        prefill_s_per_token: Time to the first token per prompt token.
        default_tokens: Length of an answer if the request sets none.
        report_lag_s: Age of the load report.
        stall_after_tokens: Token at which streams stall; 0 is never.
        cut_after_tokens: Token at which connections are closed; 0 is never.
        crash_marker: A body that contains it ends the process; empty is none.
        cut_at_start: Whether connections are closed before the first token.
        short_answer: Whether a JSON answer ends before its stated length.
        fail_status: Status of the answer to every completion; 0 is none.
        fail_plain_status: Status of the answers to plain calls; 0 is none.
        leaving: Whether the load report says that the engine leaves.
        resumable: Whether the header X-Resume-Offset resumes streams.
        rate_limit: Requests per second from all callers, a decimal number that
            every answer states; empty states none.
        pause: ``Retry-After`` of the 503 that answers every request; empty
            is none.
        departure: Whether every answer states that the engine leaves.
        waiting_room: Requests that may wait for a slot; more are rejected. -1
            is no bound.
        rejection_limit: Rejections a second, stated by every answer, above
            which the process ends; 0 is none.
        fail_share: Share of the requests that get `fail_status`.
        arrivals: File to which every request is appended; see
            `tools.arrivals`. Empty is none.
    """

    slots: int = 8
    token_s: float = 0.01
    prefill_s_per_token: float = 0.0
    default_tokens: int = 20
    report_lag_s: float = 0.5
    stall_after_tokens: int = 0
    cut_after_tokens: int = 0
    crash_marker: str = ""
    cut_at_start: bool = False
    short_answer: bool = False
    fail_status: int = 0
    fail_plain_status: int = 0
    leaving: bool = False
    resumable: bool = False
    rate_limit: str = ""
    pause: str = ""
    departure: bool = False
    waiting_room: int = -1
    rejection_limit: int = 0
    fail_share: float = 1.0
    arrivals: str = ""
