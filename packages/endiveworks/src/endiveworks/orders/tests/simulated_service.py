"""In-process simulation of a service's replicas: engines, slots and order senders."""

from endiveworks.orders.decide import Action, CoordinationState, DecisionInput, Step, decide
from endiveworks.orders.slots import Holder, Slot, SlotLimits, slot_status
from endiveworks.orders.state import DesiredState, EngineState, Order, interrupts_serving, serves

PREFIX = "/endiveworks/reloads/"
INITIAL = EngineState("m", "1", "", (), "", 0)


class Replica:
    """An engine and its upstream process."""

    def __init__(self, host: str) -> None:
        self.me = Holder(host, 1)
        self.engine = INITIAL
        self.admitting = True
        self.calls = 0
        self.last_order: Order | None = None
        self.next = Step(Action.NOTHING)
        self.executed: list[Order] = []

    def serves_calls(self) -> bool:
        return self.admitting and serves(self.engine)


class SimulatedService:
    """Replicas that advance one step at a time, as a test directs."""

    def __init__(self, replicas: int, desired: DesiredState, reloads: int, loads: int) -> None:
        self.replicas = [Replica(f"up-{index}") for index in range(replicas)]
        self.desired = desired
        self.limits = SlotLimits("assistant", reloads, loads)
        self.slots: dict[str, Slot] = {}
        self.kv_up = True
        self.revision = 0
        self.interrupted_calls = 0

    def run_round(
        self, replica: Replica, lose_order: bool = False, lose_reply: bool = False
    ) -> Step:
        """Executes the step that a process decided on last, then decides on the next one."""
        step = replica.next
        if step.action is Action.ACQUIRE_SLOT and step.key not in self.slots:
            self.revision += 1
            self.slots[step.key] = Slot(step.key, replica.me, self.revision)
        elif step.action is Action.RELEASE_SLOTS:
            own = [key for key, slot in self.slots.items() if slot.holder == replica.me]
            for key in own:
                del self.slots[key]
        elif step.action in (Action.ADMIT, Action.STOP_ADMITTING):
            replica.admitting = step.action is Action.ADMIT
        elif step.action is Action.SEND and step.order is not None and not lose_order:
            self.execute(replica, step.order)
            replica.last_order = step.order if lose_reply else None
        replica.next = decide(self.inputs(replica))
        return step

    def inputs(self, replica: Replica) -> DecisionInput:
        slots = slot_status(self.slots.values(), self.limits, replica.me)
        other_hosts = {other.me.host for other in self.replicas if serves(other.engine)}
        return DecisionInput(
            desired=self.desired,
            engine=replica.engine,
            coordination=CoordinationState(True, slots) if self.kv_up else None,
            guarded=True,
            admitting=replica.admitting,
            idle=replica.calls == 0,
            other_hosts=frozenset(other_hosts - {replica.me.host}),
            now_s=0.0,
            last_order=replica.last_order,
            retry_at_s=1.0,
            outcome_unknown=True,
            predecessor_expired_at_s=0.0,
        )

    def execute(self, replica: Replica, order: Order) -> None:
        replica.executed.append(order)
        if interrupts_serving(order):
            self.interrupted_calls += replica.calls
            replica.calls = 0
        replica.engine = replica.engine._replace(loading=f"{order.kind} {order.value}")

    def finish(self, replica: Replica) -> None:
        """Completes the order that an engine is executing."""
        kind, _, value = replica.engine.loading.partition(" ")
        engine = replica.engine._replace(loading="")
        if kind == "load_model":
            engine = engine._replace(model=value, version="", adapters=())
        elif kind == "set_version":
            engine = engine._replace(version=value)
        elif kind == "set_role":
            engine = engine._replace(role=value)
        elif kind == "load_adapter":
            engine = engine._replace(adapters=(*engine.adapters, value))
        replica.engine = engine

    def restart(self, replica: Replica) -> None:
        """Kills and replaces a process; its slots are released with its lease."""
        self.slots = {key: slot for key, slot in self.slots.items() if slot.holder != replica.me}
        replica.me = replica.me._replace(incarnation=replica.me.incarnation + 1)
        replica.admitting, replica.calls, replica.last_order = True, 0, None
        replica.next = Step(Action.NOTHING)

    def loading(self) -> int:
        return sum(bool(replica.engine.loading) for replica in self.replicas)
