"""Queue of requests that wait for a replica, and rejection of those that can't be served in time.

During bursts, more urgent classes are served first, and within a class the request with the
earliest due time. A request that is expected to wait past its deadline is rejected at once, with
a retry time.
"""

import heapq
from typing import NamedTuple

# Requests that have waited this long are served before more urgent classes, to prevent starvation.
STARVATION_LIMIT_S = 1.0
# Largest share of the remaining time that a request may spend waiting; the rest is for processing.
MAX_WAIT_SHARE = 0.6


# Priority of the tenant, then that of the route; the lowest is served first.
Rank = tuple[int, int]


class QueuedRequest(NamedTuple):
    """A request that waits for a replica.

    Attributes:
        key: Unique id of the request.
        priority: Priorities of its tenant and its class; the lowest is served first.
        due_s: Deadline of its program, or of the request itself when its program has none.
        arrived_s: Arrival time.
        deadline_s: Time after which a response is of no use.
        class_name: Name of its class.
        aim_s: Target latency of its class.
        is_first: Whether it is the first turn of its program.
        spent: What its program has cost so far, in mean requests of the service.
        work: What it needs, in mean requests of the service.
        digest: Hash that it has in common with its repetitions.
        request_id: Id that its caller gave it, for logs; callers may use the same one.
        returns: Whether it was refused before and comes back at the time that it was told.
        keeps_floor: Whether it must be served so that its class isn't starved.
    """

    key: str
    priority: Rank
    due_s: float
    arrived_s: float
    deadline_s: float
    class_name: str = ""
    aim_s: float = 0.0
    is_first: bool = False
    spent: float = 0.0
    work: float = 1.0
    digest: int = 0
    request_id: str = ""
    returns: bool = False
    keeps_floor: bool = False


class RequestQueue:
    """Priority queue of the requests that wait for one service."""

    def __init__(self) -> None:
        self._heap: list[tuple[Rank, float, int, QueuedRequest]] = []
        self._queued: dict[str, QueuedRequest] = {}
        self._sequence = 0

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._queued)

    def add(self, request: QueuedRequest) -> None:
        """Adds a request to the queue."""
        self._sequence += 1
        self._queued[request.key] = request
        heapq.heappush(self._heap, (request.priority, request.due_s, self._sequence, request))

    def remove(self, key: str) -> None:
        """Removes a request; does nothing when it isn't queued."""
        self._queued.pop(key, None)

    def pop(self, now_s: float) -> QueuedRequest | None:
        """Removes and returns the next request to serve, or None."""
        while self._heap and self._heap[0][3].key not in self._queued:
            heapq.heappop(self._heap)
        if not self._heap:
            return None
        oldest = next(iter(self._queued.values()))
        if now_s - oldest.arrived_s >= STARVATION_LIMIT_S:
            self.remove(oldest.key)
            return oldest
        request = heapq.heappop(self._heap)[3]
        self.remove(request.key)
        return request

    def count_ahead(self, priority: Rank) -> int:
        """Counts the queued requests that are served before a new one of this priority."""
        return sum(request.priority <= priority for request in self._queued.values())


def expected_wait_s(ahead: int, slots: float, service_time_s: float) -> float:
    """Returns the expected wait of a new request.

    Args:
        ahead: Requests that are served before it.
        slots: Maximum number of requests that run concurrently.
        service_time_s: Mean processing time of a request.
    """
    return (ahead + 1) * service_time_s / slots if slots else float("inf")


def cannot_meet_deadline(wait_s: float, remaining_s: float) -> bool:
    """Returns whether a wait would leave a request too little time for its processing."""
    return wait_s > remaining_s * MAX_WAIT_SHARE


def retry_after_s(wait_s: float, draw: float) -> float:
    """Returns the seconds after which a rejected caller may retry, with jitter.

    Args:
        wait_s: Expected wait.
        draw: Random number in [0, 1) that spreads the retries from half to one and a half times
            the wait.
    """
    return round(max(0.05, wait_s) * (0.5 + draw), 3)
