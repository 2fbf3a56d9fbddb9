"""Gives the engine beside this process the orders that the configuration asks for."""

import random
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from endiveworks.config.bundle import EngineTerms, Service
from endiveworks.engines.orders import EngineOrders
from endiveworks.errors import Code, Failure
from endiveworks.kvservice.kv import Kv
from endiveworks.links.retry import backoff_s
from endiveworks.orders.decide import (
    Action,
    Control,
    Situation,
    Step,
    Wait,
    decide,
    needs_control,
)
from endiveworks.orders.right import SETTLE_S, Fence, Right, next_fence, number, prove
from endiveworks.orders.slots import (
    Holder,
    Limits,
    Slot,
    free_slots,
    read_slots,
    take_slot,
    view_of,
)
from endiveworks.orders.state import EngineState, Order, describe, wanted_of
from endiveworks.telemetry.logs import logger
from returns.result import Success

from .address_guard import AddressGuard
from .operators import EngineRow

_REST_S = 1.0
_LOCAL_WAIT_S = 0.2
_MAX_WAIT_S = 8.0
_BASE_RETRY_S = 1.0
_MAX_RETRY_S = 60.0
# Longer than a request can wait at the engine after its sender has given it up.
_DOUBT_S = 5.0
_LOCAL_WAITS = (Wait.LOADING, Wait.CALLS, Wait.OUTCOME, Wait.ENGINE)


class Around(NamedTuple):
    """What the sender of orders uses of the process around it.

    Attributes:
        me: This process.
        kv: The key-value service.
        engine: Access to the engine.
        service: Returns the service in force; None when no orders are to be given.
        lease: Returns the lease of this process's entry; 0 for none.
        others: Returns the other hosts of the service that take new work.
        admit: Takes new calls from now on, or refuses them.
        take_work: Tells the other processes whether this one takes new work.
        idle: Returns whether no call runs or waits.
        guard: Keeps other processes of the host from giving orders.
    """

    me: Holder
    kv: Kv
    engine: EngineOrders
    service: Callable[[], Service | None]
    lease: Callable[[], int]
    others: Callable[[], frozenset[str]]
    admit: Callable[[bool], None]
    take_work: Callable[[bool], None]
    idle: Callable[[], bool]
    guard: AddressGuard


