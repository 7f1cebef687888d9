"""What engines' caches hold of the prompt that is placed now.

`kept` knows parts and engines; this module asks it about one request and all
engines that it could go to: how much each would have to read, and where the
one that is chosen fetches the rest from (`fetching`).
"""

from collections import abc

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import fetching
from cardamombarrow.decisions import kept
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["HOME_SHARE", "Caches"]

HOME_SHARE = 0.5
"""Part of a shared beginning of which nobody has told that is reckoned to be
at its home: it lets the first requests of a beginning find each other."""

IsSound = abc.Callable[[ids.EndpointId], bool]


class Caches:
    """The engines' caches, seen from one request at a time."""

    def __init__(self):
        self.parts = kept.KeptParts()
        self._leading: dict[ids.EndpointId, int] = {}
        self._domains: dict[ids.EndpointId, ids.DomainId] = {}

    def prepare(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> None:
        """Takes the request that all else is about, and where it could go."""
        leading = self.parts.leading_tokens(job, now_s)
        self._domains = {state.endpoint: state.domain for state in states}
        self._leading = {
            endpoint: tokens
            for endpoint, tokens in leading.items()
            if endpoint in self._domains
        }

    def unread_tokens(
        self, job: messages.Job, endpoint: ids.EndpointId, is_home: bool
    ) -> float:
        """Returns what an engine would have to come by of a prompt."""
        kept_tokens = float(self._leading.get(endpoint, 0))
        if is_home:
            known = max(self._leading.values(), default=0)
            unknown = max(_shared_tokens(job) - known, 0)
            kept_tokens += HOME_SHARE * unknown
        return max(job.prompt_tokens - kept_tokens, 0.0)

    def fetch(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        home: ids.EndpointId | None,
        is_healthy: IsSound,
        now_s: float,
    ) -> messages.Fetch | None:
        """Returns where the engine that was chosen fetches from.

        Args:
            job: The request.
            state: The engine.
            home: Home of the prompt's beginning.
            is_healthy: Tells whether an engine has not failed of late. One that
                is silent would hold up whoever fetches from it.
            now_s: The time.
        """
        leading = self._leading
        kept_tokens = leading.get(state.endpoint, 0)
        keepers = dict(leading)
        if not leading and home is not None:
            # Nobody has told of it. What was sent to its home within the last
            # second or two may not have been told yet.
            keepers[home] = _shared_tokens(job)
        sources = [
            fetching.Source(
                tokens, self._domains.get(endpoint) == state.domain, endpoint
            )
            for endpoint, tokens in keepers.items()
            if endpoint != state.endpoint and is_healthy(endpoint)
        ]
        target_s = job.target_first_token_s
        source = fetching.source_for(kept_tokens, sources, target_s)
        if source is None:
            return None
        key = kept.part_key(job.parts[0].part)
        used_s = self.parts.used_s(key, source.endpoint)
        return messages.Fetch(
            source.endpoint,
            source.tokens - kept_tokens if leading else 0,
            None if used_s is None else now_s - used_s,
        )

    def sent(
        self, job: messages.Job, endpoint: ids.EndpointId, now_s: float
    ) -> None:
        """Learns that a request goes to an engine, which reads its prompt."""
        for key in _keys(job.parts):
            self.parts.note(key, endpoint, now_s)

    def read(
        self, job: messages.Job, endpoint: ids.EndpointId, now_s: float
    ) -> None:
        """Learns that an engine has read a prompt; the others are told."""
        for key in _keys(job.parts[:-1]):
            self.parts.tell(key, endpoint, now_s)

    def not_read(self, job: messages.Job, endpoint: ids.EndpointId) -> None:
        """Learns that an engine has seen nothing of a request sent to it."""
        for key in _keys(job.parts):
            self.parts.forget(key, endpoint)


def _shared_tokens(job: messages.Job) -> int:
    return sum(part.tokens for part in job.parts[:-1])


def _keys(parts: abc.Iterable[messages.PromptPart]) -> abc.Iterator[int]:
    return (kept.part_key(part.part) for part in parts)
