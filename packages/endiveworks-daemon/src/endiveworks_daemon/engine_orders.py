"""Sends this process's engine the orders that bring it to the configured state."""

import random
import time
from collections.abc import Callable
from typing import NamedTuple

from endiveworks.config.bundle import EngineSettings, Service
from endiveworks.engines.orders import EngineOrders
from endiveworks.errors import Code, Failure
from endiveworks.kvservice.kv import Kv
from endiveworks.links.retry import backoff_s
from endiveworks.links.threads import start_forever
from endiveworks.orders.authority import (
    PREDECESSOR_WAIT_S,
    Authority,
    FencingNumber,
    encode_fencing_number,
    next_fencing_number,
    read_authority,
)
from endiveworks.orders.decide import (
    Action,
    CoordinationState,
    DecisionInput,
    Step,
    WaitReason,
    decide,
    needs_coordination,
)
from endiveworks.orders.slots import (
    Holder,
    Slot,
    SlotLimits,
    acquire_slot,
    read_slots,
    release_slots,
    slot_status,
)
from endiveworks.orders.state import EngineState, Order, describe, desired_state
from endiveworks.telemetry.logs import logger
from returns.result import Success

from .address_lock import AddressLock
from .operators import EngineStatus

_IDLE_INTERVAL_S = 1.0
_LOCAL_POLL_S = 0.2
_MAX_POLL_S = 8.0
_BASE_RETRY_S = 1.0
_MAX_RETRY_S = 60.0
# Longer than a request can wait at the engine after its sender has timed out.
_UNKNOWN_OUTCOME_WAIT_S = 5.0
_LOCAL_REASONS = (WaitReason.LOADING, WaitReason.CALLS, WaitReason.OUTCOME, WaitReason.ENGINE)


class OrderSenderContext(NamedTuple):
    """Dependencies of the order sender on its process.

    Attributes:
        me: This process.
        kv: The key-value service.
        engine: Access to the engine.
        service: Returns the current service configuration; None when no orders are to be sent.
        lease: Returns the lease of this process's registration; 0 for none.
        other_hosts: Returns the other hosts of the service that accept new work.
        set_admitting: Sets whether this process accepts new calls.
        set_accepting: Publishes to the other processes whether this one accepts new work.
        idle: Returns whether no call is running or queued.
        guard: Prevents other processes of the host from sending orders.
    """

    me: Holder
    kv: Kv
    engine: EngineOrders
    service: Callable[[], Service | None]
    lease: Callable[[], int]
    other_hosts: Callable[[], frozenset[str]]
    set_admitting: Callable[[bool], None]
    set_accepting: Callable[[bool], None]
    idle: Callable[[], bool]
    guard: AddressLock


