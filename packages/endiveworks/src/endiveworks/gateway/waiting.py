"""Order of requests that wait for a replica, and refusal of those that can't be served in time.

Answers bursts: urgent classes go first, and within a class the request whose program has least
time left. A request that would wait past its deadline is refused at once, with a time to return.
"""

import heapq
from typing import NamedTuple

# Longest time for which requests of a less urgent class stand back.
PASSED_OVER_S = 1.0
# Share of the time left that a request may be expected to wait; the rest is for its work.
WAIT_SHARE = 0.6


class Waiter(NamedTuple):
    """A request that waits.

    Attributes:
        key: Unique id of the request.
        priority: Rank of its class; 0 goes first.
        due_s: Time at which its program, or the request itself, should be answered.
        arrived_s: Time of its arrival.
        give_up_s: Time after which an answer is of no use.
    """

    key: str
    priority: int
    due_s: float
    arrived_s: float
    give_up_s: float


class WaitingLine:
    """Requests that wait for one service."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, float, int, Waiter]] = []
        self._arrivals: dict[str, Waiter] = {}
        self._count = 0

    def __len__(self) -> int:
        """Counts the requests that wait."""
        return len(self._arrivals)

    def add(self, waiter: Waiter) -> None:
        """Adds a request."""
        self._count += 1
        self._arrivals[waiter.key] = waiter
        heapq.heappush(self._heap, (waiter.priority, waiter.due_s, self._count, waiter))

    def remove(self, key: str) -> None:
        """Takes a request out; does nothing when it doesn't wait."""
        self._arrivals.pop(key, None)

    def take(self, now_s: float) -> Waiter | None:
        """Removes and returns the request that goes next, or None."""
        while self._heap and self._heap[0][3].key not in self._arrivals:
            heapq.heappop(self._heap)
        if not self._heap:
            return None
        oldest = next(iter(self._arrivals.values()))
        if now_s - oldest.arrived_s >= PASSED_OVER_S:
            self.remove(oldest.key)
            return oldest
        waiter = heapq.heappop(self._heap)[3]
        self.remove(waiter.key)
        return waiter

    def ahead(self, priority: int) -> int:
        """Counts the waiting requests that go before a new one of a class."""
        return sum(waiter.priority <= priority for waiter in self._arrivals.values())


def expected_wait_s(ahead: int, places: int, service_s: float) -> float:
    """Returns how long a request waits behind others.

    Args:
        ahead: Requests that go before it.
        places: Requests that run at once.
        service_s: Mean time of one.
    """
    return (ahead + 1) * service_s / places if places else float("inf")


def is_hopeless(wait_s: float, left_s: float) -> bool:
    """Tells whether a request that waits so long has too little time left for its work."""
    return wait_s > left_s * WAIT_SHARE


def retry_after_s(wait_s: float, draw: float) -> float:
    """Returns when a refused caller may come back, spread by a number drawn from 0 to 1."""
    return round(max(0.05, wait_s) * (0.5 + draw), 3)
