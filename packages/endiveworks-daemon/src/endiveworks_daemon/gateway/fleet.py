"""Replicas as this process knows them: load, prompts, faults; and who gets one next."""

import asyncio
import math
import time
from collections.abc import Collection, Mapping

from endiveworks.gateway.messages import Replica, Request
from endiveworks.gateway.pace import slowness
from endiveworks.gateway.placement import Candidate, Choice, Place, choose, home
from endiveworks.gateway.routes import Service
from endiveworks.gateway.waiting import Waiter, WaitingLine, expected_wait_s, is_hopeless

from .known import Known, UnderWay

# Requests of this process that a replica takes at once, as a multiple of its slots.
PLACES_X = 1.0
# Time in which what is held against a replica for a fault halves.
FAULT_HALF_LIFE_S = 2.0
# Replicas go on serving for some seconds after they have left the list.
LAST_RESORT_S = 2.0
MEAN_WEIGHT = 0.1  # Weight of the newest answer in a service's mean time.
FIRST_MEAN_S = 0.2  # Taken as the time of an answer until one has come.


class RefusedError(Exception):
    """Raised when no replica can take a request in time.

    Attributes:
        wait_s: When there should be room.
        reason: Why, for the logs.
    """

    def __init__(self, wait_s: float, reason: str) -> None:
        super().__init__(reason)
        self.wait_s = wait_s
        self.reason = reason


