"""Holds requests at an entry while their service has too little room; see load_shedding."""

import asyncio
import random
import time
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable, Mapping
from typing import NamedTuple

from endiveworks.gateway.load_shedding import Room, is_short
from endiveworks.gateway.messages import Request
from endiveworks.gateway.overload_queue import Decision, OverloadQueue, Refused
from endiveworks.gateway.request_queue import QueuedRequest

from .refusals import RefusalKind, RefusedError

# Period of the decisions while requests wait; the room also changes by what other entries report.
DECISION_PERIOD_S = 0.05
# Programs whose turns are counted, so that later turns are known.
MAX_PROGRAMS = 4_096


class ServiceRoom(NamedTuple):
    """Room of a service as one entry sees it.

    Attributes:
        room: The room, in which the requests that wait at the gate count as queued.
        share: Requests that this entry may have at the replicas while room is short.
    """

    room: Room
    share: int


RoomOf = Callable[[str, int], ServiceRoom]
OnDecision = Callable[[str, Room, Decision], None]


class OverloadGate:
    """Lets requests pass at once, unless all entries ask more of a service than it has room for.

    Args:
        room_of: Returns the room of a service, from the number of its requests at the gate.
        on_decision: Is told each decision that leaves requests waiting or refuses any.
    """

    def __init__(self, room_of: RoomOf, on_decision: OnDecision = lambda *_: None) -> None:
        self._room_of = room_of
        self._on_decision = on_decision
        self._queues: defaultdict[str, OverloadQueue] = defaultdict(OverloadQueue)
        self._notifications: dict[str, asyncio.Future[None]] = {}
        self._turns: OrderedDict[str, int] = OrderedDict()
        self._ticking: set[str] = set()
        self._passing: Counter[str] = Counter()

    def queued(self, service: str) -> int:
        """Returns the number of a service's requests that wait."""
        return len(self._queues[service]) if service in self._queues else 0

    def passing(self, service: str) -> int:
        """Returns the number of a service's requests that may be sent and aren't at a replica."""
        return self._passing[service]

    def begin(self, service: str) -> None:
        """Counts a request that doesn't have to wait as passing."""
        self._passing[service] += 1

    def end(self, service: str) -> None:
        """Records that a passing request has found a replica, or ends without one."""
        self._passing[service] -= 1

    def places(self) -> dict[int, float]:
        """Returns the places kept for refused callers, and the seconds until they expire."""
        now_s = time.monotonic()
        return {
            k: v for queue in self._queues.values() for k, v in queue.places.share(now_s).items()
        }

    def adopt_places(self, places: Mapping[int, float]) -> None:
        """Takes over places that other entries keep."""
        for queue in self._queues.values():
            queue.places.adopt(places, time.monotonic())

    def refuse_on_arrival(self, service: str, request: Request, queued: QueuedRequest) -> None:
        """Refuses a request that can't be served before anything else is done for it.

        Raises:
            RefusedError: The request can't be served in time.
        """
        queue = self._queues[service]
        room, share = self._room_of(service, len(queue) + 1)
        if not is_short(room):
            return
        req, now_s = self._with_progress(request, queued), time.monotonic()
        refused = queue.refuse_on_arrival(req, room, share, now_s, random.random())
        if refused is not None:
            self._on_decision(service, room, Decision((), (), {}, (refused,)))
            raise _error(refused)

    async def enter(self, service: str, request: Request, queued: QueuedRequest) -> None:
        """Returns when a request may be sent to a replica; it is passing then until `end`.

        Raises:
            RefusedError: The request can't be served in time.
        """
        queue = self._queues[service]
        if len(queue) or is_short(self._room_of(service, 1).room):
            fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._notifications[queued.key] = fut
            queue.add(self._with_progress(request, queued), time.monotonic())
            self.decide(service)
            self._tick(service)
            try:
                await fut
            except asyncio.CancelledError:
                if fut.done() and not fut.cancelled() and fut.exception() is None:
                    self.end(service)  # The caller left just after the decision.
                raise
            finally:
                queue.remove(queued.key)
                self._notifications.pop(queued.key, None)
        else:
            self.begin(service)
        self._count_turn(request)

    def decide(self, service: str) -> None:
        """Decides on all requests of a service that wait."""
        queue = self._queues.get(service)
        if queue is None or not len(queue):
            return
        room, share = self._room_of(service, len(queue))
        decision = queue.decide(room, share, time.monotonic(), random.random())
        for req in decision.starts:
            if self._resolve(req.key, None):
                self.begin(service)
        for refused in decision.refused:
            self._resolve(refused.request.key, _error(refused))
        self._on_decision(service, room, decision)

    def _resolve(self, key: str, error: RefusedError | None) -> bool:
        """Ends the wait of a request; returns whether it was still waiting."""
        fut = self._notifications.get(key)
        if fut is None or fut.done():
            return False
        if error is None:
            fut.set_result(None)
        else:
            fut.set_exception(error)
        return True

    def _tick(self, service: str) -> None:
        if service not in self._ticking:
            self._ticking.add(service)
            asyncio.get_running_loop().call_later(DECISION_PERIOD_S, self._decide_again, service)

    def _decide_again(self, service: str) -> None:
        self._ticking.discard(service)
        self.decide(service)
        if self.queued(service):
            self._tick(service)

    def _with_progress(self, request: Request, queued: QueuedRequest) -> QueuedRequest:
        """Returns a request with what its program is known to have cost."""
        turns = self._turns.get(request.program.program, 0) if request.program else 0
        is_first = queued.is_first and not turns
        return queued._replace(is_first=is_first, spent=float(max(turns, not is_first)))

    def _count_turn(self, request: Request) -> None:
        if request.program is None:
            return
        name = request.program.program
        self._turns[name] = self._turns.pop(name, 0) + 1
        if len(self._turns) > MAX_PROGRAMS:
            self._turns.popitem(last=False)


def _error(refused: Refused) -> RefusedError:
    refusal = refused.refusal
    return RefusedError(refusal.wait_s, refusal.reason, RefusalKind.NO_ROOM, refused.back.after_s)
