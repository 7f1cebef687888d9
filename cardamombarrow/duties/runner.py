"""Carries out the duties while this control process leads the log."""

from collections import abc
import dataclasses
import threading
import typing

from cardamombarrow.decisions.fleet import scaling
from cardamombarrow.discovery import base as discovery
from cardamombarrow.document import schema
from cardamombarrow.duties import base
from cardamombarrow.duties import lease as lease_module
from cardamombarrow.duties import machine
from cardamombarrow.duties import order_planner as order_planner_module
from cardamombarrow.duties import settings as settings_module
from cardamombarrow.duties import windows
from cardamombarrow.kernel import background
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs
from cardamombarrow.log import base as log_base
from cardamombarrow.metering import tables
from cardamombarrow.peers.control import committing
from cardamombarrow.peers.control import control_pb2

__all__ = ["DutiesRunner", "MeteringView", "Sources"]

CHECK_INTERVAL_S = 0.5
"""Time between two checks for due calls."""

LIST_INTERVAL_S = 2.0
"""Time between two fetches of the list of endpoints."""

LIST_INTERVAL_PENDING_S = 1.0
"""The same while a taken order does not show in the list yet."""

LIST_MAX_AGE_S = 8.0
"""Age from which a list is too old to order endpoints by."""

RESEND_S = 1.0
"""Time until a report without a definite answer is sent again."""


@dataclasses.dataclass(frozen=True)
class MeteringView:
    """Current usage and demand, as reported by the entries.

    Attributes:
        unix_s: Agreed time of day, Unix seconds.
        totals: Counts by window and workspace.
        sources: Number of entries that reported, by window.
        demand: Demand by failure domain and service.
    """

    unix_s: float
    totals: dict[int, dict[ids.WorkspaceId, int]]
    sources: dict[int, int]
    demand: list[tables.Demand]


@dataclasses.dataclass(frozen=True)
class Sources:
    """Inputs of the runner.

    Attributes:
        metering: Returns usage and demand; None before the first report.
        state: Returns the state of the duties in the log.
        document: Returns the document in force; None before the first one.
        listing: Reads the list of endpoints.
    """

    metering: abc.Callable[[], MeteringView | None]
    state: abc.Callable[[], machine.DutiesState]
    document: abc.Callable[[], schema.Document | None]
    listing: abc.Callable[[], list[discovery.ListedEndpoint]]


