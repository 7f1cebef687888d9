"""Controls stand-in engines from tests and benchmarks."""

import json
import typing

from cardamombarrow.endpoints import http_get

__all__ = ["runs", "set_behaviour"]

TIMEOUT_S = 5.0


def set_behaviour(address: str, **behaviour: typing.Any) -> None:
    """Changes fields of an engine's `engine_behaviour.Behaviour`."""
    http_get.fetch(
        f"http://{address}/standin/behaviour",
        timeout_s=TIMEOUT_S,
        method="POST",
        body=json.dumps(behaviour).encode(),
    )


def runs(addresses: list[str], body: str = "") -> list[dict]:
    """Returns the runs of plain services, only those of `body` if given."""
    found = []
    for address in addresses:
        reply = http_get.fetch(
            f"http://{address}/standin/runs", timeout_s=TIMEOUT_S
        )
        found.extend(json.loads(reply.body))
    return [run for run in found if not body or run.get("body") == body]
