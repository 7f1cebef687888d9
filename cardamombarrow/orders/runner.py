"""Sends orders to engines while this control process leads the log."""

from collections import abc
from concurrent import futures
import threading

from cardamombarrow.document import schema
from cardamombarrow.kernel import background
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs
from cardamombarrow.log import base
from cardamombarrow.orders import engines
from cardamombarrow.orders import lease as lease_module
from cardamombarrow.orders import machine
from cardamombarrow.orders import plan
from cardamombarrow.peers.control import committing
from cardamombarrow.peers.control import control_pb2

__all__ = ["OrdersRunner"]

CHECK_INTERVAL_S = 1.0
"""Time between two observations of the engines."""

MAX_CONCURRENT_READS = 16


class OrdersRunner(lifecycle.Part):
    """Thread that observes engines, plans orders and sends them."""

    def __init__(
        self,
        instance: ids.InstanceId,
        log: base.Log,
        document: abc.Callable[[], schema.Document | None],
        time_source: clock.Clock,
    ):
        self._instance = instance
        self._log = log
        self._document = document
        self._clock = time_source
        self._lease: lease_module.Lease | None = None
        self._rate: tuple[float, plan.LoadRate] | None = None
        self._stop = threading.Event()
        self._thread = background.supervised_thread(self._run, "orders")

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread after the current order."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        with futures.ThreadPoolExecutor(MAX_CONCURRENT_READS) as executor:
            while not self._stop.wait(CHECK_INTERVAL_S):
                try:
                    self._run_once(executor)
                except errors.RouterError as error:
                    # The next round starts from the state of the engines.
                    logs.event(
                        "orders check failed", "WARNING", detail=str(error)
                    )

    def _run_once(self, executor: futures.Executor) -> None:
        status = self._log.status()
        if status.leader != status.voter or not status.has_quorum:
            self._lease = None
            return
        document = self._document()
        if document is None:
            return
        endpoints = {
            endpoint: service
            for service in document.services.values()
            if service.orders is not schema.Orders.NONE
            for group in service.endpoints.values()
            for endpoint in group
        }
        if not endpoints:
            return
        if self._lease is None:
            self._take()
        states = executor.map(engines.observe, endpoints)
        observed = {
            endpoint: state
            for endpoint, state in zip(endpoints, states, strict=True)
            if state is not None
        }
        now_s = self._clock.now_s()
        rate = self._load_rate(document)
        orders = list(plan.next_orders(document, observed, rate, now_s))
        if orders and self._renew():
            for order in orders:
                self._send(order, endpoints[order.endpoint])

    def _load_rate(self, document: schema.Document) -> plan.LoadRate:
        per_minute = document.weight_store.loads_per_minute
        if self._rate is None or self._rate[0] != per_minute:
            self._rate = per_minute, plan.LoadRate(per_minute)
        return self._rate[1]

    def _take(self) -> None:
        reply = committing.commit(
            self._log,
            control_pb2.Command(
                take_orders=control_pb2.TakeOrdersCommand(
                    instance=self._instance
                )
            ),
        )
        holder = machine.Holder(self._instance, reply.orders.fencing)
        self._lease = lease_module.Lease(holder, self._clock.now_s())
        logs.event("orders taken", fencing=holder.fencing)

    def _renew(self) -> bool:
        assert self._lease is not None
        requested_s = self._clock.now_s()
        reply = committing.commit(
            self._log,
            control_pb2.Command(
                renew_orders=control_pb2.RenewOrdersCommand(
                    instance=self._instance,
                    fencing=self._lease.holder.fencing,
                )
            ),
        )
        if not reply.orders.current:
            self._lease = None
            return False
        self._lease.record_renewal(requested_s)
        return True

    def _send(self, order: plan.Order, service: schema.Service) -> None:
        assert self._lease is not None
        checks_token = service.orders is schema.Orders.FENCED
        allowed = self._lease.may_send(
            self._clock.now_s(), checks_token=checks_token
        )
        outcome = "not allowed by the lease"
        if allowed:
            try:
                taken = engines.send(order, self._lease.holder.fencing)
                outcome = "taken" if taken else "refused"
            except errors.EndpointError as error:
                outcome = error.detail
        logs.decision(
            "order",
            endpoint=order.endpoint,
            service=service.service,
            kind=order.kind.value,
            artifact=order.artifact,
            fencing=self._lease.holder.fencing,
            outcome=outcome,
        )
