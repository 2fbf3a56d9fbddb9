"""Queue of one upstream: priority classes, weighted fair queueing, least attained service.

Classes are served by priority, tenants within a class by weighted fair queueing, and calls of one
tenant by arrival time plus a penalty for the service that their program has already received.
"""

import heapq
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from ..reasons import Reason, Reasons

LEVEL_BASE_TOKENS = 2_000
LEVEL_BITS = 2
MAX_LEVEL = 8


class QueueConfig(NamedTuple):
    """Parameters of the queue order.

    Attributes:
        level_penalty_s: Time added to the arrival time of a call, for each level of attained
            service of its program, to get its rank.
        max_starvation_s: Time without service after which a waiting class is served before classes
            of higher priority.
        max_waiting: Maximum number of waiting calls per tenant and class.
    """

    level_penalty_s: float = 10.0
    max_starvation_s: float = 5.0
    max_waiting: int = 20_000


class QueuedCall(NamedTuple):
    """A queued call.

    Attributes:
        key: Unique id of the attempt.
        tenant: Tenant that is charged for it.
        weight: Fair-share weight of the tenant, relative to other tenants.
        priority: Priority of its class; lower numbers are served first.
        attained_tokens: Tokens already used by the whole program.
        cost_s: Expected service time, in seconds.
        arrived_s: Arrival time, in seconds.
        required_tokens: Expected KV cache usage, in tokens.
    """

    key: str
    tenant: str
    weight: float
    priority: int
    attained_tokens: int
    cost_s: float
    arrived_s: float
    required_tokens: int = 0


class Dequeued(NamedTuple):
    """The call removed from the queue, and the reasons."""

    call: QueuedCall
    reasons: Reasons


class _ClassQueue:
    """Waiting calls of one class: tenants in a heap by virtual time, each with a heap of calls."""

    def __init__(self, now_s: float) -> None:
        self.tenants: list[tuple[float, str]] = []
        self.calls: dict[str, list[tuple[float, int, QueuedCall]]] = {}
        self.last_served_s = now_s
        self.length = 0
        self.cost_s = 0.0


class FairQueue:
    """State of the queue. Adding a call and removing the next take O(log n) time, amortized."""

    def __init__(self, cfg: QueueConfig) -> None:
        self.cfg = cfg
        self.class_queues: dict[int, _ClassQueue] = {}
        self.waiting: dict[str, QueuedCall] = {}
        self.waiting_counts: Counter[tuple[str, int]] = Counter()
        self.virtual_times_s: dict[str, float] = {}
        self.virtual_clock_s = 0.0
        self.arrivals = 0


