"""Orders to load models, adapters and versions or to change role."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

KINDS = ("load_model", "load_adapter", "set_version", "set_role")
_ADAPTER = "load_adapter"
_ACCEPTED = "200 OK"
_OLD_NUMBER = "409 Conflict"
_TRY_LATER = "503 Service Unavailable"


class OrderReply(NamedTuple):
    """Outcome of an order.

    Attributes:
        status: HTTP status.
        fencing: Highest fencing number seen.
        lose_answer: Whether the answer is cut off.
    """

    status: str
    fencing: int
    lose_answer: bool = False


class OrderFaults(NamedTuple):
    """Faults in force.

    Attributes:
        refuse_loads: How many of the next loads the weight store turns away.
        lose_answers: How many of the next accepted orders lose their answer.
    """

    refuse_loads: int = 0
    lose_answers: int = 0


class Loaded(NamedTuple):
    """What the engine has loaded."""

    model: str = ""
    version: str = ""
    role: str = ""
    adapters: tuple[str, ...] = ()


class Orders:
    """What the engine has been told to be.

    Args:
        checks_fencing: Whether an order with an old fencing number is refused.
        load_s: Time that a load takes, in seconds.
        loaded: What is loaded at the start.
        log: Takes each order that was executed, refused or found done already.
        interrupt: Cuts off the requests under way and returns how many there were.
    """

    def __init__(
        self,
        checks_fencing: bool,
        load_s: float = 0.0,
        loaded: Loaded | None = None,
        log: Callable[..., None] = lambda event, **fields: None,
        interrupt: Callable[[], int] = lambda: 0,
    ) -> None:
        self.checks_fencing = checks_fencing
        self.load_s = load_s
        self.loaded = loaded or Loaded()
        self.log = log
        self.interrupt = interrupt
        self.lock = threading.Lock()
        self.fencing = 0
        self.loading = ""
        self.faults = OrderFaults()

    def listed(self) -> dict[str, object]:
        """Returns the engine's list of what it has loaded."""
        with self.lock:
            return {**self.loaded._asdict(), "loading": self.loading, "fencing": self.fencing}

    def serves(self, model: str) -> bool:
        """Returns whether a request for a model is answered now."""
        with self.lock:
            interrupted = self.loading and not self.loading.startswith(_ADAPTER)
            return not interrupted and self.loaded.model in ("", model)

    def apply(self, kind: str, value: str, fencing: int) -> OrderReply:
        """Begins to carry an order out unless its fencing number is old and checked."""
        text = f"{kind} {value}"
        with self.lock:
            if self.checks_fencing and fencing < self.fencing:
                return self._refused("order_old", text, fencing, _OLD_NUMBER)
            self.fencing = max(self.fencing, fencing)
            if self.loading == text or _with(self.loaded, kind, value) == self.loaded:
                self.log("order_repeated", order=text, fencing=fencing)
                return OrderReply(_ACCEPTED, self.fencing)
            if self.loading:
                return self._refused("order_busy", text, fencing, _TRY_LATER)
            if kind != "set_role" and self.faults.refuse_loads:
                left = self.faults.refuse_loads - 1
                self.faults = self.faults._replace(refuse_loads=left)
                return self._refused("order_refused", text, fencing, _TRY_LATER)
            self.loading = text
        interrupted = self.interrupt() if kind != _ADAPTER else 0
        self.log("order", order=text, fencing=fencing, interrupted=interrupted)
        threading.Thread(target=self._load, args=(kind, value), daemon=True).start()
        return OrderReply(_ACCEPTED, fencing, self._takes_answer())

    def _load(self, kind: str, value: str) -> None:
        time.sleep(self.load_s if kind != "set_role" else 0.0)
        with self.lock:
            self.log("loaded", order=self.loading)
            self.loaded = _with(self.loaded, kind, value)
            self.loading = ""

    def _refused(self, event: str, text: str, fencing: int, status: str) -> OrderReply:
        self.log(event, order=text, fencing=fencing)
        return OrderReply(status, self.fencing)

    def _takes_answer(self) -> bool:
        with self.lock:
            left = self.faults.lose_answers
            if left:
                self.faults = self.faults._replace(lose_answers=left - 1)
            return left > 0


def _with(loaded: Loaded, kind: str, value: str) -> Loaded:
    if kind == "load_model":
        same = loaded.model == value
        return loaded if same else Loaded(model=value, role=loaded.role)
    if kind == "set_version":
        return loaded._replace(version=value)
    if kind == "set_role":
        return loaded._replace(role=value)
    return loaded._replace(adapters=tuple(sorted({*loaded.adapters, value})))
