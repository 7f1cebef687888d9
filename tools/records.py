"""Evaluates the runs that stand-in engines recorded."""

import collections
import json

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from tools import deployment

__all__ = ["wasted_work"]


def wasted_work(running: deployment.Deployment) -> tuple[int, int]:
    """Returns the counts of wasted and of all generated tokens.

    Tokens of an interrupted run count as used if another run resumed after
    them and completed the answer. The records of killed stand-ins are lost.
    """
    generated: collections.Counter[str] = collections.Counter()
    completed: dict[str, int] = {}
    for address in (a for group in running.engines.values() for a in group):
        try:
            reply = http_get.fetch(
                f"http://{address}/standin/runs", timeout_s=10
            )
        except errors.EndpointError:
            continue
        for record in json.loads(reply.body):
            request_id, tokens = record["request_id"], record.get("tokens", 0)
            generated[request_id] += tokens - record.get("first", 0)
            if record["outcome"] == "done":
                completed[request_id] = tokens
    wasted = sum(
        max(count - completed.get(request_id, 0), 0)
        for request_id, count in generated.items()
    )
    return wasted, generated.total()
