"""Event queue of the replay simulation, ordered by simulated time."""

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """Simulated clock with its queue of scheduled events."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = itertools.count()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay in simulated seconds."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._counter), callback))

    def run(self, until_s: float, is_finished: Callable[[], bool]) -> None:
        """Runs events until none is left, until_s has passed or is_finished returns true."""
        while self._events and self._events[0][0] <= until_s and not is_finished():
            self.now_s, _, callback = heapq.heappop(self._events)
            callback()
