"""Replicas of all services and the queues of requests that wait for one."""

import asyncio
import math
import time
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from endiveworks.gateway.messages import Replica, Request
from endiveworks.gateway.outcomes import Trial
from endiveworks.gateway.placement import Location, ReplicaChoice
from endiveworks.gateway.request_queue import (
    QueuedRequest,
    RequestQueue,
    cannot_meet_deadline,
    expected_wait_s,
)
from endiveworks.gateway.routes import Service

from .program_rooms import ProgramLoad, ProgramRooms
from .refusals import RefusalKind, RefusedError
from .replica_choice import MAX_IN_FLIGHT_FACTOR, ReplicaSelector
from .replica_state import InFlightRequest
from .replica_table import ReplicaGroup, ReplicaTable
from .service_rooms import ServiceRooms

# Period of the tries of requests that wait until the limits of replicas let them through.
LIMIT_RETRY_S = 0.05


class ReplicaLoad(NamedTuple):
    """Load of a replica from this process.

    Attributes:
        failure_domain: Its failure domain.
        in_flight: Requests of this process in flight there.
        slots: Its slots.
    """

    failure_domain: str
    in_flight: int
    slots: int


class Preview(NamedTuple):
    """What would become of a request now.

    Attributes:
        choice: The replica that it would be sent to; without one it would wait.
        waiting: Number of requests that wait before it is looked at.
        refusal: Why it would be refused; empty if it would not.
    """

    choice: ReplicaChoice
    waiting: int
    refusal: str


