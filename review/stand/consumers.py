"""Consumers that send short requests at a steady rate."""

from concurrent import futures
import time

from review.stand import balancer as balancer_module
from review.stand import callers
from review.stand import record as record_module

__all__ = ["Load"]

PER_S = 10.0
LIMIT_S = 2.0
TRIES = 2
RETRY_SHARE = 1 / 3
RETRIED = (0, 429, 503)


class Load:
    """Sends bookings and reads in turn, from consumers of all zones."""

    def __init__(
        self,
        balancer: balancer_module.Balancer,
        zones: list[str],
        record: record_module.Record,
    ):
        """Builds the consumers of these zones."""
        self._balancer = balancer
        self._zones = zones
        self._record = record

    def run(self, title: str, for_s: float) -> float:
        """Sends requests for a time; returns the share that was served."""
        pending = []
        with futures.ThreadPoolExecutor(40) as pool:
            begin_s = time.monotonic()
            for number in range(int(for_s * PER_S)):
                due_s = begin_s + number / PER_S
                time.sleep(max(due_s - time.monotonic(), 0.0))
                pending.append(pool.submit(self._ask, number))
            tried = [each.result() for each in pending]
        served = sum(attempts[-1].served for attempts in tried)
        self._record.answers(title, [a for each in tried for a in each])
        self._record.note(f"{title}: {served} of {len(tried)} served")
        return served / len(tried)

    def _ask(self, number: int) -> list[callers.Answer]:
        """Sends one request as a consumer does: one retry, as it is told."""
        zone = self._zones[number % len(self._zones)]
        method, path = ("GET", "/read/") if number % 2 else ("POST", "/book/")
        begin_s = time.monotonic()
        attempts: list[callers.Answer] = []
        while len(attempts) < TRIES:
            left_s = LIMIT_S - (time.monotonic() - begin_s)
            address = self._balancer.address(zone)
            answer = callers.request(address, method, f"{path}{number}", left_s)
            attempts.append(answer)
            if answer.status not in RETRIED:
                break
            wait_s = float(answer.headers.get("retry-after", "0.1"))
            left_s = LIMIT_S - (time.monotonic() - begin_s)
            if wait_s > RETRY_SHARE * left_s:
                break
            time.sleep(wait_s)
        return attempts
