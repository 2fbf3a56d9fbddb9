"""The limits on requests that replicas name, and what other entries know of them."""

import contextlib
import copy
import random
import time
from collections.abc import Callable, Collection, Iterator, Mapping

from endiveworks.gateway.rate_limit import (
    NO_RATES,
    LimitedLoad,
    LimitSighting,
    RateLimit,
    Rates,
    limited_slots,
)
from endiveworks.telemetry import logs


class RateLimits:
    """The limits of the replicas that have named one."""

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}
        self._load_of_all: Callable[[str], LimitedLoad] = lambda _: LimitedLoad(NO_RATES, 1.0)

    def set_load(self, load_of_all: Callable[[str], LimitedLoad]) -> None:
        """Sets the function that returns what is known of the load of other entries."""
        self._load_of_all = load_of_all

    def observe(self, replica: str, limit_per_s: float | None) -> None:
        """Records the limit that a response of a replica named; None if it named none."""
        limit = self._limits.get(replica)
        if limit is None and limit_per_s is None:
            return
        limit = limit or self._add(replica)
        if limit.observe(limit_per_s or 0.0, time.monotonic()):
            self._log_change(replica, limit, "response")

    def adopt(self, sightings: Mapping[str, LimitSighting], known: Collection[str]) -> None:
        """Takes over newer limits that other entries have seen, of known replicas."""
        for replica, sighting in sightings.items():
            if replica not in known:
                continue
            limit = self._limits.get(replica) or self._add(replica)
            if limit.adopt(sighting, time.monotonic()):
                self._log_change(replica, limit, "another entry")

    def sightings(self) -> dict[str, LimitSighting]:
        """Returns the limits that other entries should know."""
        now_s = time.monotonic()
        found = {replica: limit.sighting(now_s) for replica, limit in self._limits.items()}
        return {replica: sighting for replica, sighting in found.items() if sighting is not None}

    def rates(self) -> dict[str, Rates]:
        """Returns the rates of this entry's requests for limited replicas."""
        now_s = time.monotonic()
        return {
            name: limit.rates(now_s) for name, limit in self._limits.items() if limit.limit_per_s
        }

    def limited(self) -> frozenset[str]:
        """Returns the ids of the replicas that have a limit now."""
        return frozenset(name for name, limit in self._limits.items() if limit.limit_per_s)

    def admit(self, replica: str) -> bool:
        """Decides whether a request may go to the replica that is its first choice."""
        limit = self._limits.get(replica)
        if limit is None or not limit.limit_per_s:
            return True
        return limit.admit(self._load_of_all(replica), time.monotonic())

    @contextlib.contextmanager
    def without_effect(self) -> Iterator[None]:
        """Decides on copies of the limits meanwhile, so that nothing counts."""
        limits = self._limits
        self._limits = copy.deepcopy(limits)
        try:
            yield
        finally:
            self._limits = limits

    def charge(self, replica: str) -> None:
        """Counts a request that goes to a replica without a decision."""
        limit = self._limits.get(replica)
        if limit is not None and limit.limit_per_s:
            limit.charge(time.monotonic())

    def available_per_s(self, replica: str) -> float:
        """Returns the requests per second that this entry can expect to send to a replica."""
        limit = self._limits.get(replica)
        if limit is None or not limit.limit_per_s:
            return float("inf")
        return limit.available_per_s(self._load_of_all(replica), time.monotonic())

    def slots(self, replica: str, mean_response_s: float) -> float:
        """Returns the slots that a replica's limit lets all entries together use."""
        limit = self._limits.get(replica)
        return limited_slots(limit.limit_per_s if limit else 0.0, mean_response_s)

    def retain(self, replicas: Collection[str]) -> None:
        """Forgets the limits of replicas that are gone."""
        self._limits = {name: limit for name, limit in self._limits.items() if name in replicas}

    def _add(self, replica: str) -> RateLimit:
        return self._limits.setdefault(replica, RateLimit(random.random()))

    def _log_change(self, replica: str, limit: RateLimit, reason: str) -> None:
        load = self._load_of_all(replica)
        now_s = time.monotonic()
        sighting = limit.sighting(now_s)
        logs.logger("gateway").info(
            "replica_limit_changed",
            peer=replica,
            limit_per_s=limit.limit_per_s,
            age_ms=round(sighting.age_s * 1000) if sighting else 0,
            offered_per_s=round(limit.rates(now_s).offered_per_s + load.others.offered_per_s, 1),
            sent_per_s=round(limit.rates(now_s).sent_per_s + load.others.sent_per_s, 1),
            coverage=round(load.coverage, 2),
            reason=reason,
        )
