"""Many requests for few long prefixes on cold engines, in virtual time.

All engines are cold at the start; half of them are replaced later, and one
crashes. Each request that comes during the first prefill of its prefix has the
prefix prefilled again, on the same engine or elsewhere: half of the tokens of
shared parts that are prefilled, while prefill is the bottleneck.
"""

import functools

import pytest

from benchmarks import cold_prefixes
from benchmarks import many_entries
from cardamombarrow.decisions import messages

SEEDS = (0, 1, 2)
ENGINES = (6, 10, 13)


@functools.cache
def _results(engines, overload):
    return [
        cold_prefixes.ColdPrefixesDriver(
            cold_prefixes.scenario(seed, engines, overload), seed
        ).run()
        for seed in SEEDS
    ]


def _repeated_tokens(engines, overload):
    results = _results(engines, overload)
    return sum(each.repeated_prefill_tokens for each in results)


def _share(engines, overload, class_id):
    rows = [each.classes[class_id] for each in _results(engines, overload)]
    return sum(r.attained for r in rows) / sum(r.offered for r in rows)


@pytest.mark.parametrize("engines", ENGINES)
def test_prefixes_are_rarely_prefilled_twice(engines):
    before = _repeated_tokens(engines, overload=False)
    assert before > 500_000
    assert _repeated_tokens(engines, overload=True) <= before / 3


@pytest.mark.parametrize("engines", ENGINES)
@pytest.mark.parametrize("kind", many_entries.KINDS, ids=lambda k: k.class_id)
def test_no_class_has_fewer_answers_in_time(kind, engines):
    before = _share(engines, False, kind.class_id)
    assert _share(engines, True, kind.class_id) >= before


class _FailingDriver(cold_prefixes.ColdPrefixesDriver):
    """Fails the prefill of the most popular prefix while others wait for it.

    Attributes:
        failed_s: When the first such prefill failed.
        held: Requests that waited for it.
        waits_s: How long requests waited, of those that were placed.
    """

    def __init__(self, scenario, seed, failure):
        super().__init__(scenario, seed)
        self._failure = failure
        self._lost = None
        self.failed_s = None
        self.held = []
        self.waits_s = {}

    def _placed(self, flight, placement):
        super()._placed(flight, placement)
        job = flight.job
        self.waits_s[job.request_id] = self._now_s - job.arrived_s
        if self._lost is None and flight.work.prefix_key == "digest-0":
            self._lost = job.request_id
            self._at(self._now_s + 0.15, lambda: self._fail_prefill(flight))

    def _fail_prefill(self, flight):
        self.failed_s = self._now_s
        self.held = self.placer._waiting.held_jobs()
        if self._failure == "crash":
            self._crash(flight.endpoint)
        elif self._failure == "cancel":
            self._engines[flight.endpoint].cancel(flight.job.request_id)
            self._end(flight, messages.Outcome.CALLER_GONE)

    def _retry(self, flight, outcome):
        if outcome is messages.Outcome.CALLER_GONE:
            return False
        return super()._retry(flight, outcome)

    def _first_token(self, flight):
        is_lost = flight.job.request_id == self._lost
        if is_lost and self._failure == "lost":
            # Neither the first token nor the end reaches the placer.
            flight.delivered = True
            return
        super()._first_token(flight)

    def _end(self, flight, outcome):
        is_lost = flight.job.request_id == self._lost
        if is_lost and self._failure == "lost":
            placer, self._placer = self._placer, None
            super()._end(flight, outcome)
            self._placer = placer
            return
        super()._end(flight, outcome)


@pytest.mark.parametrize("failure", ["cancel", "crash", "lost"])
@pytest.mark.parametrize("seed", SEEDS)
def test_failed_prefill_strands_nobody(failure, seed):
    # The request whose prefill others wait for is cancelled, its engine
    # crashes, or its end is never reported.
    scenario = cold_prefixes.scenario(seed)
    driver = _FailingDriver(scenario, seed, failure)
    driver.run()
    waited = [job for job in driver.held if job.prefix_key == "digest-0"]
    assert waited
    for job in waited:
        placed_s = job.arrived_s + driver.waits_s[job.request_id]
        prompt_s = job.prompt_tokens * 0.00002
        latest_s = job.arrived_s + job.target_first_token_s - prompt_s
        assert placed_s < latest_s + 0.05
    if failure != "lost":
        # They are rechecked at once; the first one is placed, and the others
        # wait for it.
        first = min(
            job.arrived_s + driver.waits_s[job.request_id] for job in waited
        )
        assert first < driver.failed_s + 0.01
    choice = driver.placer._policies.choice
    assert len(choice._prefix_reads) <= (failure == "lost")
    assert not driver.placer._waiting.held_jobs()
