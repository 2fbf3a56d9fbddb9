"""Replicas of a service in one process: engines, slots and the senders' decisions."""

from endiveworks.orders.decide import Action, Control, Situation, Step, decide
from endiveworks.orders.slots import Holder, Limits, Slot, view_of
from endiveworks.orders.state import EngineState, Order, Wanted, interrupts, serves

PREFIX = "/endiveworks/reloads/"
EMPTY = EngineState("m", "1", "", (), "", 0)


class Replica:
    """An engine and the process beside it."""

    def __init__(self, host: str) -> None:
        self.me = Holder(host, 1)
        self.engine = EMPTY
        self.admitting = True
        self.calls = 0
        self.tried: Order | None = None
        self.next = Step(Action.NOTHING)
        self.executed: list[Order] = []

    def takes_calls(self) -> bool:
        return self.admitting and serves(self.engine)


class Site:
    """Replicas whose every step a test chooses."""

    def __init__(self, replicas: int, wanted: Wanted, reloads: int, loads: int) -> None:
        self.replicas = [Replica(f"up-{at}") for at in range(replicas)]
        self.wanted = wanted
        self.limits = Limits("assistant", reloads, loads)
        self.slots: dict[str, Slot] = {}
        self.kv_up = True
        self.revision = 0
        self.cut_off = 0

    def round(self, replica: Replica, lose_order: bool = False, lose_answer: bool = False) -> Step:
        """Lets a process act on what it saw at its last step, and look again."""
        step = replica.next
        if step.action is Action.TAKE_SLOT and step.key not in self.slots:
            self.revision += 1
            self.slots[step.key] = Slot(step.key, replica.me, self.revision)
        elif step.action is Action.FREE_SLOTS:
            own = [key for key, slot in self.slots.items() if slot.holder == replica.me]
            for key in own:
                del self.slots[key]
        elif step.action in (Action.ADMIT, Action.STOP_ADMITTING):
            replica.admitting = step.action is Action.ADMIT
        elif step.action is Action.SEND and step.order is not None and not lose_order:
            self.execute(replica, step.order)
            replica.tried = step.order if lose_answer else None
        replica.next = decide(self.situation(replica))
        return step

    def situation(self, replica: Replica) -> Situation:
        slots = view_of(self.slots.values(), self.limits, replica.me)
        others = {other.me.host for other in self.replicas if serves(other.engine)}
        return Situation(
            wanted=self.wanted,
            engine=replica.engine,
            control=Control(True, slots) if self.kv_up else None,
            guarded=True,
            admitting=replica.admitting,
            idle=replica.calls == 0,
            others=frozenset(others - {replica.me.host}),
            now_s=0.0,
            tried=replica.tried,
            retry_at_s=1.0,
            doubtful=True,
            settled_at_s=0.0,
        )

    def execute(self, replica: Replica, order: Order) -> None:
        replica.executed.append(order)
        if interrupts(order):
            self.cut_off += replica.calls
            replica.calls = 0
        replica.engine = replica.engine._replace(loading=f"{order.kind} {order.value}")

    def finish(self, replica: Replica) -> None:
        """Ends a load."""
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
        """Kills and replaces a process; its slots lapse."""
        self.slots = {key: slot for key, slot in self.slots.items() if slot.holder != replica.me}
        replica.me = replica.me._replace(incarnation=replica.me.incarnation + 1)
        replica.admitting, replica.calls, replica.tried = True, 0, None
        replica.next = Step(Action.NOTHING)

    def loading(self) -> int:
        return sum(bool(replica.engine.loading) for replica in self.replicas)
