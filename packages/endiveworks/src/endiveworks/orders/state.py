"""The desired and the actual state of an engine, and the orders that remove the difference."""

import enum
from typing import NamedTuple

from ..config.bundle import Service


class OrderKind(enum.StrEnum):
    """Kind of an order: what it changes."""

    MODEL = "load_model"
    VERSION = "set_version"
    ROLE = "set_role"
    ADAPTER = "load_adapter"


class Order(NamedTuple):
    """An order to an engine; orders are idempotent."""

    kind: OrderKind
    value: str


class DesiredState(NamedTuple):
    """State that the configuration requires of an engine.

    Attributes:
        model: Model name.
        version: Version of the model; empty for any.
        role: Role; empty for any.
        adapters: Adapters that must be loaded; others may be loaded as well.
        min_serving: Minimum number of other replicas that serve while one reloads.
    """

    model: str
    version: str
    role: str
    adapters: tuple[str, ...]
    min_serving: int


class EngineState(NamedTuple):
    """State that an engine reports.

    Attributes:
        model: Loaded model; empty for none.
        version: Version of the model; empty if no order has set it.
        role: Role; empty if no order has set it.
        adapters: Loaded adapters.
        loading: Order in progress, as text; empty for none.
        fencing: Highest fencing number that the engine has seen.
    """

    model: str
    version: str
    role: str
    adapters: tuple[str, ...]
    loading: str
    fencing: int


def desired_state(service: Service | None) -> DesiredState | None:
    """Returns the state that a service requires of its engines; None if they get no orders."""
    if service is None or service.engine is None:
        return None
    engine_cfg = service.engine
    return DesiredState(
        service.model,
        engine_cfg.version,
        engine_cfg.role,
        engine_cfg.adapters,
        engine_cfg.min_serving,
    )


def missing_orders(desired: DesiredState, engine: EngineState) -> tuple[Order, ...]:
    """Returns the orders that are still needed, in the order in which they must be sent.

    Adapters come last, since loading a model drops them.
    """
    orders = []
    if engine.model != desired.model:
        orders.append(Order(OrderKind.MODEL, desired.model))
    if desired.version and engine.version != desired.version:
        orders.append(Order(OrderKind.VERSION, desired.version))
    if desired.role and engine.role != desired.role:
        orders.append(Order(OrderKind.ROLE, desired.role))
    missing = (name for name in desired.adapters if name not in engine.adapters)
    orders.extend(Order(OrderKind.ADAPTER, name) for name in missing)
    return tuple(orders)


def serves(engine: EngineState) -> bool:
    """Returns whether an engine can serve calls."""
    interrupted = engine.loading and not engine.loading.startswith(OrderKind.ADAPTER)
    return bool(engine.model) and not interrupted


def interrupts_serving(order: Order) -> bool:
    """Returns whether an engine serves no calls while it executes an order."""
    return order.kind is not OrderKind.ADAPTER


def loads_weights(order: Order) -> bool:
    """Returns whether an order loads weights."""
    return order.kind is not OrderKind.ROLE


def describe(model: str, version: str, role: str, adapters: tuple[str, ...]) -> str:
    """Formats a state as short text, such as "m@2 prefill +a"."""
    named = f"{model}@{version}" if version else model
    parts = [named, role, *(f"+{name}" for name in adapters)]
    return " ".join(part for part in parts if part)
