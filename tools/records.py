"""What the stand-in engines recorded of the work that they did."""

import collections
import json

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from tools import deployment

__all__ = ["wasted_work"]


def wasted_work(running: deployment.Deployment) -> tuple[int, int]:
    """Returns tokens thrown away and all tokens, by the stand-ins' records.

    Tokens of a run that was cut count as used where another run went on from
    them to the end. What a stand-in that was killed had recorded is lost with
    it.
    """
    generated: collections.Counter[str] = collections.Counter()
    whole: dict[str, int] = {}
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
                whole[request_id] = tokens
    wasted = sum(
        max(count - whole.get(request_id, 0), 0)
        for request_id, count in generated.items()
    )
    return wasted, generated.total()
