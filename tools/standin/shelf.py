"""What a stand-in engine holds, and the orders it was given."""

import dataclasses
import threading
import time
import typing

__all__ = ["Shelf"]


@dataclasses.dataclass
class Shelf:
    """Models of one stand-in engine.

    Attributes:
        load_s: Time to load one.
        checks_token: Whether an old fencing token is refused.
        orders: Every order given, with whether it was taken.
    """

    load_s: float = 0.5
    checks_token: bool = True
    highest: int = 0
    ready_at_s: dict[str, float] = dataclasses.field(default_factory=dict)
    orders: list[dict[str, typing.Any]] = dataclasses.field(
        default_factory=list
    )
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    def models(self) -> dict[str, typing.Any]:
        """Returns the list that ``GET /v1/models`` shows."""
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

    def order(self, order: dict[str, typing.Any]) -> bool:
        """Takes an order, or refuses one with an old token."""
        with self.lock:
            old = order["fencing"] < self.highest
            taken = not (self.checks_token and old)
            self.orders.append({**order, "taken": taken})
            if not taken:
                return False
            self.highest = max(self.highest, order["fencing"])
            if order["kind"] == "load":
                ready_at_s = time.monotonic() + self.load_s
                self.ready_at_s.setdefault(order["artifact"], ready_at_s)
            else:
                self.ready_at_s.pop(order["artifact"], None)
            return True
