"""Which requests servers preempt by the priorities that they are told."""

import dataclasses
import random

import pytest

from cardamombarrow.document import from_routes
from cardamombarrow.platform import servers

_SEEDS = range(50)
_STEPS = 400
_MEMORY_TOKENS = 60


@dataclasses.dataclass
class _Request:
    """A running request; a lower route rank is more urgent."""

    workspace_rank: int
    route_rank: int
    priority: int
    number: int
    tokens: int


class _Server:
    """A server that runs out of memory, as the platform's protocol has it.

    Attributes:
        inversions: Requests preempted while one of a less urgent route ran on.
    """

    def __init__(self):
        self._running = []
        self.preempted = 0
        self.inversions = 0

    def start(self, request):
        self._running.append(request)
        self._free_memory()

    def generate(self):
        """Generates a token for each request; the oldest one ends."""
        for request in self._running:
            request.tokens += 1
        self._free_memory()
        if len(self._running) > 4:
            self._running.pop(0)

    def _free_memory(self):
        while sum(each.tokens for each in self._running) > _MEMORY_TOKENS:
            victim = max(
                self._running, key=lambda each: (each.priority, each.number)
            )
            self._running.remove(victim)
            self.preempted += 1
            self.inversions += any(
                each.route_rank > victim.route_rank for each in self._running
            )


@pytest.mark.parametrize("route_ranks", [3, 5, 10])
@pytest.mark.parametrize("workspace_ranks", [1, 3, 10])
@pytest.mark.parametrize("seed", _SEEDS)
def test_no_request_is_preempted_while_one_of_a_less_urgent_route_runs_on(
    route_ranks, workspace_ranks, seed
):
    # Guards against an urgent answer that is cut while a less urgent one runs.
    rng = random.Random(seed)
    server = _Server()
    for number in range(_STEPS):
        workspace_rank = rng.randrange(workspace_ranks)
        route_rank = rng.randrange(route_ranks)
        rank = from_routes.combined_rank((route_rank, workspace_rank))
        priority = servers._priority(rank)
        assert 0 <= priority <= 9
        tokens = rng.randrange(1, 20)
        server.start(
            _Request(workspace_rank, route_rank, priority, number, tokens)
        )
        server.generate()
    assert server.preempted
    assert server.inversions == 0
