"""Orders to load models, adapters or versions, or to change the role."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

KINDS = ("load_model", "load_adapter", "set_version", "set_role")
_ADAPTER = "load_adapter"
_ACCEPTED = "200 OK"
_STALE_FENCING = "409 Conflict"
_TRY_LATER = "503 Service Unavailable"


class OrderOutcome(NamedTuple):
    """Outcome of an order.

    Attributes:
        status: HTTP status.
        fencing: Highest fencing number received.
        lose_response: Whether the response is truncated.
    """

    status: str
    fencing: int
    lose_response: bool = False


class OrderFaults(NamedTuple):
    """Injected faults.

    Attributes:
        refuse_loads: Number of further loads that the weight store refuses.
        lose_answers: Number of further accepted orders whose response is truncated.
    """

    refuse_loads: int = 0
    lose_answers: int = 0


class LoadedState(NamedTuple):
    """Model, version, role and adapters that the engine has loaded."""

    model: str = ""
    version: str = ""
    role: str = ""
    adapters: tuple[str, ...] = ()


class Orders:
    """Applies orders to an engine, and holds what it has loaded.

    Args:
        checks_fencing: Whether an order with a stale fencing number is refused.
        load_s: Duration of a load, in seconds.
        loaded: What is loaded at startup.
        log: Called for each order that is executed, refused or already in effect.
        interrupt: Aborts the running requests and returns their number.
    """

    def __init__(
        self,
        checks_fencing: bool,
        load_s: float = 0.0,
        loaded: LoadedState | None = None,
        log: Callable[..., None] = lambda event, **fields: None,
        interrupt: Callable[[], int] = lambda: 0,
    ) -> None:
        self.checks_fencing = checks_fencing
        self.load_s = load_s
        self.loaded = loaded or LoadedState()
        self.log = log
        self.interrupt = interrupt
        self.lock = threading.Lock()
        self.fencing = 0
        self.loading = ""
        self.faults = OrderFaults()

    def describe(self) -> dict[str, object]:
        """Returns what is loaded or loading, and the highest fencing number, as JSON fields."""
        with self.lock:
            return {**self.loaded._asdict(), "loading": self.loading, "fencing": self.fencing}

    def serves(self, model: str) -> bool:
        """Returns whether requests for a model are served now."""
        with self.lock:
            interrupted = self.loading and not self.loading.startswith(_ADAPTER)
            return not interrupted and self.loaded.model in ("", model)

    def apply(self, kind: str, value: str, fencing: int) -> OrderOutcome:
        """Starts executing an order, unless it is refused or already in effect.

        An order with a stale fencing number is refused only if checks_fencing is set.
        """
        text = f"{kind} {value}"
        with self.lock:
            if self.checks_fencing and fencing < self.fencing:
                return self._refuse("order_old", text, fencing, _STALE_FENCING)
            self.fencing = max(self.fencing, fencing)
            if self.loading == text or _apply_to(self.loaded, kind, value) == self.loaded:
                self.log("order_repeated", order=text, fencing=fencing)
                return OrderOutcome(_ACCEPTED, self.fencing)
            if self.loading:
                return self._refuse("order_busy", text, fencing, _TRY_LATER)
            if kind != "set_role" and self.faults.refuse_loads:
                remaining = self.faults.refuse_loads - 1
                self.faults = self.faults._replace(refuse_loads=remaining)
                return self._refuse("order_refused", text, fencing, _TRY_LATER)
            self.loading = text
        interrupted = self.interrupt() if kind != _ADAPTER else 0
        self.log("order", order=text, fencing=fencing, interrupted=interrupted)
        threading.Thread(target=self._load, args=(kind, value), daemon=True).start()
        return OrderOutcome(_ACCEPTED, fencing, self._next_lost_response())

    def _load(self, kind: str, value: str) -> None:
        time.sleep(self.load_s if kind != "set_role" else 0.0)
        with self.lock:
            self.log("loaded", order=self.loading)
            self.loaded = _apply_to(self.loaded, kind, value)
            self.loading = ""

    def _refuse(self, event: str, text: str, fencing: int, status: str) -> OrderOutcome:
        self.log(event, order=text, fencing=fencing)
        return OrderOutcome(status, self.fencing)

    def _next_lost_response(self) -> bool:
        with self.lock:
            remaining = self.faults.lose_answers
            if remaining:
                self.faults = self.faults._replace(lose_answers=remaining - 1)
            return remaining > 0


def _apply_to(loaded: LoadedState, kind: str, value: str) -> LoadedState:
    if kind == "load_model":
        same = loaded.model == value
        return loaded if same else LoadedState(model=value, role=loaded.role)
    if kind == "set_version":
        return loaded._replace(version=value)
    if kind == "set_role":
        return loaded._replace(role=value)
    return loaded._replace(adapters=tuple(sorted({*loaded.adapters, value})))
