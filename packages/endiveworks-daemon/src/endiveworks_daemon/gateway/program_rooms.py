"""Refuses new programs while their service has too little room; see program_admission."""

import math
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from endiveworks.gateway.program_admission import ProgramAdmission
from endiveworks.gateway.request_queue import retry_after_s
from endiveworks.gateway.routes import RouteType, RoutingTable
from endiveworks.telemetry import logs

from .exchange import Exchange, HttpError

STATUS_UNAVAILABLE = 503
# Mean time after which the caller of a refused program is asked to return. The load has changed by
# then, if it does; a program can spare some of these times.
RETURN_S = 0.5
MIN_READ_PERIOD_S = 0.02  # Time for which a load counts, as reading it looks at each replica.
MIN_LOG_PERIOD_S = 1.0  # Time between two lines on the admission of one service.
# Mean time of a write to the disks that counts as a load of 1. It is several times the usual one,
# also across regions; a link to the disks is full then.
SLOW_STORE_S = 0.4


class ProgramLoad(NamedTuple):
    """Load of a service's replicas by programs.

    Attributes:
        running: Requests of all entries at the replicas, as far as known.
        slots: Requests that the usable replicas can run at once.
        age_s: Age of what is known of other entries, in seconds.
    """

    running: float
    slots: float
    age_s: float


class ProgramRooms:
    """Admission of new programs, by service.

    Args:
        load_of: Returns the load of a service; None if no program is refused there, as it has no
            engines or load shedding is on.
    """

    def __init__(self, load_of: Callable[[str], ProgramLoad | None]) -> None:
        self._load_of = load_of
        self._store_time_s: Callable[[], float] = lambda: 0.0
        self._admissions: dict[str, ProgramAdmission] = {}
        self._read_s: dict[str, float] = {}
        self._logged: dict[str, tuple[str, float]] = {}
        self._version = -1
        self._least_urgent: dict[str, int] = {}

    def set_store_time(self, store_time_s: Callable[[], float]) -> None:
        """Sets the function that returns how long writes to the disks take lately, in seconds."""
        self._store_time_s = store_time_s

    def would_refuse(self, ex: Exchange) -> bool:
        """Returns whether a turn is refused unless its program is under way."""
        request = ex.request
        if request.program is None or request.resume_after is not None:
            return False
        admission = self._read_load(ex.service)
        if admission is None:
            return False
        name = ex.scoped(request.program.program)
        if request.previous_turn or not admission.would_refuse(name, self._is_urgent(ex)):
            admission.record(name)
            return False
        return True

    def refuse(self, ex: Exchange, is_under_way: bool) -> None:
        """Refuses a turn for which would_refuse holds.

        Args:
            ex: The request; it has not been sent to a replica.
            is_under_way: Whether other turns of its program were served, at any entry.

        Raises:
            HttpError: Its program is new.
        """
        assert ex.request.program is not None
        if is_under_way:
            admission = self._admissions.setdefault(ex.service, ProgramAdmission())
            admission.record(ex.scoped(ex.request.program.program))
            return
        wait_s = retry_after_s(RETURN_S, random.random())
        raise HttpError(STATUS_UNAVAILABLE, "there is too little room for new programs", wait_s)

    def _read_load(self, service: str) -> ProgramAdmission | None:
        """Returns the admission to a service with its load; None if none is refused."""
        now_s = time.monotonic()
        if now_s - self._read_s.get(service, -math.inf) < MIN_READ_PERIOD_S:
            return self._admissions.get(service)
        self._read_s[service] = now_s
        load = self._load_of(service)
        if load is None:
            self._admissions.pop(service, None)
            return None
        admission = self._admissions.setdefault(service, ProgramAdmission())
        if load.slots:  # Requests are refused for another reason otherwise.
            store_s = self._store_time_s()
            admission.update(max(load.running / load.slots, store_s / SLOW_STORE_S), now_s)
            self._log(service, admission, load, store_s)
        return admission

    def _is_urgent(self, ex: Exchange) -> bool:
        if ex.table.version != self._version:
            self._version, self._least_urgent = ex.table.version, _least_urgent(ex.table)
        return ex.route.priority < self._least_urgent.get(ex.service, ex.route.priority)

    def _log(
        self, service: str, admission: ProgramAdmission, load: ProgramLoad, store_s: float
    ) -> None:
        state = "part" if admission.refused_share(is_urgent=False) else "all"
        before, at_s = self._logged.get(service, ("all", 0.0))
        now_s = time.monotonic()
        if state == before or now_s - at_s < MIN_LOG_PERIOD_S:
            return
        self._logged[service] = (state, now_s)
        logs.logger("gateway").info(
            "admission_changed",
            service=service,
            state=state,
            running=round(load.running),
            slots=round(load.slots, 1),
            age_ms=round(load.age_s * 1000) if load.age_s < math.inf else -1,
            wait_ms=round(store_s * 1000),
        )


def _least_urgent(table: RoutingTable) -> dict[str, int]:
    """Returns the highest priority number of the streaming routes to each service."""
    found: dict[str, int] = {}
    for routes in table.routes.values():
        for route in routes:
            for share in route.shares if route.type is RouteType.STREAMING else ():
                found[share.service] = max(route.priority, found.get(share.service, 0))
    return found
