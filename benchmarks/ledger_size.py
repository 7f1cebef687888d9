"""Memory and snapshot size of a full ledger.

``python -m benchmarks.ledger_size`` fills ledgers of several sizes.
"""

import json
import secrets
import time
import tracemalloc

from cardamombarrow.kernel import ids
from cardamombarrow.ledger import machine

__all__ = ["main"]

SIZES = (10_000, 25_000, 50_000)
ANSWER_BYTES = 120


def _fill(count: int) -> machine.LedgerState:
    ledger = machine.LedgerState()
    for number in range(count):
        claim = machine.Claim(
            body_sha256=secrets.token_hex(32),
            instance=ids.InstanceId("entry-1"),
            attempt=ids.new_request_id(),
            at_unix_s=float(number) / 10,
            deadline_unix_s=float(number) / 10 + 15.0,
        )
        key = f"groomers-north/{secrets.token_hex(16)}"
        ledger.claim(key, claim)
        outcome = machine.Claim(
            body_sha256="",
            instance=claim.instance,
            attempt=claim.attempt,
            at_unix_s=0.0,
            state=machine.ClaimState.ANSWERED,
            status=200,
            content_type="application/json",
            answer=secrets.token_bytes(ANSWER_BYTES),
        )
        ledger.settle(key, claim.attempt, outcome)
    return ledger


def main() -> None:
    """Prints a row per size."""
    print("claims memory_MB bytes_per_claim snapshot_MB snapshot_s")
    for count in SIZES:
        tracemalloc.start()
        ledger = _fill(count)
        memory_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        start_s = time.process_time()
        snapshot = json.dumps(ledger.to_json())
        cpu_s = time.process_time() - start_s
        print(
            f"{len(ledger):6} {memory_bytes / 1e6:9.1f} "
            f"{memory_bytes / count:15.0f} {len(snapshot) / 1e6:11.1f} "
            f"{cpu_s:10.2f}"
        )


if __name__ == "__main__":
    main()