def attained_level(attained_tokens: int) -> int:
    """Returns the level of attained service; the token threshold grows fourfold with each level."""
    return min(MAX_LEVEL, (attained_tokens // LEVEL_BASE_TOKENS).bit_length() // LEVEL_BITS)


def enqueue(queue: FairQueue, call: QueuedCall, bounded: bool = True) -> bool:
    """Adds a call; returns False if the key is already queued or, if bounded, at the limit.

    The limit is max_waiting calls per tenant and class.
    """
    tenant_class = (call.tenant, call.priority)
    full = bounded and queue.waiting_counts[tenant_class] >= queue.cfg.max_waiting
    if call.key in queue.waiting or full:
        return False
    class_queue = queue.class_queues.setdefault(call.priority, _ClassQueue(call.arrived_s))
    if not class_queue.length:
        class_queue.last_served_s = call.arrived_s
    queue.waiting[call.key] = call
    queue.waiting_counts[tenant_class] += 1
    queue.arrivals += 1
    class_queue.length += 1
    class_queue.cost_s += call.cost_s
    heap = class_queue.calls.get(call.tenant)
    if heap is None:
        heap = class_queue.calls[call.tenant] = []
        start_s = max(queue.virtual_times_s.get(call.tenant, 0.0), queue.virtual_clock_s)
        queue.virtual_times_s[call.tenant] = start_s
        heapq.heappush(class_queue.tenants, (start_s, call.tenant))
    rank = call.arrived_s + queue.cfg.level_penalty_s * attained_level(call.attained_tokens)
    heapq.heappush(heap, (rank, queue.arrivals, call))
    return True


def remove(queue: FairQueue, key: str) -> QueuedCall | None:
    """Removes a call wherever it is in the queue; returns None if it is not waiting."""
    call = queue.waiting.pop(key, None)
    if call is None:
        return None
    queue.waiting_counts[call.tenant, call.priority] -= 1
    class_queue = queue.class_queues[call.priority]
    class_queue.length -= 1
    class_queue.cost_s -= call.cost_s
    return call


def dequeue(queue: FairQueue, now_s: float) -> Dequeued | None:
    """Removes and returns the next call; None if the queue is empty."""
    next_class = _next_class(queue, now_s)
    if next_class is None:
        return None
    priority, class_queue, rule = next_class
    tenant = _next_tenant(queue, class_queue)
    rank, _, call = heapq.heappop(class_queue.calls[tenant])
    remove(queue, call.key)
    class_queue.last_served_s = now_s
    queue.virtual_clock_s = max(queue.virtual_clock_s, queue.virtual_times_s[tenant])
    queue.virtual_times_s[tenant] += call.cost_s / call.weight
    _discard_removed(queue, class_queue, tenant)
    if class_queue.calls[tenant]:
        heapq.heapreplace(class_queue.tenants, (queue.virtual_times_s[tenant], tenant))
    else:
        _remove_tenant(class_queue)
    reasons = (
        Reason(rule, priority),
        Reason("tenant_virtual_s", queue.virtual_clock_s, tenant),
        Reason("attained_level", attained_level(call.attained_tokens)),
        Reason("waited_s", now_s - call.arrived_s),
    )
    return Dequeued(call, reasons)


def peek(queue: FairQueue, now_s: float) -> QueuedCall | None:
    """Returns the next call without removing it; None if the queue is empty."""
    next_class = _next_class(queue, now_s)
    if next_class is None:
        return None
    class_queue = next_class[1]
    return class_queue.calls[_next_tenant(queue, class_queue)][0][2]


def charge(queue: FairQueue, tenant: str, weight: float, extra_s: float) -> None:
    """Charges a tenant for service time beyond the expected cost of its call."""
    if extra_s > 0 and tenant in queue.virtual_times_s:
        queue.virtual_times_s[tenant] += extra_s / weight


def cost_ahead_s(queue: FairQueue, priority: int) -> float:
    """Returns the total expected cost of waiting calls with this priority or a higher one."""
    return sum(
        class_queue.cost_s
        for number, class_queue in queue.class_queues.items()
        if number <= priority
    )


def waiting_by_class(queue: FairQueue) -> Mapping[int, int]:
    """Returns the number of waiting calls for each priority."""
    return {priority: class_queue.length for priority, class_queue in queue.class_queues.items()}


def _next_class(queue: FairQueue, now_s: float) -> tuple[int, _ClassQueue, str] | None:
    waiting = [
        (priority, class_queue)
        for priority, class_queue in sorted(queue.class_queues.items())
        if class_queue.length
    ]
    if not waiting:
        return None
    longest_unserved = min(waiting, key=lambda pair: pair[1].last_served_s)
    if now_s - longest_unserved[1].last_served_s >= queue.cfg.max_starvation_s:
        return longest_unserved[0], longest_unserved[1], "class_passed_over"
    return waiting[0][0], waiting[0][1], "class_priority"


def _next_tenant(queue: FairQueue, class_queue: _ClassQueue) -> str:
    # Virtual times only grow: an outdated heap entry is reinserted with the current time.
    while True:
        virtual_s, tenant = class_queue.tenants[0]
        _discard_removed(queue, class_queue, tenant)
        if not class_queue.calls[tenant]:
            _remove_tenant(class_queue)
        elif virtual_s < queue.virtual_times_s[tenant]:
            heapq.heapreplace(class_queue.tenants, (queue.virtual_times_s[tenant], tenant))
        else:
            return tenant


def _discard_removed(queue: FairQueue, class_queue: _ClassQueue, tenant: str) -> None:
    heap = class_queue.calls[tenant]
    while heap and queue.waiting.get(heap[0][2].key) is not heap[0][2]:
        heapq.heappop(heap)


def _remove_tenant(class_queue: _ClassQueue) -> None:
    _, tenant = heapq.heappop(class_queue.tenants)
    del class_queue.calls[tenant]
