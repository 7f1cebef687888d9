"""What the stand-in engines recorded of the work that they did."""

import json

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from tools import deployment

__all__ = ["wasted_work"]


def wasted_work(running: deployment.Deployment) -> tuple[int, int]:
    """Returns tokens thrown away and all tokens, by the stand-ins' records.

    What a stand-in that was killed had recorded is lost with it.
    """
    wasted = total = 0
    for address in (a for group in running.engines.values() for a in group):
        try:
            reply = http_get.fetch(
                f"http://{address}/standin/runs", timeout_s=10
            )
        except errors.EndpointError:
            continue
        for record in json.loads(reply.body):
            tokens = record.get("tokens", 0)
            total += tokens
            wasted += tokens if record["outcome"] != "done" else 0
    return wasted, total
