"""Decides the next step of an engine's order sender; a pure function."""

import enum
from typing import NamedTuple

from .slots import SlotStatus
from .state import (
    DesiredState,
    EngineState,
    Order,
    interrupts_serving,
    loads_weights,
    missing_orders,
    serves,
)


class Action(enum.StrEnum):
    """Kind of a step."""

    NOTHING = "nothing"
    ACQUIRE_SLOT = "take_slot"
    RELEASE_SLOTS = "free_slots"
    STOP_ADMITTING = "stop_admitting"
    ADMIT = "admit"
    SEND = "send"


class WaitReason(enum.StrEnum):
    """Reason for which an order waits."""

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


class CoordinationState(NamedTuple):
    """State read from the key-value service.

    Attributes:
        is_registered: Whether the host's registration is this process's.
        slots: The slots.
    """

    is_registered: bool
    slots: SlotStatus


class DecisionInput(NamedTuple):
    """Input of the decision.

    Attributes:
        desired: Configured state; None if the engine gets no orders.
        engine: State that the engine reports; None if it did not respond.
        coordination: State in the key-value service; None if it was not read or did not respond.
        guarded: Whether no other process on the host may send orders.
        admitting: Whether this process accepts new calls.
        idle: Whether no call is running or queued in this process.
        other_hosts: Other hosts of the service that accept new work.
        now_s: Monotonic time.
        last_order: The last order sent; None for none.
        retry_at_s: Monotonic time before which that order is not sent again.
        outcome_unknown: Whether that order may still take effect.
        predecessor_expired_at_s: Monotonic time at which the authority of an earlier process
            has expired.
    """

    desired: DesiredState | None
    engine: EngineState | None
    coordination: CoordinationState | None
    guarded: bool
    admitting: bool
    idle: bool
    other_hosts: frozenset[str]
    now_s: float
    last_order: Order | None
    retry_at_s: float
    outcome_unknown: bool
    predecessor_expired_at_s: float


class Step(NamedTuple):
    """The next step, and the reason for which orders wait.

    Attributes:
        action: Kind of the step.
        wait: Reason for which orders wait.
        order: Order to send; None for other steps.
        key: Key of the slot to acquire; empty for other steps.
    """

    action: Action
    wait: WaitReason = WaitReason.NOTHING
    order: Order | None = None
    key: str = ""


def needs_coordination(inputs: DecisionInput, may_hold_slots: bool) -> bool:
    """Returns whether the decision needs the key-value service.

    Args:
        inputs: Input of the decision, without the state in the key-value service.
        may_hold_slots: Whether this process may hold slots.
    """
    desired, engine = inputs.desired, inputs.engine
    if desired is None:
        return may_hold_slots
    if engine is None or engine.loading:
        return False
    return may_hold_slots or bool(missing_orders(desired, engine))


def decide(inputs: DecisionInput) -> Step:
    """Returns the next step; every step is idempotent."""
    if inputs.desired is None:
        return _resume_serving(inputs)
    if inputs.engine is None:
        return Step(Action.NOTHING, WaitReason.ENGINE)
    if inputs.admitting and not serves(inputs.engine):
        return Step(Action.STOP_ADMITTING, WaitReason.LOADING)
    if inputs.engine.loading:
        return Step(Action.NOTHING, WaitReason.LOADING)
    orders = missing_orders(inputs.desired, inputs.engine)
    if not orders:
        return _resume_serving(inputs)
    retry_pending = inputs.last_order == orders[0] and inputs.now_s < inputs.retry_at_s
    if retry_pending and inputs.outcome_unknown:
        return Step(Action.NOTHING, WaitReason.OUTCOME)
    reason = WaitReason.RETRY if retry_pending else _blocking_reason(inputs)
    if reason is not WaitReason.NOTHING or inputs.coordination is None:
        return _serve_while_blocked(inputs, inputs.engine, reason)
    return _prepare_order(
        inputs, inputs.desired, inputs.engine, inputs.coordination.slots, orders[0]
    )


def _blocking_reason(inputs: DecisionInput) -> WaitReason:
    """Returns the reason for which no order may be sent at present."""
    if inputs.coordination is None:
        return WaitReason.KEY_VALUE_SERVICE
    if not inputs.coordination.is_registered:
        return WaitReason.SUPERSEDED
    if not inputs.guarded:
        return WaitReason.GUARD
    if inputs.now_s < inputs.predecessor_expired_at_s:
        return WaitReason.PREDECESSOR
    return WaitReason.NOTHING


def _prepare_order(
    inputs: DecisionInput,
    desired: DesiredState,
    engine: EngineState,
    slots: SlotStatus,
    order: Order,
) -> Step:
    """Returns the next step towards sending an order that nothing blocks."""
    reload = interrupts_serving(order) and serves(engine)
    if reload and inputs.admitting and len(inputs.other_hosts - slots.ahead) < desired.min_serving:
        return _serve_while_blocked(inputs, engine, WaitReason.OTHER_REPLICAS)
    if reload and not slots.reload:
        return _acquire_slot(inputs, engine, slots.free_reload, WaitReason.RELOAD_SLOT)
    if loads_weights(order) and not slots.load:
        return _acquire_slot(inputs, engine, slots.free_load, WaitReason.LOAD_SLOT)
    if reload and inputs.admitting:
        return Step(Action.STOP_ADMITTING, WaitReason.CALLS)
    if reload and not inputs.idle:
        return Step(Action.NOTHING, WaitReason.CALLS)
    return Step(Action.SEND, WaitReason.LOADING, order)


def _acquire_slot(
    inputs: DecisionInput, engine: EngineState, free_key: str, wait: WaitReason
) -> Step:
    """Acquires a slot; if none is free, the replica serves calls until then if it can."""
    if free_key:
        return Step(Action.ACQUIRE_SLOT, wait, key=free_key)
    if not inputs.admitting and serves(engine):
        return Step(Action.ADMIT, wait)
    return Step(Action.NOTHING, wait)


def _serve_while_blocked(inputs: DecisionInput, engine: EngineState, wait: WaitReason) -> Step:
    """Serves with the loaded state, then releases the slots, while orders are blocked."""
    if not inputs.admitting and serves(engine):
        return Step(Action.ADMIT, wait)
    if _holds_slots(inputs):
        return Step(Action.RELEASE_SLOTS, wait)
    return Step(Action.NOTHING, wait)


def _resume_serving(inputs: DecisionInput) -> Step:
    """Admits calls, then releases the slots, so that the next replica sees this one serving."""
    if not inputs.admitting:
        return Step(Action.ADMIT)
    if _holds_slots(inputs):
        return Step(Action.RELEASE_SLOTS)
    return Step(Action.NOTHING)


def _holds_slots(inputs: DecisionInput) -> bool:
    slots = inputs.coordination.slots if inputs.coordination is not None else None
    return slots is not None and bool(slots.reload or slots.load)