class OrderSender:
    """The only sender of orders to this process's engine.

    Args:
        ctx: Dependencies on the process.
        rng: Random number generator.
    """

    def __init__(self, ctx: OrderSenderContext, rng: random.Random) -> None:
        self._ctx = ctx
        self._rng = rng
        self._status = EngineStatus()
        self._model = ""
        self._admitting = True
        self._published_not_accepting = False
        self._may_hold_slots = False
        self._slots: tuple[Slot, ...] = ()
        self._authority: Authority | None = None
        self._fencing_number = FencingNumber()
        self._lease = 0
        self._predecessor_expired_at_s = 0.0
        self._last_order: Order | None = None
        self._retry_at_s = 0.0
        self._outcome_unknown = False
        self._failures = 0
        self._backoff_rounds = 0

    def start(self) -> None:
        """Runs the first round, then continues in a daemon thread."""
        self.run_round()
        start_forever("engine-orders", self._run)

    def status(self) -> EngineStatus:
        """Returns the engine's status for operators."""
        return self._status

    def model(self) -> str:
        """Returns the model that the engine has loaded; empty when it gets no orders."""
        return self._model

    def run_round(self) -> Step:
        """Reads the state of the engine and the slots, and executes the next step."""
        inputs = self._read_inputs()
        step = decide(inputs)
        self._record_status(inputs, step)
        self._execute(step)
        return step

    def _run(self) -> None:
        while True:
            step = self.run_round()
            if step.action is Action.NOTHING:
                time.sleep(self._pause_s(step.wait))
            else:
                self._backoff_rounds = 0

    def _pause_s(self, wait: WaitReason) -> float:
        if wait in (WaitReason.NOTHING, WaitReason.PREDECESSOR):
            return _IDLE_INTERVAL_S
        if wait in _LOCAL_REASONS:
            return _LOCAL_POLL_S
        self._backoff_rounds += 1
        return backoff_s(self._backoff_rounds, _LOCAL_POLL_S, _MAX_POLL_S, self._rng.random())

    def _read_inputs(self) -> DecisionInput:
        ctx = self._ctx
        service = ctx.service()
        desired = desired_state(service)
        engine = ctx.engine.read().value_or(None) if desired is not None else None
        if desired is None:
            ctx.guard.release()
        inputs = DecisionInput(
            desired=desired,
            engine=engine,
            coordination=None,
            guarded=False,
            admitting=self._admitting,
            idle=ctx.idle(),
            other_hosts=ctx.other_hosts(),
            now_s=time.monotonic(),
            last_order=self._last_order,
            retry_at_s=self._retry_at_s,
            outcome_unknown=self._outcome_unknown,
            predecessor_expired_at_s=self._predecessor_expired_at_s,
        )
        if not needs_coordination(inputs, self._may_hold_slots):
            return inputs
        engine_cfg = service.engine if service is not None else None
        return self._read_coordination(inputs, service, engine_cfg or EngineSettings())

    def _read_coordination(
        self, inputs: DecisionInput, service: Service | None, engine_cfg: EngineSettings
    ) -> DecisionInput:
        ctx = self._ctx
        authority = read_authority(ctx.kv, ctx.me, time.monotonic)
        slots = read_slots(ctx.kv)
        if not isinstance(authority, Success) or not isinstance(slots, Success):
            return inputs
        self._authority, self._slots = authority.unwrap(), slots.unwrap()
        is_registered = self._authority is not None
        self._restart_predecessor_wait(is_registered, service)
        limits = SlotLimits(
            service.name if service is not None else "",
            engine_cfg.reloads_at_once,
            engine_cfg.store_loads,
        )
        self._may_hold_slots = any(slot.holder == ctx.me for slot in self._slots)
        if not is_registered:
            ctx.guard.release()
        return inputs._replace(
            coordination=CoordinationState(is_registered, slot_status(self._slots, limits, ctx.me)),
            guarded=is_registered and ctx.guard.acquire(),
            now_s=time.monotonic(),
            predecessor_expired_at_s=self._predecessor_expired_at_s,
        )

    def _restart_predecessor_wait(self, is_registered: bool, service: Service | None) -> None:
        """Restarts the wait for a predecessor's authority to expire if the lease has changed."""
        lease = self._ctx.lease() if is_registered else 0
        if lease == self._lease:
            return
        self._lease = lease
        checks_fencing = service is not None and service.checks_fencing
        self._predecessor_expired_at_s = time.monotonic() + (
            0.0 if checks_fencing else PREDECESSOR_WAIT_S
        )

    def _record_status(self, inputs: DecisionInput, step: Step) -> None:
        desired, engine = inputs.desired, inputs.engine
        if desired is None:
            self._status, self._model = EngineStatus(), ""
            return
        if engine is not None:
            self._model = engine.model
        text = describe(desired.model, desired.version, desired.role, desired.adapters)
        self._status = EngineStatus(text, _describe(engine), step.wait.value)

    def _execute(self, step: Step) -> None:
        ctx = self._ctx
        if step.action is Action.ACQUIRE_SLOT and self._lease:
            self._may_hold_slots = True
            acquire_slot(ctx.kv, step.key, ctx.me, self._lease)
        elif step.action is Action.RELEASE_SLOTS:
            release_slots(ctx.kv, self._slots, ctx.me)
        elif step.action in (Action.ADMIT, Action.STOP_ADMITTING):
            self._set_admitting(step.action is Action.ADMIT, step.wait)
        elif step.action is Action.SEND and step.order is not None and self._authority is not None:
            self._send(step.order, self._authority)

    def _set_admitting(self, admitting: bool, wait: WaitReason) -> None:
        self._ctx.set_admitting(admitting)
        self._admitting = admitting
        # A stop for a reload (WaitReason.CALLS) is not published: the other replicas see its slot,
        # and owners learn of it from refused calls. Owners forget a refusal within seconds, so
        # calls resume even during an outage of the key-value service.
        if wait is WaitReason.LOADING or self._published_not_accepting:
            self._published_not_accepting = not admitting
            self._ctx.set_accepting(admitting)
        event = "admission_opened" if admitting else "admission_closed"
        logger("orders").info(event, reason=wait.value)

    def _send(self, order: Order, authority: Authority) -> None:
        self._fencing_number = next_fencing_number(self._fencing_number, authority)
        fencing = encode_fencing_number(self._fencing_number)
        outcome = self._ctx.engine.send(order, fencing, authority.until_s)
        failure = None if isinstance(outcome, Success) else outcome.failure()
        if order != self._last_order:
            self._failures = 0
        self._last_order = order
        # An accepted order may appear in the engine's list after a short delay.
        self._outcome_unknown = failure is None or _may_have_run(failure)
        self._failures = 0 if failure is None else self._failures + 1
        wait_s = _UNKNOWN_OUTCOME_WAIT_S if self._outcome_unknown else 0.0
        wait_s += backoff_s(self._failures + 1, _BASE_RETRY_S, _MAX_RETRY_S, self._rng.random())
        self._retry_at_s = time.monotonic() + wait_s
        _log_outcome(order, fencing, failure)


def _may_have_run(failure: Failure) -> bool:
    return not failure.not_run and failure.code not in (Code.OVERLOADED, Code.STALE_EPOCH)


def _log_outcome(order: Order, fencing: int, failure: Failure | None) -> None:
    order_text = f"{order.kind} {order.value}"
    if failure is None:
        logger("orders").info("order_sent", order=order_text, fencing=fencing)
        return
    logger("orders").warning(
        "order_failed",
        order=order_text,
        fencing=fencing,
        code=failure.code.value,
        detail=failure.detail,
    )


def _describe(engine: EngineState | None) -> str:
    if engine is None:
        return "unknown"
    text = describe(engine.model, engine.version, engine.role, engine.adapters)
    return f"{text} (loading {engine.loading})" if engine.loading else text