class OrderSender:
    """The one sender of orders to the engine beside this process.

    Args:
        around: The process around it.
        rng: Source of randomness.
    """

    def __init__(self, around: Around, rng: random.Random) -> None:
        self._around = around
        self._rng = rng
        self._status = EngineRow()
        self._model = ""
        self._admitting = True
        self._announced = False
        self._holding = False
        self._slots: tuple[Slot, ...] = ()
        self._right: Right | None = None
        self._fence = Fence()
        self._lease = 0
        self._settled_at_s = 0.0
        self._tried: Order | None = None
        self._retry_at_s = 0.0
        self._doubtful = False
        self._failures = 0
        self._waits = 0

    def start(self) -> None:
        """Takes a first step, then goes on in a daemon thread."""
        self.run_round()
        threading.Thread(target=self._run, name="engine-orders", daemon=True).start()

    def status(self) -> EngineRow:
        """Returns what operators are shown."""
        return self._status

    def model(self) -> str:
        """Returns the model that the engine has loaded; empty when no orders are given."""
        return self._model

    def run_round(self) -> Step:
        """Looks at the engine and the slots, and takes the next step."""
        situation = self._look()
        step = decide(situation)
        self._note(situation, step)
        self._act(step)
        return step

    def _run(self) -> None:
        while True:
            step = self.run_round()
            if step.action is Action.NOTHING:
                time.sleep(self._pause_s(step.wait))
            else:
                self._waits = 0

    def _pause_s(self, wait: Wait) -> float:
        if wait in (Wait.NOTHING, Wait.PREDECESSOR):
            return _REST_S
        if wait in _LOCAL_WAITS:
            return _LOCAL_WAIT_S
        self._waits += 1
        return backoff_s(self._waits, _LOCAL_WAIT_S, _MAX_WAIT_S, self._rng.random())

    def _look(self) -> Situation:
        around = self._around
        service = around.service()
        wanted = wanted_of(service)
        engine = around.engine.read().value_or(None) if wanted is not None else None
        if wanted is None:
            around.guard.release()
        situation = Situation(
            wanted=wanted,
            engine=engine,
            control=None,
            guarded=False,
            admitting=self._admitting,
            idle=around.idle(),
            others=around.others(),
            now_s=time.monotonic(),
            tried=self._tried,
            retry_at_s=self._retry_at_s,
            doubtful=self._doubtful,
            settled_at_s=self._settled_at_s,
        )
        if not needs_control(situation, self._holding):
            return situation
        terms = service.engine if service is not None else None
        return self._with_control(situation, service, terms or EngineTerms())

    def _with_control(
        self, situation: Situation, service: Service | None, terms: EngineTerms
    ) -> Situation:
        around = self._around
        proven = prove(around.kv, around.me, time.monotonic)
        slots = read_slots(around.kv)
        if not isinstance(proven, Success) or not isinstance(slots, Success):
            return situation
        self._right, self._slots = proven.unwrap(), slots.unwrap()
        in_charge = self._right is not None
        self._settle(in_charge, service)
        limits = Limits(
            service.name if service is not None else "", terms.reloads_at_once, terms.store_loads
        )
        self._holding = any(slot.holder == around.me for slot in self._slots)
        if not in_charge:
            around.guard.release()
        return situation._replace(
            control=Control(in_charge, view_of(self._slots, limits, around.me)),
            guarded=in_charge and around.guard.hold(),
            now_s=time.monotonic(),
            settled_at_s=self._settled_at_s,
        )

    def _settle(self, in_charge: bool, service: Service | None) -> None:
        """Counts anew when this process may have come into its charge after another one."""
        lease = self._around.lease() if in_charge else 0
        if lease == self._lease:
            return
        self._lease = lease
        checks = service is not None and service.checks_fencing
        self._settled_at_s = time.monotonic() + (0.0 if checks else SETTLE_S)

    def _note(self, situation: Situation, step: Step) -> None:
        wanted, engine = situation.wanted, situation.engine
        if wanted is None:
            self._status, self._model = EngineRow(), ""
            return
        if engine is not None:
            self._model = engine.model
        shown = describe(wanted.model, wanted.version, wanted.role, wanted.adapters)
        self._status = EngineRow(shown, _describe(engine), step.wait.value)

    def _act(self, step: Step) -> None:
        around = self._around
        if step.action is Action.TAKE_SLOT and self._lease:
            self._holding = True
            take_slot(around.kv, step.key, around.me, self._lease)
        elif step.action is Action.FREE_SLOTS:
            free_slots(around.kv, self._slots, around.me)
        elif step.action in (Action.ADMIT, Action.STOP_ADMITTING):
            self._admit(step.action is Action.ADMIT, step.wait)
        elif step.action is Action.SEND and step.order is not None and self._right is not None:
            self._send(step.order, self._right)

    def _admit(self, admitting: bool, wait: Wait) -> None:
        self._around.admit(admitting)
        self._admitting = admitting
        # A reload holds a slot, which tells the other replicas. Owners learn of it from refusals,
        # which they forget within seconds, so that calls come again also in an outage.
        if wait is Wait.LOADING or self._announced:
            self._announced = not admitting
            self._around.take_work(admitting)
        event = "admission_opened" if admitting else "admission_closed"
        logger("orders").info(event, reason=wait.value)

    def _send(self, order: Order, right: Right) -> None:
        self._fence = next_fence(self._fence, right)
        fencing = number(self._fence)
        outcome = self._around.engine.send(order, fencing, right.until_s)
        failure = None if isinstance(outcome, Success) else outcome.failure()
        if order != self._tried:
            self._failures = 0
        self._tried = order
        # An order that was accepted may show in the engine's list a little later.
        self._doubtful = failure is None or _may_have_run(failure)
        self._failures = 0 if failure is None else self._failures + 1
        wait_s = _DOUBT_S if self._doubtful else 0.0
        wait_s += backoff_s(self._failures + 1, _BASE_RETRY_S, _MAX_RETRY_S, self._rng.random())
        self._retry_at_s = time.monotonic() + wait_s
        _log(order, fencing, failure)


def _may_have_run(failure: Failure) -> bool:
    return not failure.not_run and failure.code not in (Code.OVERLOADED, Code.STALE_EPOCH)


def _log(order: Order, fencing: int, failure: Failure | None) -> None:
    text = f"{order.kind} {order.value}"
    if failure is None:
        logger("orders").info("order_sent", order=text, fencing=fencing)
        return
    logger("orders").warning(
        "order_failed", order=text, fencing=fencing, code=failure.code.value, detail=failure.detail
    )


def _describe(engine: EngineState | None) -> str:
    if engine is None:
        return "unknown"
    shown = describe(engine.model, engine.version, engine.role, engine.adapters)
    return f"{shown} (loading {engine.loading})" if engine.loading else shown
