"""Requests as the decisions see them."""

import dataclasses

from cardamombarrow.kernel import ids

__all__ = ["Job", "PromptPart"]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes:
        part: Its id; equal parts have equal ids.
        tokens: Its length in tokens.
    """

    part: str
    tokens: int


@dataclasses.dataclass(slots=True)
class Job:
    """One request, as the decisions see it.

    Attributes:
        rank: Rank of its tier; 0 is served first.
        arrived_s: When the entry had read the request.
        target_first_token_s: Target time to the first token, from arrival.
        deadline_s: Time after which an answer is of no use.
        prompt_tokens: Prompt length, estimated from the size of the body.
        max_tokens: Upper limit set by the caller; 0 means none.
        expected_tokens: Estimated length of the answer.
        prefix_key: Digest of the prompt's prefix, for cache affinity.
        parts: The parts of the prompt in order, if they are known; the last
            one belongs to the request or its session.
        unread_tokens: Prompt tokens that are not in the endpoint's cache and
            that it is expected to read; set when the job is placed.
        fingerprint: Digest that all repeats of the request have in common,
            for the quarantine.
        repeatable: False if the request may run at most once.
        attempts: How often the job has been placed so far.
        tried: Endpoints on which it failed.
        received: Whether an endpoint may have received an earlier attempt.
        may_have_run: Whether an earlier attempt may have run.
        runs: Number of attempts that may have run.
        max_runs: Maximum number of endpoints that may run it; 0 leaves it to
            the policy.
        first_token_s: When the first token of the present run arrived; None
            before that.
        streams: Whether tokens arrive one by one; otherwise the first byte
            of the answer arrives with its last.
        required_software: The only software version that may run it: the one
            that wrote the stream's first event. None for any.
    """

    request_id: ids.RequestId
    workspace: ids.WorkspaceId
    class_id: ids.ClassId
    service: ids.ServiceId
    model: ids.ModelId
    rank: int
    arrived_s: float
    target_first_token_s: float
    deadline_s: float
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: float = 0.0
    prefix_key: str = ""
    parts: tuple[PromptPart, ...] = ()
    unread_tokens: float = 0.0
    fingerprint: ids.Fingerprint | None = None
    repeatable: bool = True
    resumable: bool = False
    attempts: int = 0
    tried: tuple[ids.EndpointId, ...] = ()
    received: bool = False
    may_have_run: bool = False
    runs: int = 0
    max_runs: int = 0
    first_token_s: float | None = None
    streams: bool = True
    required_software: ids.SoftwareVersion | None = None

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts of its prompt that other requests may share."""
        return self.parts[:-1]

    def may_run_on(self, software: ids.SoftwareVersion) -> bool:
        """Returns whether a software version may run it."""
        return self.required_software in (None, software)