class Fleet:
    """The replicas of all services, and the requests that wait for one."""

    def __init__(self, here: Place) -> None:
        self._here = here
        self._known: dict[str, Known] = {}
        self._lines: dict[str, WaitingLine] = {}
        self._wakers: dict[str, asyncio.Future[None]] = {}
        self._mean_s: dict[str, float] = {}

    def update(self, listed: Mapping[str, Replica], services: Mapping[str, Service]) -> None:
        """Takes a new list of replicas."""
        now_s = time.monotonic()
        for name, known in list(self._known.items()):
            leaves = name not in listed or listed[name].draining
            known.left_s = (known.left_s or now_s) if leaves else None
            if name not in listed and now_s - (known.left_s or now_s) > LAST_RESORT_S:
                del self._known[name]
        for name, replica in listed.items():
            if name in self._known:
                self._known[name].listed = replica
                continue
            service = services.get(replica.service)
            engine = service.engine if service else None
            added = Known(replica, engine.memory_tokens if engine else 0)
            added.left_s = now_s if replica.draining else None
            self._known[name] = added
        for service_name in list(self._lines):
            self._wake(service_name)

    def ids(self) -> frozenset[str]:
        """Returns the ids of all replicas."""
        return frozenset(self._known)

    def address(self, replica: str) -> str:
        """Returns the address of a replica; empty when it is gone."""
        known = self._known.get(replica)
        return known.listed.address if known else ""

    async def acquire(
        self, service: str, request: Request, waiter: Waiter, excluded: Collection[str]
    ) -> Choice:
        """Returns the replica for a request, after waiting for room in the order of urgency.

        Raises:
            RefusedError: There is no replica, or none will have room in time.
        """
        line = self._lines.setdefault(service, WaitingLine())
        choice = self._choose(service, request, excluded) if not len(line) else Choice("", 0.0)
        if choice.replica:
            return choice
        self._check(service, waiter, excluded, line)
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._wakers[waiter.key] = fut
        line.add(waiter)
        self._wake(service)
        try:
            while True:
                await fut
                choice = self._choose(service, request, excluded)
                if choice.replica:
                    return choice
                self._check(service, waiter, excluded, line)
                fut = self._wakers[waiter.key] = asyncio.get_running_loop().create_future()
                line.add(waiter)
        finally:
            line.remove(waiter.key)
            self._wakers.pop(waiter.key, None)
            self._wake(service)

    def begin(self, service: str, replica: str, request: Request) -> UnderWay:
        """Counts a request as under way at a replica until it is ended."""
        known = self._known.get(replica)
        if known:
            known.held.add(request.parts)

        def ended(took_s: float) -> None:
            mean_s = self._mean(service)
            self._mean_s[service] = mean_s + MEAN_WEIGHT * (took_s - mean_s)
            self._wake(service)

        return UnderWay(known, ended)

    def blame(self, replica: str) -> None:
        """Notes a fault of a replica, so that others go first for some time."""
        known = self._known.get(replica)
        if known:
            known.faults = self._faults(known) + 1.0
            known.faulted_s = time.monotonic()

    def has_other(self, service: str, but: Collection[str]) -> bool:
        """Tells whether a service has a replica that is not among some."""
        return any(known.listed.id not in but for known in self._of(service))

    def usual_s(self, service: str) -> float:
        """Returns the mean time of a service's answers."""
        return self._mean(service)

    def _check(
        self, service: str, waiter: Waiter, excluded: Collection[str], line: WaitingLine
    ) -> None:
        usable = [k for k in self._of(service) if k.listed.id not in excluded]
        if not usable:
            raise RefusedError(self._mean(service), "no replica takes the request")
        wait_s = expected_wait_s(
            line.ahead(waiter.priority), self._places(service), self._mean(service)
        )
        if is_hopeless(wait_s, waiter.give_up_s - time.monotonic()):
            raise RefusedError(wait_s, "the wait would be too long")

    def _wake(self, service: str) -> None:
        """Lets the first waiting requests try, as many as there are places free."""
        line = self._lines.get(service)
        if line is None or not len(line):
            return
        free = sum(max(0, math.ceil(k.listed.slots * PLACES_X) - k.sent) for k in self._of(service))
        for _ in range(free):
            waiter = line.take(time.monotonic())
            if waiter is None:
                return
            fut = self._wakers.get(waiter.key)
            if fut is not None and not fut.done():
                fut.set_result(None)

    def _of(self, service: str) -> list[Known]:
        """Returns the replicas that may take requests of a service.

        Where all have left the list at once, their registrations have probably lapsed; those that
        left within LAST_RESORT_S still serve.
        """
        known = [k for k in self._known.values() if k.listed.service == service]
        staying = [k for k in known if k.left_s is None]
        now_s = time.monotonic()
        return staying or [k for k in known if now_s - (k.left_s or 0.0) < LAST_RESORT_S]

    def _places(self, service: str) -> int:
        return sum(math.ceil(k.listed.slots * PLACES_X) for k in self._of(service))

    def _mean(self, service: str) -> float:
        return self._mean_s.get(service, FIRST_MEAN_S)

    def _choose(self, service: str, request: Request, excluded: Collection[str]) -> Choice:
        known = {k.listed.id: k for k in self._of(service)}
        paces = [k.pace for k in known.values()]
        now_s = time.monotonic()
        candidates = [
            Candidate(
                name,
                k.listed.failure_domain,
                k.listed.region,
                k.listed.slots,
                k.sent,
                faults=self._faults(k),
                slowness=slowness(k.pace, paces, now_s),
                usual_ms=self._mean(service) * 1000,
                stalled_s=k.stalled_s(now_s),
            )
            for name, k in known.items()
        ]
        preferred = home(request.program.program, self._here, candidates) if request.program else ""
        candidates = [
            c._replace(missing_tokens=_missing(known[c.replica], request, c.replica == preferred))
            for c in candidates
        ]
        return choose(self._here, candidates, excluded, PLACES_X)

    def _faults(self, known: Known) -> float:
        age_s = time.monotonic() - known.faulted_s
        return known.faults * math.pow(0.5, age_s / FAULT_HALF_LIFE_S)


def _missing(known: Known, request: Request, is_home: bool) -> int:
    """Returns the prompt tokens that a replica would have to compute.

    The replica that other processes prefer for the program as well is taken to hold its prompt.
    """
    if is_home:
        return 0
    return sum(part.tokens for part in request.parts) - known.held.held_tokens(request.parts)
