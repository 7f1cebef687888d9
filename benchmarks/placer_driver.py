"""The driver with a placer, which places the requests of all entries.

As in `entry.placement.broker`, entries place requests themselves while the
placer is unreachable, and report their running requests when it returns.
"""

import dataclasses
import random

from benchmarks import driver
from benchmarks import scenarios
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import overload
from cardamombarrow.kernel import ids

__all__ = ["PlacerDriver", "make"]

ANSWER_TIMEOUT_S = 0.05
"""Timeout of a question, the same as in `peers.placing_client`."""


def make(scenario: scenarios.Scenario, seed: int) -> driver.Driver:
    """Returns a driver with or without a placer, as the scenario says."""
    cls = PlacerDriver if scenario.asked else driver.Driver
    return cls(scenario, seed)


class PlacerDriver(driver.Driver):
    """One run of one scenario with a placer."""

    def __init__(self, scenario: scenarios.Scenario, seed: int):
        super().__init__(scenario, seed)
        self._seed = seed
        self._placer: core.Dispatcher | None = self._new_placer()
        self._at(scenario.placer_lost_from_s, self._stop_placer)
        self._at(scenario.placer_lost_until_s, self._restart_placer)
        self._every(driver.TICK_S, self._tick_placer)

    def _new_placer(self) -> core.Dispatcher:
        context = context_module.PolicyContext(
            self._scenario.document,
            ids.InstanceId("entry-0"),
            driver.DOMAIN,
            random.Random(self._seed * 1_000 - 1),
            overload=overload.OverloadControl(
                self._scenario.overload, self._scenario.learns_speeds
            ),
            whole_domain=True,
        )
        return core.Dispatcher(context, self._now_s)

    def _stop_placer(self) -> None:
        self._placer = None
        for flight in list(self._flights.values()):
            self._at(
                self._now_s + ANSWER_TIMEOUT_S,
                lambda f=flight: self._decide_at_entry(f),
            )

    def _decide_at_entry(self, flight: driver.Flight) -> None:
        entry = self._entries[flight.entry]
        if entry.queue_locally(flight.job.request_id, self._now_s):
            self._place(flight.entry)

    def _restart_placer(self) -> None:
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
            self._place_at_placer()

    # -- questions and answers -----------------------------------------------

    def _offer(self, flight: driver.Flight) -> messages.Refusal | None:
        entry = self._entries[flight.entry]
        if self._placer is None:
            return entry.offer(flight.job, self._now_s)
        refusal = entry.await_remote_placement(flight.job, self._now_s)
        if refusal is None:
            self._send_question(flight)
        return refusal

    def _retry(self, flight: driver.Flight, outcome: messages.Outcome) -> bool:
        entry = self._entries[flight.entry]
        has_placer = self._placer is not None
        will_retry = entry.retry(flight.job, outcome, self._now_s, has_placer)
        if will_retry and entry.awaits_remote_placement(flight.job.request_id):
            self._send_question(flight)
        return will_retry

    def _send_question(self, flight: driver.Flight) -> None:
        job = dataclasses.replace(flight.job)
        self._at(
            self._now_s + driver.LINK_S,
            lambda: self._handle_question(flight, job),
        )

    def _handle_question(
        self, flight: driver.Flight, job: messages.Job
    ) -> None:
        if self._placer is None:
            self._decide_at_entry(flight)
            return
        refusal = self._placer.offer(job, self._now_s)
        if refusal is not None:
            self._at(
                self._now_s + driver.LINK_S,
                lambda: self._apply_remote_refusal(flight, refusal),
            )
        self._place_at_placer()

    def _place_at_placer(self) -> None:
        for decision in list(self._placer.place(self._now_s)):
            flight = self._flights.get(decision.request_id)
            if flight is None:
                continue
            if isinstance(decision, messages.Placement):
                answer = self._apply_remote_placement
            elif isinstance(decision, messages.Refusal):
                answer = self._apply_remote_refusal
            else:
                answer = self._apply_remote_preemption
            self._at(
                self._now_s + driver.LINK_S,
                lambda f=flight, d=decision, a=answer: a(f, d),
            )

    def _apply_remote_placement(
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
            self._decide_at_entry(flight)

    def _apply_remote_refusal(
        self, flight: driver.Flight, refusal: messages.Refusal
    ) -> None:
        entry = self._entries[flight.entry]
        if entry.drop_remote_placement(flight.job.request_id):
            self._refused(flight, refusal)

    def _apply_remote_preemption(
        self, flight: driver.Flight, preemption: messages.Preemption
    ) -> None:
        self._preempt(flight)

    def _pause(
        self,
        flight: driver.Flight,
        endpoint: ids.EndpointId,
        until_s: float,
    ) -> None:
        super()._pause(flight, endpoint, until_s)
        if self._scenario.pause_scope is scenarios.PauseScope.DOMAIN:
            self._at(
                self._now_s + driver.LINK_S,
                lambda: self._pause_at_placer(endpoint, until_s),
            )

    def _pause_at_placer(
        self, endpoint: ids.EndpointId, until_s: float
    ) -> None:
        if self._placer is not None:
            no_request = ids.RequestId("")
            self._placer.pause(endpoint, until_s, no_request, self._now_s)

    # -- reports to the placer ------------------------------------------------

    def _receive_report(
        self,
        entry: int,
        endpoint: ids.EndpointId,
        report: messages.LoadReport,
    ) -> None:
        super()._receive_report(entry, endpoint, report)
        if report.work_time_factor is not None:
            self._at(
                self._now_s + driver.LINK_S,
                lambda: self._report_to_placer(endpoint, report),
            )

    def _report_to_placer(
        self, endpoint: ids.EndpointId, report: messages.LoadReport
    ) -> None:
        if self._placer is not None:
            self._placer.report(endpoint, report)

    def _first_token(self, flight: driver.Flight) -> None:
        super()._first_token(flight)
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
                self._place_at_placer()
        super()._end(flight, outcome)
