"""Models of a stand-in engine, and the orders it received."""

import dataclasses
import threading
import time
import typing

__all__ = ["EngineModels"]


@dataclasses.dataclass
class EngineModels:
    """Models of one stand-in engine.

    Attributes:
        load_s: Time to load one model.
        checks_token: Whether orders with an old fencing token are refused.
        highest_token: Highest fencing token of the accepted orders.
        ready_at_s: When each model is loaded, by name.
        orders: All orders received, and whether each was accepted.
    """

    load_s: float = 0.5
    checks_token: bool = True
    highest_token: int = 0
    ready_at_s: dict[str, float] = dataclasses.field(default_factory=dict)
    orders: list[dict[str, typing.Any]] = dataclasses.field(
        default_factory=list
    )
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    def models(self) -> dict[str, typing.Any]:
        """Returns the answer to ``GET /v1/models``."""
        now_s = time.monotonic()
        with self.lock:
            return {
                "object": "list",
                "data": [
                    {
                        "id": name,
                        "state": "loaded" if at_s <= now_s else "loading",
                    }
                    for name, at_s in self.ready_at_s.items()
                ],
            }

    def order(self, content: dict[str, typing.Any]) -> bool:
        """Executes an order; returns False if its token is old."""
        with self.lock:
            is_old = content["fencing"] < self.highest_token
            is_accepted = not (self.checks_token and is_old)
            self.orders.append({**content, "taken": is_accepted})
            if not is_accepted:
                return False
            self.highest_token = max(self.highest_token, content["fencing"])
            if content["kind"] == "load":
                ready_at_s = time.monotonic() + self.load_s
                self.ready_at_s.setdefault(content["artifact"], ready_at_s)
            else:
                self.ready_at_s.pop(content["artifact"], None)
            return True
