"""The open connections of callers to one listener, and their limit."""

import heapq
import math
import time
from typing import Protocol

from endiveworks.telemetry import logs

# Share of the connections at the limit that are closed at once to make room for new ones.
_EVICTED_SHARE = 1 / 32
_LOG_PERIOD_S = 1.0  # Shortest time between two log lines on closed connections.


class Connection(Protocol):
    """A connection of a caller."""

    @property
    def busy(self) -> bool:
        """Whether a request is being received or served."""

    @property
    def waiting_since_s(self) -> float | None:
        """Monotonic time since which its caller owes progress; None for not."""

    def may_be_evicted(self, now_s: float) -> bool:
        """Returns whether it may be closed for a new connection."""

    def evict(self) -> None:
        """Closes the connection at once."""

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is being received or served on it."""

    def stop_receiving(self) -> None:
        """Answers a request that is still being received, so that it may be sent elsewhere."""


class CallerConnections:
    """The open connections to one listener, and whether they close after their current response.

    Args:
        max_open: Most connections that may be open; infinite for no limit.

    Attributes:
        open: The open connections.
        closing: Whether the process is shutting down.
    """

    def __init__(self, max_open: float = math.inf) -> None:
        self.open: set[Connection] = set()
        self.closing = False
        self._max_open = max_open
        self._unlogged = 0
        self._logged_s = -math.inf

    def admit(self, conn: Connection) -> bool:
        """Adds a connection; closes others at the limit, and returns whether there was a place."""
        if len(self.open) >= self._max_open and not self._evict(time.monotonic()):
            return False
        self.open.add(conn)
        return True

    def remove(self, conn: Connection) -> None:
        """Removes a connection that has ended."""
        self.open.discard(conn)

    def _evict(self, now_s: float) -> int:
        """Closes the connections whose callers have owed progress longest; returns their number.

        Those in the middle of a request go first.
        """
        waiting = [
            (not conn.busy, conn.waiting_since_s, id(conn), conn)
            for conn in self.open
            if conn.may_be_evicted(now_s)
        ]
        count = max(1, int(self._max_open * _EVICTED_SHARE))
        evicted = heapq.nsmallest(count, waiting)
        for *_, conn in evicted:
            self.open.discard(conn)
            conn.evict()
        self._log(len(evicted), now_s)
        return len(evicted)

    def _log(self, count: int, now_s: float) -> None:
        self._unlogged += count
        if self._unlogged and now_s - self._logged_s >= _LOG_PERIOD_S:
            logs.logger("callers").info(
                "connections_evicted", amount=self._unlogged, running=len(self.open)
            )
            self._unlogged, self._logged_s = 0, now_s
