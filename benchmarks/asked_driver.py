"""The driver with a placer: the entries ask one dispatcher for the domain.

What an entry does when the placer is dark is what `entry.broker` does: it
decides by itself, and tells what runs once the placer is back.
"""

import dataclasses
import random

from benchmarks import driver
from benchmarks import scenarios
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["AskedDriver", "make"]

ANSWER_S = 0.05
"""Longest wait for an answer, as `peers.placing_client` has it."""


def make(scenario: scenarios.Scenario, seed: int) -> driver.Driver:
    """Returns the driver that a scenario asks for."""
    cls = AskedDriver if scenario.asked else driver.Driver
    return cls(scenario, seed)


class AskedDriver(driver.Driver):
    """One run of one scenario in which a placer is asked."""

    def __init__(self, scenario: scenarios.Scenario, seed: int):
        super().__init__(scenario, seed)
        self._seed = seed
        self._placer: core.Dispatcher | None = self._new_placer()
        self._at(scenario.placer_lost_from_s, self._lose_placer)
        self._at(scenario.placer_lost_until_s, self._regain_placer)
        self._every(driver.TICK_S, self._tick_placer)

    def _new_placer(self) -> core.Dispatcher:
        context = context_module.PolicyContext(
            self._scenario.document,
            ids.InstanceId("entry-0"),
            driver.DOMAIN,
            random.Random(self._seed * 1_000 - 1),
            whole_domain=True,
        )
        return core.Dispatcher(context, self._now_s)

    def _lose_placer(self) -> None:
        self._placer = None
        for flight in list(self._flights.values()):
            self._at(self._now_s + ANSWER_S, lambda f=flight: self._here(f))

    def _here(self, flight: driver.Flight) -> None:
        entry = self._entries[flight.entry]
        if entry.queue_locally(flight.job.request_id, self._now_s):
            self._pump(flight.entry)

    def _regain_placer(self) -> None:
        self._placer = self._new_placer()
        for entry in self._entries:
            for running in entry.runs():
                self._placer.add_remote_run(
                    dataclasses.replace(running.job),
                    running.endpoint,
                    running.placed_s,
                    running.first_token_s is not None,
                    self._now_s,
                )

    def _tick_placer(self) -> None:
        if self._placer is not None:
            self._placer.refresh_shares(self._now_s)
            self._pump_placer()

    # -- questions and answers -----------------------------------------------

    def _offer(self, flight: driver.Flight) -> messages.Refusal | None:
        entry = self._entries[flight.entry]
        if self._placer is None:
            return entry.offer(flight.job, self._now_s)
        refusal = entry.await_remote_placement(flight.job, self._now_s)
        if refusal is None:
            self._ask(flight)
        return refusal

    def _retry(self, flight: driver.Flight, outcome: messages.Outcome) -> bool:
        entry = self._entries[flight.entry]
        asks = self._placer is not None
        again = entry.retry(flight.job, outcome, self._now_s, asks)
        if again and entry.awaits_remote_placement(flight.job.request_id):
            self._ask(flight)
        return again

    def _ask(self, flight: driver.Flight) -> None:
        job = dataclasses.replace(flight.job)
        self._at(
            self._now_s + driver.LINK_S, lambda: self._question(flight, job)
        )

    def _question(self, flight: driver.Flight, job: messages.Job) -> None:
        if self._placer is None:
            self._here(flight)
            return
        refusal = self._placer.offer(job, self._now_s)
        if refusal is not None:
            self._at(
                self._now_s + driver.LINK_S,
                lambda: self._refused_there(flight, refusal),
            )
        self._pump_placer()

    def _pump_placer(self) -> None:
        for decision in list(self._placer.place(self._now_s)):
            flight = self._flights.get(decision.request_id)
            if flight is None:
                continue
            if isinstance(decision, messages.Placement):
                answer = self._placed_there
            elif isinstance(decision, messages.Refusal):
                answer = self._refused_there
            else:
                answer = self._yields_there
            self._at(
                self._now_s + driver.LINK_S,
                lambda f=flight, d=decision, a=answer: a(f, d),
            )

    def _placed_there(
        self, flight: driver.Flight, placement: messages.Placement
    ) -> None:
        entry = self._entries[flight.entry]
        if entry.awaits_remote_placement(
            flight.job.request_id
        ) and entry.apply_remote_placement(
            flight.job.request_id, placement, self._now_s
        ):
            self._placed(flight, placement)
        else:
            self._here(flight)

    def _refused_there(
        self, flight: driver.Flight, refusal: messages.Refusal
    ) -> None:
        entry = self._entries[flight.entry]
        if entry.drop_remote_placement(flight.job.request_id):
            self._refused(flight, refusal)

    def _yields_there(
        self, flight: driver.Flight, preemption: messages.Preemption
    ) -> None:
        self._preempt(flight)

    # -- what the placer is told ---------------------------------------------

    def _first(self, flight: driver.Flight) -> None:
        super()._first(flight)
        if self._placer is not None:
            self._placer.first_token(flight.job.request_id, self._now_s)

    def _progress(
        self, endpoint: ids.EndpointId, request_id: ids.RequestId, tokens: int
    ) -> None:
        if self._placer is not None:
            self._placer.progress(request_id, tokens)
        super()._progress(endpoint, request_id, tokens)

    def _end(self, flight: driver.Flight, outcome: messages.Outcome) -> None:
        if self._placer is not None:
            runs = {run.job.request_id for run in self._placer.runs()}
            if flight.job.request_id in runs:
                self._placer.finish(flight.job.request_id, outcome, self._now_s)
                self._pump_placer()
        super()._end(flight, outcome)
