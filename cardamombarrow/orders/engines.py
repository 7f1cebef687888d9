"""Client of the engines' HTTP calls for loaded models and orders.

``GET /v1/models`` answers OpenAI's list with a ``state`` of ``loaded`` or
``loading`` for each model. ``POST /v1/orders`` takes an order with its
fencing token; engines that check tokens answer 409 to an old one.
"""

import json

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import json_text
from cardamombarrow.orders import lease
from cardamombarrow.orders import plan

__all__ = ["observe", "send"]

OBSERVE_TIMEOUT_S = 1.0


def observe(endpoint: ids.EndpointId) -> plan.Observed | None:
    """Reads what an engine has loaded; None if it does not answer."""
    try:
        reply = http_get.fetch(
            f"http://{endpoint}/v1/models", timeout_s=OBSERVE_TIMEOUT_S
        )
        if reply.status != 200:
            return None
        items = json_text.load(reply.body)["data"]
        return plan.Observed(
            loaded=frozenset(
                item["id"] for item in items if item["state"] == "loaded"
            ),
            loading=frozenset(
                item["id"] for item in items if item["state"] == "loading"
            ),
        )
    except (errors.EndpointError, ValueError, KeyError, TypeError):
        return None


def send(order: plan.Order, fencing: int) -> bool:
    """Sends an order; returns whether the engine accepted it.

    Raises:
        errors.EndpointError: No answer came in time. The engine may have
            accepted the order; the next observation shows it.
    """
    body = {
        "kind": order.kind.value,
        "artifact": order.artifact,
        "fencing": fencing,
    }
    reply = http_get.fetch(
        f"http://{order.endpoint}/v1/orders",
        timeout_s=lease.SEND_TIMEOUT_S,
        method="POST",
        body=json.dumps(body).encode(),
        headers=("Content-Type: application/json",),
    )
    return reply.status < 300
