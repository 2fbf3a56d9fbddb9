"""Replicas of all services as this process knows them."""

import math
import random
import time
from collections import OrderedDict
from collections.abc import Collection, Mapping
from typing import NamedTuple

from endiveworks.gateway.messages import Replica
from endiveworks.gateway.outcomes import (
    ERROR_SHARE,
    UNKNOWN_SOURCE,
    Sighting,
    Source,
    TrialBudget,
    avoided,
)
from endiveworks.gateway.placement import silence_limit_s
from endiveworks.gateway.rate_limit import LimitSighting
from endiveworks.gateway.routes import Service
from endiveworks.telemetry import logs

from .rate_limits import RateLimits
from .replica_state import ReplicaState

# Half-life of the penalty that a replica gets for a failure.
FAILURE_HALF_LIFE_S = 2.0
# Failures that are counted at most, so that a replica that is sound again is soon used again.
MAX_FAILURES = 2.0
# A replica that sends no event of any stream for this long, while some wait, has failed them.
STREAM_SILENCE_S = 1.0
# Replicas keep serving for some seconds after they have left service discovery.
DELISTED_GRACE_S = 2.0
# A leaving replica gets a request again that it had before within this time. Less than
# DELISTED_GRACE_S, since such a request can also be ended, or be sent elsewhere.
REPEAT_GRACE_S = 1.0
# Replicas that have announced that they leave, and are no longer listed, that are remembered.
MAX_LEFT_REPLICAS = 1_000
# Weight of the newest sample in a service's mean response time.
RESPONSE_TIME_WEIGHT = 0.1
# Mean response time that is assumed until the first response of a service.
INITIAL_RESPONSE_TIME_S = 0.2


class ReplicaGroup(NamedTuple):
    """Replicas that a request may be sent to.

    Attributes:
        service: Their service.
        version: Version of their software; None for any.
    """

    service: str
    version: str | None = None

    def includes(self, replica: Replica) -> bool:
        """Returns whether a replica is one of them."""
        return replica.service == self.service and self.version in (None, replica.version)


class _LeftReplica(NamedTuple):
    """A replica that announced that it leaves, and the time since which it has been leaving."""

    replica: Replica
    delisted_s: float | None