class Fleet:
    """The replicas of all services, and the queues of requests that wait for one.

    Args:
        here: Location of this process.
        bounds_memory: Whether requests wait until they fit into a replica's memory.

    Attributes:
        table: The replicas.
        rooms: The room of their services.
        limits: Limits on requests that replicas have named.
        programs: Admission of new programs.
    """

    def __init__(self, here: Location, bounds_memory: bool = False) -> None:
        self.here = here
        self.table = ReplicaTable()
        self.rooms = ServiceRooms(self.table)
        self.limits = self.table.limits
        self._selector = ReplicaSelector(here, self.table, bounds_memory)
        self.programs = ProgramRooms(self._program_load)
        self._news_age_s: Callable[[], float] = lambda: math.inf
        self._queues: dict[ReplicaGroup, RequestQueue] = {}
        self._notifications: dict[str, asyncio.Future[None]] = {}
        self._limit_retries: set[ReplicaGroup] = set()

    def update(self, listed: Mapping[str, Replica], services: Mapping[str, Service]) -> None:
        """Applies a new list of replicas from service discovery."""
        self.table.update(listed, services)
        for group in list(self._queues):
            self._notify(group)

    def set_other_demand(
        self,
        other_demand: Callable[[str], int],
        news_age_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        """Sets the functions that return what is known of other entries.

        Args:
            other_demand: Returns the turns of other entries that prefer a replica.
            news_age_s: Returns the age of that, in seconds.
        """
        self._selector.set_other_demand(other_demand)
        self._news_age_s = news_age_s

    def demands(self) -> dict[str, int]:
        """Returns the turns in flight from this process by the replica that they prefer."""
        return self._selector.demands()

    def _program_load(self, service: str) -> ProgramLoad | None:
        if service not in self.table.engine_services or self.rooms.gate is not None:
            return None
        states = self.table.eligible(ReplicaGroup(service))
        mean_s = self.table.mean_response_s(service)
        # By the findings of all entries, which each know few of the replicas that fail.
        slots = sum(
            min(s.replica.slots, self.limits.slots(s.replica.id, mean_s))
            for s in states
            if not s.outcomes.is_seen_failing
        )
        running = sum(self._selector.demand(s.replica.id) for s in states)
        return ProgramLoad(running, slots, self._news_age_s())

    async def acquire(
        self,
        group: ReplicaGroup,
        request: Request,
        queued: QueuedRequest,
        excluded: Collection[str],
        spread_key: str = "",
        trial: Trial = Trial.NEVER,
    ) -> ReplicaChoice:
        """Returns the replica for a request; queues it by urgency while no slot is free.

        Args:
            group: Replicas that may serve the request.
            request: The request.
            queued: The request as an element of the group's queue.
            excluded: Replicas that refused this request or failed to serve it.
            spread_key: Key whose hash selects the replica, rather than a cached prompt or object;
                empty for none.
            trial: Whether the request may be used as a trial of a failing replica.

        Raises:
            RefusedError: There is no replica, or none will have a free slot in time.
        """
        gate = self.rooms.gate_of(group.service)
        if gate is None:
            return await self._acquire_slot(group, request, queued, excluded, spread_key, trial)
        if excluded or group.version is not None:
            gate.begin(group.service)  # It was admitted before.
        else:
            await gate.enter(group.service, request, queued)
        try:
            return await self._acquire_slot(group, request, queued, excluded, spread_key, trial)
        finally:
            gate.end(group.service)

    async def _acquire_slot(
        self,
        group: ReplicaGroup,
        request: Request,
        queued: QueuedRequest,
        excluded: Collection[str],
        spread_key: str,
        trial: Trial,
    ) -> ReplicaChoice:
        queue = self._queues.get(group, RequestQueue())
        choice = (
            self._selector.choose(group, request, excluded, spread_key, trial)
            if not len(queue)
            else ReplicaChoice("", 0.0)
        )
        if choice.replica:
            return choice
        self._check_capacity(group, queued, excluded, queue)
        queue = self._queues.setdefault(group, queue)
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._notifications[queued.key] = fut
        queue.add(queued)
        self._notify(group)
        self._schedule_limit_retry(group)
        try:
            while True:
                await fut
                choice = self._selector.choose(group, request, excluded, spread_key, trial)
                if choice.replica:
                    return choice
                self._check_capacity(group, queued, excluded, queue)
                queue = self._queues.setdefault(group, queue)
                fut = self._notifications[queued.key] = asyncio.get_running_loop().create_future()
                queue.add(queued)
                self._schedule_limit_retry(group)
        finally:
            queue.remove(queued.key)
            self._notifications.pop(queued.key, None)
            self._notify(group)
            if group in self._queues and not len(self._queues[group]):
                del self._queues[group]  # Versions come and go.

    def preview(
        self,
        group: ReplicaGroup,
        request: Request,
        queued: QueuedRequest,
        excluded: Collection[str],
    ) -> Preview:
        """Returns what acquire would decide now, without any effect."""
        queue = self._queues.get(group, RequestQueue())
        with self.limits.without_effect():
            choice = self._selector.choose(group, request, excluded, "")
        refusal = ""
        if len(queue) or not choice.replica:
            try:
                self._check_capacity(group, queued, excluded, queue)
            except RefusedError as refused:
                refusal = refused.reason
        return Preview(choice, len(queue), refusal)

    def load(self, replica: str) -> ReplicaLoad:
        """Returns the load of a replica that is known."""
        state = self.table.state(replica)
        assert state is not None
        return ReplicaLoad(state.replica.failure_domain, state.in_flight, state.replica.slots)

    def track_request(
        self, service: str, replica: str, request: Request, preferred: str = ""
    ) -> InFlightRequest:
        """Counts a request as in flight at a replica until its `end` is called.

        Args:
            service: Service of the replica.
            replica: Id of the replica.
            request: The request.
            preferred: Replica that the request's program prefers; empty for none.
        """
        state = self.table.state(replica)
        if state:
            state.cached_parts.add(request.parts)
        self._selector.record_start(preferred)
        self.rooms.record_start(service)

        def on_end(took_s: float) -> None:
            self.table.record_response_time(service, took_s)
            self._selector.record_end(preferred)
            self.rooms.record_end(service)
            self._notify_service(service)

        return InFlightRequest(state, on_end, request)

    def _check_capacity(
        self,
        group: ReplicaGroup,
        queued: QueuedRequest,
        excluded: Collection[str],
        queue: RequestQueue,
    ) -> None:
        mean_s = self.table.mean_response_s(group.service)
        usable = [s for s in self.table.usable(group, excluded) if s.replica.id not in excluded]
        if not usable and group.version is not None:
            raise RefusedError(
                mean_s,
                "no replica of the version that began it is available",
                RefusalKind.NO_VERSION,
            )
        if not usable:
            raise RefusedError(mean_s, "no replica is available", RefusalKind.NO_REPLICA)
        ahead = queue.count_ahead(queued.priority)
        wait_s = expected_wait_s(ahead, self._capacity(group), mean_s)
        if cannot_meet_deadline(wait_s, queued.deadline_s - time.monotonic()):
            limited = self.table.limits.limited()
            is_limited = any(s.replica.id in limited for s in usable)
            cause = "the limits of the replicas leave" if is_limited else "the expected wait leaves"
            raise RefusedError(wait_s, f"{cause} too little time to respond")

    def _notify_service(self, service: str) -> None:
        groups = [group for group in self._queues if group.service == service]
        # Callers of streams that have begun notice each pause.
        for group in sorted(groups, key=lambda group: group.version is None):
            self._notify(group)

    def _notify(self, group: ReplicaGroup) -> None:
        """Lets as many of the first queued requests retry as there are free slots."""
        queue = self._queues.get(group)
        if queue is None or not len(queue):
            return
        limited = self.table.limits.limited()
        free = sum(
            max(0, math.ceil(s.replica.slots * MAX_IN_FLIGHT_FACTOR) - s.in_flight)
            for s in self.table.usable(group)
            if s.replica.id not in limited
        )
        self._wake(queue, free)

    def _wake(self, queue: RequestQueue, count: int) -> None:
        for _ in range(count):
            queued = queue.pop(time.monotonic())
            if queued is None:
                return
            fut = self._notifications.get(queued.key)
            if fut is not None and not fut.done():
                fut.set_result(None)

    def _schedule_limit_retry(self, group: ReplicaGroup) -> None:
        """Retries queued requests after a while, if replicas of their group have limits."""
        limited = self.table.limits.limited()
        if group in self._limit_retries or not any(
            s.replica.id in limited for s in self.table.usable(group)
        ):
            return
        self._limit_retries.add(group)
        asyncio.get_running_loop().call_later(LIMIT_RETRY_S, self._retry_limited, group)

    def _retry_limited(self, group: ReplicaGroup) -> None:
        """Lets as many of the first queued requests retry as the limits may let through."""
        self._limit_retries.discard(group)
        queue = self._queues.get(group)
        if queue is None or not len(queue):
            return
        limited = self.table.limits.limited()
        available_per_s = sum(
            self.table.limits.available_per_s(s.replica.id)
            for s in self.table.usable(group)
            if s.replica.id in limited
        )
        self._wake(queue, max(1, math.ceil(available_per_s * LIMIT_RETRY_S)))
        self._schedule_limit_retry(group)

    def _capacity(self, group: ReplicaGroup) -> float:
        """Returns the slots that this entry can use, as far as limits on requests allow."""
        mean_s = self.table.mean_response_s(group.service)
        return sum(
            min(
                math.ceil(s.replica.slots * MAX_IN_FLIGHT_FACTOR),
                self.table.limits.available_per_s(s.replica.id) * mean_s,
            )
            for s in self.table.usable(group)
        )
