"""What an engine is to have loaded, what it has, and the orders that make up the difference."""

import enum
from typing import NamedTuple

from ..config.bundle import Service


class Kind(enum.StrEnum):
    """What an order changes."""

    MODEL = "load_model"
    VERSION = "set_version"
    ROLE = "set_role"
    ADAPTER = "load_adapter"


class Order(NamedTuple):
    """One order to an engine; the same order twice changes nothing."""

    kind: Kind
    value: str


class Wanted(NamedTuple):
    """What the configuration wants of an engine.

    Attributes:
        model: Model name.
        version: Version of the model; empty for any.
        role: Role; empty for any.
        adapters: Adapters that must be loaded; others may be as well.
        min_serving: Other replicas that must serve while one reloads.
    """

    model: str
    version: str
    role: str
    adapters: tuple[str, ...]
    min_serving: int


class EngineState(NamedTuple):
    """What an engine's own list says.

    Attributes:
        model: Model loaded; empty for none.
        version: Its version; empty when it was not ordered.
        role: Its role; empty when it was not ordered.
        adapters: Adapters loaded.
        loading: Order that is under way, as text; empty for none.
        fencing: Highest fencing number that the engine has seen.
    """

    model: str
    version: str
    role: str
    adapters: tuple[str, ...]
    loading: str
    fencing: int


def wanted_of(service: Service | None) -> Wanted | None:
    """Returns what a service wants of its engines; None when nothing is to be ordered."""
    if service is None or service.engine is None:
        return None
    terms = service.engine
    return Wanted(service.model, terms.version, terms.role, terms.adapters, terms.min_serving)


def missing_orders(wanted: Wanted, engine: EngineState) -> tuple[Order, ...]:
    """Returns the orders still to be given, in their order.

    Adapters come last, since a model that is loaded anew has none.
    """
    orders = []
    if engine.model != wanted.model:
        orders.append(Order(Kind.MODEL, wanted.model))
    if wanted.version and engine.version != wanted.version:
        orders.append(Order(Kind.VERSION, wanted.version))
    if wanted.role and engine.role != wanted.role:
        orders.append(Order(Kind.ROLE, wanted.role))
    missing = (name for name in wanted.adapters if name not in engine.adapters)
    orders.extend(Order(Kind.ADAPTER, name) for name in missing)
    return tuple(orders)


def serves(engine: EngineState) -> bool:
    """Returns whether an engine can answer calls."""
    interrupted = engine.loading and not engine.loading.startswith(Kind.ADAPTER)
    return bool(engine.model) and not interrupted


def interrupts(order: Order) -> bool:
    """Returns whether an engine answers no calls while it carries an order out."""
    return order.kind is not Kind.ADAPTER


def uses_store(order: Order) -> bool:
    """Returns whether an order loads weights."""
    return order.kind is not Kind.ROLE


def describe(model: str, version: str, role: str, adapters: tuple[str, ...]) -> str:
    """Returns a state as short text, such as "m@2 prefill +a"."""
    named = f"{model}@{version}" if version else model
    parts = [named, role, *(f"+{name}" for name in adapters)]
    return " ".join(part for part in parts if part)