class ReplicaTable:
    """The replicas of all services.

    Attributes:
        limits: Limits on requests that replicas have named.
        engine_services: Names of the services that have engines.
    """

    def __init__(self) -> None:
        self._states: dict[str, ReplicaState] = {}
        self._left: OrderedDict[str, _LeftReplica] = OrderedDict()
        self._mean_responses_s: dict[str, float] = {}
        self._trials: dict[str, TrialBudget] = {}
        self.limits = RateLimits()
        self.engine_services: frozenset[str] = frozenset()

    def update(self, listed: Mapping[str, Replica], services: Mapping[str, Service]) -> None:
        """Applies a new list of replicas from service discovery."""
        self.engine_services = frozenset(n for n, service in services.items() if service.engine)
        now_s = time.monotonic()
        for name, state in list(self._states.items()):
            if name in listed and _is_restarted(listed[name], state.replica):
                del self._states[name]  # Nothing that is known of the earlier incarnation holds.
                if listed[name].version != state.replica.version:
                    # Either incarnation may have run the requests that were in flight.
                    state.replica = state.replica._replace(version="")
                continue
            is_leaving = name not in listed or listed[name].draining or state.is_leaving
            state.delisted_s = (state.delisted_s or now_s) if is_leaving else None
            if name not in listed and now_s - (state.delisted_s or now_s) > DELISTED_GRACE_S:
                self._forget(name)
        self.limits.retain(self._states)
        for gone in self._trials.keys() - services.keys():
            del self._trials[gone]
        for name, replica in listed.items():
            if name in self._states:
                self._states[name].replica = replica
                continue
            service = services.get(replica.service)
            engine = service.engine if service else None
            added = ReplicaState(replica, engine.memory_tokens if engine else 0)
            added.delisted_s = now_s if replica.draining else None
            left = self._left.pop(name, None)
            if left is not None and not _is_restarted(replica, left.replica):
                added.is_leaving, added.delisted_s = True, left.delisted_s
            self._states[name] = added

    def _forget(self, replica: str) -> None:
        """Drops the state of a replica that is no longer listed, but not that it is leaving.

        Its entry may only have lapsed.
        """
        state = self._states.pop(replica)
        if state.is_leaving:
            self._left[replica] = _LeftReplica(state.replica, state.delisted_s)
        while len(self._left) > MAX_LEFT_REPLICAS:
            self._left.popitem(last=False)

    def adopt_limits(self, sightings: Mapping[str, LimitSighting]) -> None:
        """Takes over limits of replicas that other entries have seen."""
        self.limits.adopt(sightings, self._states)

    def ids(self) -> frozenset[str]:
        """Returns the ids of all replicas."""
        return frozenset(self._states)

    def address(self, replica: str) -> str:
        """Returns the address of a replica; empty if the replica is gone."""
        state = self._states.get(replica)
        return state.replica.address if state else ""

    def version(self, replica: str) -> str:
        """Returns the software version of a replica; empty if the replica is gone."""
        state = self._states.get(replica)
        return state.replica.version if state else ""

    def state(self, replica: str) -> ReplicaState | None:
        """Returns the state of a replica; None if it is gone."""
        return self._states.get(replica)

    def eligible(self, group: ReplicaGroup) -> list[ReplicaState]:
        """Returns the replicas of a group that may take requests.

        If all of them have left service discovery, their registrations have probably lapsed; those
        that left less than DELISTED_GRACE_S ago are then still used.
        """
        states = [s for s in self._states.values() if group.includes(s.replica)]
        listed = [s for s in states if s.delisted_s is None]
        now_s = time.monotonic()
        return listed or [s for s in states if now_s - (s.delisted_s or 0.0) < DELISTED_GRACE_S]

    def usable(self, group: ReplicaGroup, excluded: Collection[str] = ()) -> list[ReplicaState]:
        """Returns the replicas of a group that may take requests, without those that fail them.

        Args:
            group: The group.
            excluded: Replicas that refused a request or failed to serve it.
        """
        states = self.eligible(group)
        if not any(s.outcomes.is_failing for s in states):
            return states
        failing = avoided({s.replica.id: s.outcomes for s in states}, excluded)
        return [s for s in states if s.replica.id not in failing]

    def domain(self, replica: str) -> str:
        """Returns the failure domain of a replica; empty if the replica is gone."""
        state = self._states.get(replica)
        return state.replica.failure_domain if state else ""

    def sightings(self) -> dict[str, Sighting]:
        """Returns what other entries should know of the outcomes of requests at replicas."""
        now_s = time.monotonic()
        found = {name: state.outcomes.sighting(now_s) for name, state in self._states.items()}
        return {name: sighting for name, sighting in found.items() if sighting is not None}

    def adopt_sightings(self, sightings: Mapping[str, Sighting]) -> None:
        """Takes over what other entries have found of replicas."""
        now_s = time.monotonic()
        for name, sighting in sightings.items():
            state = self._states.get(name)
            if state is not None:
                state.outcomes.adopt(sighting, now_s, random.random())

    def trials(self, service: str) -> TrialBudget:
        """Returns what bounds the trials of a service's failing replicas."""
        return self._trials.setdefault(service, TrialBudget())

    def is_failing(self, replica: str) -> bool:
        """Returns whether a replica fails too many of this process's requests."""
        state = self._states.get(replica)
        return state is not None and state.outcomes.is_failing

    def has_other(
        self, service: str, excluded: Collection[str], version: str | None = None
    ) -> bool:
        """Tells whether a service has a replica besides the excluded ones, also of a version."""
        eligible = self.eligible(ReplicaGroup(service, version))
        return any(state.replica.id not in excluded for state in eligible)

    def may_repeat(self, group: ReplicaGroup, replica: str) -> bool:
        """Returns whether a replica may get a request again that it had before."""
        state = self._states.get(replica)
        if state is None or not group.includes(state.replica):
            return False
        left_s = time.monotonic() - state.delisted_s if state.delisted_s is not None else 0.0
        return left_s < REPEAT_GRACE_S

    def record_failure(self, replica: str, source: Source = UNKNOWN_SOURCE) -> None:
        """Records a failure of a replica, so that others are preferred for some time.

        Args:
            replica: Id of the replica.
            source: The origin of the request that failed.
        """
        state = self._states.get(replica)
        if state:
            state.failures = min(MAX_FAILURES, recent_failures(state) + 1.0)
            state.last_failure_s = time.monotonic()
            self.record_error(replica, source)

    def record_error(self, replica: str, source: Source, severity: float = ERROR_SHARE) -> None:
        """Records that a replica has answered a request with an error, or failed it otherwise.

        Args:
            replica: Id of the replica.
            source: The origin of the request.
            severity: Part of the failure that counts against the replica, 0 to 1.
        """
        state = self._states.get(replica)
        if state and state.outcomes.record_failure(source, time.monotonic(), severity):
            _log_outcomes("replica_failing", state)

    def record_success(self, replica: str, sent_s: float) -> None:
        """Records that a replica has served a request that was sent at a monotonic time."""
        state = self._states.get(replica)
        if state is None:
            return
        if state.outcomes.is_failing:
            self.trials(state.replica.service).give_back()
        if state.outcomes.record_success(time.monotonic(), sent_s):
            state.failures = 0.0
            _log_outcomes("replica_sound", state)

    def failure_share(self, replica: str) -> float:
        """Returns the share of failures among a replica's requests; 0 if it is gone."""
        state = self._states.get(replica)
        return state.outcomes.failure_share if state else 0.0

    def record_leaving(self, replica: str) -> None:
        """Records that a replica announced in a response that it is about to leave."""
        state = self._states.get(replica)
        if state is None or state.is_leaving:
            return
        state.is_leaving = True
        state.delisted_s = state.delisted_s or time.monotonic()
        logs.logger("gateway").info(
            "replica_leaving", service=state.replica.service, peer=replica, running=state.in_flight
        )

    def record_silence(self, service: str, replica: str, source: Source) -> None:
        """Records a failure of a replica that has left requests without any response for long.

        It must be called while the request that waited is still in flight.
        """
        state = self._states.get(replica)
        if state is None:
            return
        now_s = time.monotonic()
        silent_s, limit_s = state.silent_s(now_s), silence_limit_s(self.mean_response_s(service))
        if not silent_s:
            silent_s, limit_s = state.streams_silent_s(now_s), STREAM_SILENCE_S
        if silent_s > limit_s:
            logs.logger("gateway").info(
                "replica_silent", service=service, peer=replica, took_ms=round(silent_s * 1000)
            )
            self.record_failure(replica, source)

    def mean_response_s(self, service: str) -> float:
        """Returns a service's mean response time in seconds."""
        return self._mean_responses_s.get(service, INITIAL_RESPONSE_TIME_S)

    def record_response_time(self, service: str, took_s: float) -> None:
        """Records how long a request for a service was in flight, in seconds."""
        mean_s = self.mean_response_s(service)
        self._mean_responses_s[service] = mean_s + RESPONSE_TIME_WEIGHT * (took_s - mean_s)


def recent_failures(state: ReplicaState) -> float:
    """Returns the recent failures of a replica, decayed over time."""
    age_s = time.monotonic() - state.last_failure_s
    return state.failures * math.pow(0.5, age_s / FAILURE_HALF_LIFE_S)


def _log_outcomes(event: str, state: ReplicaState) -> None:
    logs.logger("gateway").info(
        event,
        service=state.replica.service,
        peer=state.replica.id,
        failure_share=round(state.outcomes.failure_share, 2),
        running=state.in_flight,
    )


def _is_restarted(listed: Replica, known: Replica) -> bool:
    return (listed.started_ms, listed.version) != (known.started_ms, known.version)