class DutiesRunner(lifecycle.Part):
    """Thread that reports usage and orders endpoints."""

    def __init__(
        self,
        settings: settings_module.DutySettings,
        log: log_base.Log,
        lease: lease_module.DutiesLease,
        gateway: base.Gateway,
        sources: Sources,
        time_source: clock.Clock,
    ):
        self._settings = settings
        self._log = log
        self._lease = lease
        self._gateway = gateway
        self._sources = sources
        self._clock = time_source
        self._usage_times = windows.UsageSchedule(
            settings.window_s, settings.usage_late_s
        )
        self._first_window: int | None = None
        self._reported_at_s: dict[int, float] = {}
        self._planner = order_planner_module.OrderPlanner()
        self._scalers: dict[ids.ServiceId, scaling.Scaler] = {}
        self._listed: list[discovery.ListedEndpoint] = []
        self._listed_at_s = float("-inf")
        self._called_at_s = float("-inf")
        self._stop = threading.Event()
        self._thread = background.supervised_thread(self._run, "duties")

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread after the current call."""
        self._stop.set()
        self._thread.join()

    def orders(self) -> list[dict[str, typing.Any]]:
        """Returns the last endpoint orders; empty if not the holder."""
        return self._planner.last_orders() if self._lease.holder else []

    def _run(self) -> None:
        while not self._stop.wait(CHECK_INTERVAL_S):
            try:
                self.run_once()
            except errors.RouterError as error:
                # The next check starts from the state of the log.
                logs.event(
                    "duties check failed", "WARNING", detail=error.detail
                )

    def run_once(self) -> None:
        """Makes the calls that are due now.

        Raises:
            errors.RouterError: The log did not answer; the next check
                continues from its state.
        """
        if not self._lease.check_leadership():
            self._first_window = None
            return
        metering = self._sources.metering()
        if metering is None:
            return
        if self._lease.holder is None:
            self._take(metering)
        if self._settings.reports_usage:
            self._commit_usage(metering)
            self._report_usage()
        if self._settings.orders_endpoints:
            self._order_endpoints(metering)

    def _take(self, metering: MeteringView) -> None:
        self._lease.take()
        self._planner = order_planner_module.OrderPlanner()
        last = self._sources.state().last_window
        self._first_window = (
            int(metering.unix_s // self._usage_times.window_s)
            if last is None
            else last + 1
        )

    # -- usage ---------------------------------------------------------------

    def _commit_usage(self, metering: MeteringView) -> None:
        holder = self._lease.holder
        state = self._sources.state()
        if holder is None or self._first_window is None:
            return
        for window in windows.due_windows(
            state, self._first_window, metering.unix_s, self._usage_times
        ):
            reply = committing.commit(
                self._log,
                control_pb2.Command(
                    commit_usage=control_pb2.CommitUsageCommand(
                        window=window,
                        counts=metering.totals.get(window, {}),
                        instance=holder.instance,
                        fencing=holder.fencing,
                    )
                ),
            ).usage
            logs.decision(
                "usage committed",
                window=window,
                requests=sum(reply.counts.values()),
                workspaces=len(reply.counts),
                sources=metering.sources.get(window, 0),
                age_s=round(
                    metering.unix_s - (window + 1) * self._usage_times.window_s,
                    3,
                ),
                fencing=holder.fencing,
                committed=reply.committed,
            )
            if not reply.committed:
                # Another process has taken the duties.
                self._lease.confirm_after_refusal()
                return

    def _report_usage(self) -> None:
        state = self._sources.state()
        for window in windows.open_windows(state):
            now_s = self._clock.now_s()
            if now_s - self._reported_at_s.get(window, -RESEND_S) < RESEND_S:
                continue
            counts = dict(state.reports[window].counts)
            outcome = self._call(base.UsageReport(window, counts))
            if outcome is None:
                return
            self._reported_at_s[window] = now_s
            if outcome in (base.Outcome.TAKEN, base.Outcome.INVALID):
                committing.commit(
                    self._log,
                    control_pb2.Command(
                        settle_usage=control_pb2.SettleUsageCommand(
                            window=window
                        )
                    ),
                )
                self._reported_at_s.pop(window, None)

    # -- endpoints -----------------------------------------------------------

    def _order_endpoints(self, metering: MeteringView) -> None:
        document = self._sources.document()
        if document is None:
            return
        services = [s for s in document.services.values() if s.scaling]
        if not services or not self._read_list():
            return
        for service in services:
            self._order_service(service, metering.demand)

    def _read_list(self) -> bool:
        """Fetches the list if it is old; returns whether it is usable."""
        now_s = self._clock.now_s()
        interval_s = (
            LIST_INTERVAL_PENDING_S
            if self._planner.has_pending_orders
            else LIST_INTERVAL_S
        )
        if now_s - self._listed_at_s >= interval_s:
            try:
                self._listed = self._sources.listing()
                self._listed_at_s = now_s
            except (errors.RouterError, ValueError) as error:
                logs.event(
                    "endpoint list not read", "WARNING", detail=str(error)
                )
        return now_s - self._listed_at_s < LIST_MAX_AGE_S

    def _order_service(
        self, service: schema.Service, demand: list[tables.Demand]
    ) -> None:
        now_s = self._clock.now_s()
        name = service.service
        fleets = order_planner_module.count_endpoints(self._listed, name)
        scaler = self._scalers.setdefault(name, scaling.TargetUtilisation())
        domain_demand = {
            each.domain: scaling.DomainDemand(each.reading, each.running)
            for each in demand
            if each.service == name
        }
        present = {
            # While one kind replaces the other, both are present.
            domain: max(fleet.spot, fleet.regular)
            for domain, fleet in fleets.items()
        }
        wanted = scaler.wanted(service, domain_demand, present, now_s)
        for order in self._planner.due_orders(service, wanted, fleets, now_s):
            if order.contradicts:
                self._lease.take()
            outcome = self._call(order.call)
            if outcome is None:
                return
            self._planner.record(order, outcome, self._clock.now_s())
            logs.decision(
                "order endpoints",
                service=name,
                domain=order.call.domain,
                spot=order.call.spot,
                count=order.call.count,
                outcome=outcome.value,
                contradicts=order.contradicts,
                listed=repr(fleets.get(order.call.domain)),
                list_age_s=round(now_s - self._listed_at_s, 3),
                wanted=wanted[order.call.domain],
                demand={
                    domain: (round(each.reading, 2), each.running)
                    for domain, each in domain_demand.items()
                },
            )

    def _call(self, call: base.DutyCall) -> base.Outcome | None:
        """Makes a call; returns None if this process may not make it now."""
        interval_s = 1.0 / self._settings.calls_per_s
        self._stop.wait(
            max(self._called_at_s + interval_s - self._clock.now_s(), 0.0)
        )
        if not self._lease.may_call():
            return None
        holder = self._lease.holder
        assert holder is not None
        outcome = self._gateway.send(self._settings.url, call, holder)
        self._called_at_s = self._clock.now_s()
        if outcome is not base.Outcome.TAKEN:
            logs.event(
                "call to the platform not taken",
                "WARNING",
                call=repr(call),
                fencing=holder.fencing,
                outcome=outcome.value,
            )
        if (
            outcome is base.Outcome.REFUSED
            and not self._lease.confirm_after_refusal()
        ):
            return None
        return outcome
