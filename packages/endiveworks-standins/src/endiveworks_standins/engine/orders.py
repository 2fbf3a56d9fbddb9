"""Orders to load models, adapters and versions or to change role."""

import threading
from typing import NamedTuple

KINDS = ("load_model", "load_adapter", "set_version", "set_role")


class OrderReply(NamedTuple):
    """Outcome of an order.

    Attributes:
        accepted: Whether the order was carried out.
        fencing: Highest fencing number seen.
    """

    accepted: bool
    fencing: int


class Orders:
    """What the engine has been told to be."""

    def __init__(self, checks_fencing: bool) -> None:
        self.checks_fencing = checks_fencing
        self.lock = threading.Lock()
        self.fencing = 0
        self.values: dict[str, str] = {}

    def apply(self, kind: str, value: str, fencing: int) -> OrderReply:
        """Carries out an order unless its fencing number is old and checked."""
        with self.lock:
            if self.checks_fencing and fencing < self.fencing:
                return OrderReply(False, self.fencing)
            self.fencing = max(self.fencing, fencing)
            self.values[kind] = value
            return OrderReply(True, self.fencing)
