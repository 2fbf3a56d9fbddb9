"""Queue before one upstream: classes, fair shares between tenants, least attained service."""

import heapq
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from ..reasons import Reason, Reasons

LEVEL_BASE_TOKENS = 2_000
LEVEL_BITS = 2
MAX_LEVEL = 8


class Rules(NamedTuple):
    """Rules of the order.

    Attributes:
        level_gap_s: Seconds by which a call of the next level of attained service stands back.
        passed_over_s: Longest time for which a class with waiting calls gets no turn.
        max_waiting: Most calls of one tenant in one class that may wait.
    """

    level_gap_s: float = 10.0
    passed_over_s: float = 5.0
    max_waiting: int = 20_000


class Waiting(NamedTuple):
    """A call in the queue.

    Attributes:
        key: Unique id of the attempt.
        tenant: Tenant that pays for it.
        weight: Share of the tenant relative to others.
        priority: Priority of its class; a lower number goes first.
        attained_tokens: Service that the whole program has had.
        cost_s: Seconds of the upstream that the call is expected to take.
        arrived_s: Time of arrival.
        need_tokens: Engine memory that it is expected to take.
    """

    key: str
    tenant: str
    weight: float
    priority: int
    attained_tokens: int
    cost_s: float
    arrived_s: float
    need_tokens: int = 0


class Taken(NamedTuple):
    """The call that goes next, with the reasons."""

    call: Waiting
    reasons: Reasons


class _Lane:
    """Waiting calls of one class: tenants by virtual time, each with a heap of calls."""

    def __init__(self, now_s: float) -> None:
        self.tenants: list[tuple[float, str]] = []
        self.calls: dict[str, list[tuple[float, int, Waiting]]] = {}
        self.served_s = now_s
        self.waiting = 0
        self.cost_s = 0.0


class Queue:
    """State of the queue. Offering and taking cost at most logarithmic time in its length."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.lanes: dict[int, _Lane] = {}
        self.waiting: dict[str, Waiting] = {}
        self.counts: Counter[tuple[str, int]] = Counter()
        self.virtual_s: dict[str, float] = {}
        self.clock_s = 0.0
        self.arrivals = 0


def level(attained_tokens: int) -> int:
    """Returns the coarse level of attained service; each level is four times the one before."""
    return min(MAX_LEVEL, (attained_tokens // LEVEL_BASE_TOKENS).bit_length() // LEVEL_BITS)


def offer(queue: Queue, call: Waiting, bounded: bool = True) -> bool:
    """Adds a call; False when its tenant has too many waiting in the class or the key is known."""
    counted = (call.tenant, call.priority)
    full = bounded and queue.counts[counted] >= queue.rules.max_waiting
    if call.key in queue.waiting or full:
        return False
    lane = queue.lanes.setdefault(call.priority, _Lane(call.arrived_s))
    if not lane.waiting:
        lane.served_s = call.arrived_s
    queue.waiting[call.key] = call
    queue.counts[counted] += 1
    queue.arrivals += 1
    lane.waiting += 1
    lane.cost_s += call.cost_s
    heap = lane.calls.get(call.tenant)
    if heap is None:
        heap = lane.calls[call.tenant] = []
        at = max(queue.virtual_s.get(call.tenant, 0.0), queue.clock_s)
        queue.virtual_s[call.tenant] = at
        heapq.heappush(lane.tenants, (at, call.tenant))
    rank = call.arrived_s + queue.rules.level_gap_s * level(call.attained_tokens)
    heapq.heappush(heap, (rank, queue.arrivals, call))
    return True


def remove(queue: Queue, key: str) -> Waiting | None:
    """Takes a call out of turn; None when it is not waiting."""
    call = queue.waiting.pop(key, None)
    if call is None:
        return None
    queue.counts[call.tenant, call.priority] -= 1
    lane = queue.lanes[call.priority]
    lane.waiting -= 1
    lane.cost_s -= call.cost_s
    return call


def take(queue: Queue, now_s: float) -> Taken | None:
    """Removes and returns the call that goes next; None when none waits."""
    chosen = _choose_lane(queue, now_s)
    if chosen is None:
        return None
    priority, lane, rule = chosen
    tenant = _choose_tenant(queue, lane)
    rank, _, call = heapq.heappop(lane.calls[tenant])
    remove(queue, call.key)
    lane.served_s = now_s
    queue.clock_s = max(queue.clock_s, queue.virtual_s[tenant])
    queue.virtual_s[tenant] += call.cost_s / call.weight
    _drop_removed(queue, lane, tenant)
    if lane.calls[tenant]:
        heapq.heapreplace(lane.tenants, (queue.virtual_s[tenant], tenant))
    else:
        _forget_tenant(lane)
    reasons = (
        Reason(rule, priority),
        Reason("tenant_virtual_s", queue.clock_s, tenant),
        Reason("attained_level", level(call.attained_tokens)),
        Reason("waited_s", now_s - call.arrived_s),
    )
    return Taken(call, reasons)


def head(queue: Queue, now_s: float) -> Waiting | None:
    """Returns the call that goes next and leaves it in the queue; None when none waits."""
    chosen = _choose_lane(queue, now_s)
    if chosen is None:
        return None
    lane = chosen[1]
    return lane.calls[_choose_tenant(queue, lane)][0][2]


def settle(queue: Queue, tenant: str, weight: float, extra_s: float) -> None:
    """Charges a tenant for service beyond the cost that its call was expected to have."""
    if extra_s > 0 and tenant in queue.virtual_s:
        queue.virtual_s[tenant] += extra_s / weight


def cost_ahead_s(queue: Queue, priority: int) -> float:
    """Sums the expected cost of the waiting calls of this class and those before it."""
    return sum(lane.cost_s for at, lane in queue.lanes.items() if at <= priority)


def waiting_by_class(queue: Queue) -> Mapping[int, int]:
    """Counts the waiting calls of each class."""
    return {priority: lane.waiting for priority, lane in queue.lanes.items()}


def _choose_lane(queue: Queue, now_s: float) -> tuple[int, _Lane, str] | None:
    waiting = [(at, lane) for at, lane in sorted(queue.lanes.items()) if lane.waiting]
    if not waiting:
        return None
    passed = min(waiting, key=lambda pair: pair[1].served_s)
    if now_s - passed[1].served_s >= queue.rules.passed_over_s:
        return passed[0], passed[1], "class_passed_over"
    return waiting[0][0], waiting[0][1], "class_priority"


def _choose_tenant(queue: Queue, lane: _Lane) -> str:
    # Virtual times only grow, so an entry that is behind is put back at its present place.
    while True:
        at, tenant = lane.tenants[0]
        _drop_removed(queue, lane, tenant)
        if not lane.calls[tenant]:
            _forget_tenant(lane)
        elif at < queue.virtual_s[tenant]:
            heapq.heapreplace(lane.tenants, (queue.virtual_s[tenant], tenant))
        else:
            return tenant


def _drop_removed(queue: Queue, lane: _Lane, tenant: str) -> None:
    heap = lane.calls[tenant]
    while heap and queue.waiting.get(heap[0][2].key) is not heap[0][2]:
        heapq.heappop(heap)


def _forget_tenant(lane: _Lane) -> None:
    _, tenant = heapq.heappop(lane.tenants)
    del lane.calls[tenant]
