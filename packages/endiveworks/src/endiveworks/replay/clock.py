"""Events of a replay in the order of their time."""

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """Simulated time with the events to come."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        """Calls a function after a delay."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._numbers), act))

    def run(self, until_s: float, is_over: Callable[[], bool]) -> None:
        """Runs events until none is left, the time is over or nothing more is of interest."""
        while self._events and self._events[0][0] <= until_s and not is_over():
            self.now_s, _, act = heapq.heappop(self._events)
            act()
