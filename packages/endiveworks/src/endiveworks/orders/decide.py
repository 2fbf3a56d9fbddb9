"""What the process beside an engine does next about orders; a pure function."""

import enum
from typing import NamedTuple

from .slots import SlotView
from .state import EngineState, Order, Wanted, interrupts, missing_orders, serves, uses_store


class Action(enum.StrEnum):
    """What is done next."""

    NOTHING = "nothing"
    TAKE_SLOT = "take_slot"
    FREE_SLOTS = "free_slots"
    STOP_ADMITTING = "stop_admitting"
    ADMIT = "admit"
    SEND = "send"


class Wait(enum.StrEnum):
    """What an order waits for."""

    NOTHING = ""
    ENGINE = "engine"
    LOADING = "loading"
    KEY_VALUE_SERVICE = "key-value service"
    SUPERSEDED = "superseded"
    GUARD = "guard"
    RETRY = "retry"
    OUTCOME = "outcome"
    OTHER_REPLICAS = "other replicas"
    RELOAD_SLOT = "reload slot"
    LOAD_SLOT = "load slot"
    CALLS = "calls"
    PREDECESSOR = "predecessor"


class Control(NamedTuple):
    """What the key-value service has just said.

    Attributes:
        in_charge: Whether this process is the registered one.
        slots: The slots.
    """

    in_charge: bool
    slots: SlotView


class Situation(NamedTuple):
    """All that the decision rests on.

    Attributes:
        wanted: What the configuration wants; None for no orders.
        engine: What the engine lists; None when it did not answer.
        control: What the key-value service said; None when it did not answer.
        guarded: Whether no other process on the host may give orders.
        admitting: Whether this process takes new calls.
        idle: Whether no call runs or waits here.
        others: Other hosts of the service that take new work.
        now_s: Monotonic time in seconds.
        tried: The order sent last; None for none.
        retry_at_s: Time before which that order is not sent again.
        doubtful: Whether that order may still take effect.
        settled_at_s: Time from which no earlier process can still give an order.
    """

    wanted: Wanted | None
    engine: EngineState | None
    control: Control | None
    guarded: bool
    admitting: bool
    idle: bool
    others: frozenset[str]
    now_s: float
    tried: Order | None
    retry_at_s: float
    doubtful: bool
    settled_at_s: float


class Step(NamedTuple):
    """What to do, and what the orders wait for.

    Attributes:
        action: What to do.
        wait: What is waited for.
        order: The order to send.
        key: The slot to take.
    """

    action: Action
    wait: Wait = Wait.NOTHING
    order: Order | None = None
    key: str = ""


def needs_control(situation: Situation, holding: bool) -> bool:
    """Returns whether the decision needs the key-value service.

    Args:
        situation: The situation, without what the service says.
        holding: Whether this process may hold slots.
    """
    wanted, engine = situation.wanted, situation.engine
    if wanted is None:
        return holding
    if engine is None or engine.loading:
        return False
    return holding or bool(missing_orders(wanted, engine))


def decide(now: Situation) -> Step:
    """Returns the next step; each is safe to repeat."""
    if now.wanted is None:
        return _rest(now)
    if now.engine is None:
        return Step(Action.NOTHING, Wait.ENGINE)
    if now.admitting and not serves(now.engine):
        return Step(Action.STOP_ADMITTING, Wait.LOADING)
    if now.engine.loading:
        return Step(Action.NOTHING, Wait.LOADING)
    orders = missing_orders(now.wanted, now.engine)
    if not orders:
        return _rest(now)
    tried = now.tried == orders[0] and now.now_s < now.retry_at_s
    if tried and now.doubtful:
        return Step(Action.NOTHING, Wait.OUTCOME)
    obstacle = Wait.RETRY if tried else _obstacle(now)
    if obstacle is not Wait.NOTHING or now.control is None:
        return _give_way(now, now.engine, obstacle)
    return _towards(now, now.wanted, now.engine, now.control.slots, orders[0])


def _obstacle(now: Situation) -> Wait:
    """Returns what forbids every order for now."""
    if now.control is None:
        return Wait.KEY_VALUE_SERVICE
    if not now.control.in_charge:
        return Wait.SUPERSEDED
    if not now.guarded:
        return Wait.GUARD
    if now.now_s < now.settled_at_s:
        return Wait.PREDECESSOR
    return Wait.NOTHING


def _towards(
    now: Situation, wanted: Wanted, engine: EngineState, slots: SlotView, order: Order
) -> Step:
    """Returns the next step towards an order that nothing forbids."""
    reload = interrupts(order) and serves(engine)
    if reload and now.admitting and len(now.others - slots.ahead) < wanted.min_serving:
        return _give_way(now, engine, Wait.OTHER_REPLICAS)
    if reload and not slots.reload:
        return _take(now, engine, slots.free_reload, Wait.RELOAD_SLOT)
    if uses_store(order) and not slots.load:
        return _take(now, engine, slots.free_load, Wait.LOAD_SLOT)
    if reload and now.admitting:
        return Step(Action.STOP_ADMITTING, Wait.CALLS)
    if reload and not now.idle:
        return Step(Action.NOTHING, Wait.CALLS)
    return Step(Action.SEND, Wait.LOADING, order)


def _take(now: Situation, engine: EngineState, free: str, wait: Wait) -> Step:
    """Takes a slot; a replica that has to wait for one serves meanwhile if it can."""
    if free:
        return Step(Action.TAKE_SLOT, wait, key=free)
    if not now.admitting and serves(engine):
        return Step(Action.ADMIT, wait)
    return Step(Action.NOTHING, wait)


def _give_way(now: Situation, engine: EngineState, wait: Wait) -> Step:
    """Serves what the engine has, and gives the slots back, until an obstacle is gone."""
    if not now.admitting and serves(engine):
        return Step(Action.ADMIT, wait)
    if _holds(now):
        return Step(Action.FREE_SLOTS, wait)
    return Step(Action.NOTHING, wait)


def _rest(now: Situation) -> Step:
    """Serves, then gives the slots back, so that the next replica finds this one serving."""
    if not now.admitting:
        return Step(Action.ADMIT)
    if _holds(now):
        return Step(Action.FREE_SLOTS)
    return Step(Action.NOTHING)


def _holds(now: Situation) -> bool:
    slots = now.control.slots if now.control is not None else None
    return slots is not None and bool(slots.reload or slots.load)
