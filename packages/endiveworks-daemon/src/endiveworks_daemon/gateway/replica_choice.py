"""Choice of the replica for one request, from the state of all replicas of its service."""

import random
import time
from collections import Counter
from collections.abc import Callable, Collection, Sequence

from endiveworks.gateway.latency import slowdown, typical_mean_s
from endiveworks.gateway.load_balance import assigned_replica
from endiveworks.gateway.messages import Request
from endiveworks.gateway.outcomes import Trial, due_trial
from endiveworks.gateway.placement import (
    REGION_HOP_MS,
    STALL_AFTER_S,
    Candidate,
    Location,
    ReplicaChoice,
    choose_replica,
    prefer_for_object,
    prefer_for_spread,
    preferred_replica,
    silence_limit_s,
)

from .replica_state import ReplicaState
from .replica_table import ReplicaGroup, ReplicaTable, recent_failures

# Requests that this process may have in flight at a replica, as a multiple of the replica's slots.
MAX_IN_FLIGHT_FACTOR = 1.0
# Limited replicas that one try of a request asks for, so that its cost doesn't grow with the fleet.
MAX_LIMITED_TRIES = 8


class ReplicaSelector:
    """Selects replicas, and counts the turns in flight that prefer each.

    Args:
        here: Location of this process.
        table: The replicas.
        bounds_memory: Whether requests wait until they fit into a replica's memory.
    """

    def __init__(self, here: Location, table: ReplicaTable, bounds_memory: bool = False) -> None:
        self._bounds_memory = bounds_memory
        self._here = here
        self._table = table
        self._demands: Counter[str] = Counter()
        self._other_demand: Callable[[str], int] = lambda _: 0

    def set_other_demand(self, other_demand: Callable[[str], int]) -> None:
        """Sets the function that returns the turns of other entries that prefer a replica."""
        self._other_demand = other_demand

    def demand(self, replica: str) -> int:
        """Returns the turns in flight, of all entries, that prefer a replica."""
        return self._demands[replica] + self._other_demand(replica)

    def demands(self) -> dict[str, int]:
        """Returns the turns in flight from this process by the replica that they prefer."""
        return {name: count for name, count in self._demands.items() if count > 0}

    def record_start(self, preferred: str) -> None:
        """Records that a turn whose program prefers a replica was sent; empty for none."""
        if preferred:
            self._demands[preferred] += 1

    def record_end(self, preferred: str) -> None:
        """Records that such a turn has ended."""
        if preferred:
            self._demands[preferred] -= 1
            self._demands += Counter()  # Drops counts of zero, also of replicas that are gone.

    def choose(
        self,
        group: ReplicaGroup,
        request: Request,
        excluded: Collection[str],
        spread_key: str,
        trial: Trial = Trial.NEVER,
    ) -> ReplicaChoice:
        """Returns the best replica for a request; none while all of them are busy.

        Args:
            group: Replicas that may serve the request.
            request: The request.
            excluded: Replicas that refused this request or failed to serve it.
            spread_key: Key whose hash selects the replica, rather than a cached prompt or object;
                empty for none.
            trial: Whether the request may be used as a trial of a failing replica.
        """
        service = group.service
        tried = self._choose_trial(group, request, excluded, trial)
        if tried:
            return ReplicaChoice(tried, 0.0)
        states = {s.replica.id: s for s in self._table.usable(group, excluded)}
        typical_s = typical_mean_s([s.mean_latency for s in states.values()])
        mean_response_ms = self._table.mean_response_s(service) * 1000
        now_s = time.monotonic()
        limit_s = silence_limit_s(self._table.mean_response_s(service))
        candidates = [
            Candidate(
                name,
                s.replica.failure_domain,
                s.replica.region,
                s.replica.slots,
                s.in_flight,
                faults=recent_failures(s),
                slowdown=slowdown(s.mean_latency, typical_s, now_s),
                mean_response_ms=mean_response_ms,
                stalled_s=max(s.stalled_s(now_s), _stall_of_silence_s(s, now_s, limit_s)),
                limited_slots=self._table.limits.slots(name, mean_response_ms / 1000),
            )
            for name, s in states.items()
            if not self._bounds_memory or s.fits(request)
        ]
        preferred = ""
        if request.parts:
            program = request.program.program if request.program else ""
            preferred = preferred_replica(program, self._here, candidates) if program else ""
            assigned = self._assigned(program, preferred, candidates)
            candidates = [
                c._replace(
                    uncached_tokens=_uncached_tokens(
                        states[c.replica], request, c.replica == assigned
                    ),
                    saved_ms=self._saved_by_move_ms(c, assigned, preferred),
                )
                for c in candidates
            ]
        if spread_key:
            candidates = prefer_for_spread(spread_key, candidates, excluded)
        elif request.affinity_key:
            candidates = prefer_for_object(request.affinity_key, self._here, candidates)
        choice = self._choose_within_limits(candidates, excluded)
        return choice._replace(preferred=preferred)

    def _choose_trial(
        self, group: ReplicaGroup, request: Request, excluded: Collection[str], trial: Trial
    ) -> str:
        """Returns a failing replica that gets the request to find out if it serves again."""
        if trial is Trial.NEVER:
            return ""
        now_s = time.monotonic()
        budget = self._table.trials(group.service)
        budget.record_request(now_s)
        failing = {
            s.replica.id: s.outcomes
            for s in self._table.eligible(group)
            if s.outcomes.is_failing
            and s.replica.id not in excluded
            and s.in_flight < s.replica.slots * MAX_IN_FLIGHT_FACTOR
            and (not self._bounds_memory or s.fits(request))
        }
        far = [name for name in failing if self._table.domain(name) != self._here.failure_domain]
        replica = due_trial(failing, trial, now_s, far)
        if not replica or not self._table.limits.admit(replica) or not budget.take():
            return ""
        failing[replica].start_trial(now_s, random.random())
        return replica

    def _choose_within_limits(
        self, candidates: Sequence[Candidate], excluded: Collection[str]
    ) -> ReplicaChoice:
        """Returns the best replica whose limit lets the request through."""
        refused = set(excluded)
        for _ in range(MAX_LIMITED_TRIES):
            choice = choose_replica(self._here, candidates, refused, MAX_IN_FLIGHT_FACTOR)
            if not choice.replica or self._table.limits.admit(choice.replica):
                return choice
            refused.add(choice.replica)
        refused |= self._table.limits.limited()
        return choose_replica(self._here, candidates, refused, MAX_IN_FLIGHT_FACTOR)

    def _saved_by_move_ms(self, candidate: Candidate, assigned: str, preferred: str) -> float:
        """Returns the cost of the distance to a replica for a program that was moved there.

        The move to another region has weighed the distance against the load of all entries, which
        the cost of a replica doesn't know.
        """
        is_target = candidate.replica == assigned != preferred
        return REGION_HOP_MS if is_target and candidate.region != self._here.region else 0.0

    def _assigned(self, program: str, preferred: str, candidates: Sequence[Candidate]) -> str:
        demands = {c.replica: self.demand(c.replica) for c in candidates}
        return assigned_replica(program, preferred, self._here, candidates, demands)


def _stall_of_silence_s(state: ReplicaState, now_s: float, limit_s: float) -> float:
    """Returns the stall of a replica whose silence is over the limit, else 0."""
    silent_s = state.silent_s(now_s)
    return STALL_AFTER_S + silent_s if silent_s > limit_s else 0.0


def _uncached_tokens(state: ReplicaState, request: Request, is_preferred: bool) -> int:
    """Returns the number of prompt tokens that a replica would have to compute.

    The program's preferred replica is the same in all processes, so it is assumed to have the whole
    prompt cached.
    """
    if is_preferred:
        return 0
    return sum(part.tokens for part in request.parts) - state.cached_parts.cached_tokens(
        request.parts
    )
