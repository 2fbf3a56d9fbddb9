"""Room of services: what their replicas can take, against the requests of all entries."""

import time
from collections import Counter
from collections.abc import Callable, Sequence

from endiveworks.gateway.load_shedding import Room, entry_share
from endiveworks.gateway.placement import MIN_FAULTS, STALL_AFTER_S
from endiveworks.gateway.service_load import ServiceLoad

from .overload_gate import OnDecision, OverloadGate, ServiceRoom
from .replica_state import ReplicaState
from .replica_table import ReplicaGroup, ReplicaTable, recent_failures


class ServiceRooms:
    """What this entry has in flight, and the gate that holds requests while room is short.

    Args:
        table: The replicas.

    Attributes:
        gate: Holds requests while their service has too little room; None if that is off.
    """

    def __init__(self, table: ReplicaTable) -> None:
        self._table = table
        self._running: Counter[str] = Counter()
        self._entry = (0, 1)
        self._others: Callable[[str], ServiceLoad]
        self._news_age_s: Callable[[], float]
        self.gate: OverloadGate | None = None

    def shed_load(
        self,
        others: Callable[[str], ServiceLoad],
        news_age_s: Callable[[], float],
        on_decision: OnDecision,
    ) -> None:
        """Lets requests wait at this entry or be refused while a service has too little room.

        Args:
            others: Returns the requests of other entries for a service.
            news_age_s: Returns the age of what is known of other entries, in seconds.
            on_decision: Is told the decisions.
        """
        self._others, self._news_age_s = others, news_age_s
        self.gate = OverloadGate(self._room, on_decision)

    def set_entry(self, number: int, entries: int) -> None:
        """Sets the number of this entry, from 0, among those of the deployment."""
        self._entry = (number, max(1, entries))

    def gate_of(self, service: str) -> OverloadGate | None:
        """Returns the gate that holds the requests for a service; None if nothing does.

        Requests for plain services are on their way for as long as they run, so entries that held
        them back would leave slots idle.
        """
        return self.gate if service in self._table.engine_services else None

    def record_start(self, service: str) -> None:
        """Records that a request for a service was sent to a replica."""
        self._running[service] += 1

    def record_end(self, service: str) -> None:
        """Records that a replica no longer works on a request, and decides on those that wait."""
        self._running[service] -= 1
        gate = self.gate_of(service)
        if gate is not None:
            gate.decide(service)

    def loads(self) -> dict[str, ServiceLoad]:
        """Returns this entry's requests by service; empty unless load is shed."""
        gate = self.gate
        if gate is None:
            return {}
        loads = {
            name: ServiceLoad(self._sent(name), gate.queued(name))
            for name in self._table.engine_services
        }
        return {name: load for name, load in loads.items() if any(load)}

    def _room(self, service: str, queued: int) -> ServiceRoom:
        """Returns the room of a service, from the number of its requests that wait at the gate."""
        states = self._table.usable(ReplicaGroup(service))
        mean_s = self._table.mean_response_s(service)
        slots = self._usable_slots(states, mean_s)
        others = self._others(service)
        room = Room(
            sum(slots),
            self._sent(service),
            queued,
            others.in_flight,
            others.queued,
            mean_s,
            self._news_age_s(),
        )
        return ServiceRoom(room, entry_share(room, *self._entry))

    def _sent(self, service: str) -> int:
        """Returns this entry's requests that are at replicas of a service or on their way."""
        passing = self.gate.passing(service) if self.gate else 0
        return self._running[service] + passing

    def _usable_slots(self, states: Sequence[ReplicaState], mean_s: float) -> list[float]:
        """Returns the slots of replicas, as far as limits allow; those in trouble have none."""
        now_s = time.monotonic()
        return [
            (
                0.0
                if recent_failures(s) >= MIN_FAULTS or s.stalled_s(now_s) > STALL_AFTER_S
                else min(s.replica.slots, self._table.limits.slots(s.replica.id, mean_s))
            )
            for s in states
        ]
