"""Reports how much room a disk has left, and who takes it when some are refused."""

import math

from endiveworks.telemetry import logs
from endiveworks.telemetry.metrics import Metrics
from endiveworks.turns.disk import DiskState
from endiveworks.turns.room import Room

# Room counts as regained when nobody was refused for this long.
REGAINED_AFTER_S = 10.0


class RoomReport:
    """Gauges, counters and log lines on the room of a disk.

    Args:
        room: The room.
        state: State of the disk.
        metrics: Receives gauges and counters; None for none.
    """

    def __init__(self, room: Room, state: DiskState, metrics: Metrics | None) -> None:
        self._room = room
        self._state = state
        self._metrics = metrics
        self._refusals = 0
        self._refused_s: float | None = None

    def record_refusal(self, size: int, sender: str, wait_s: float, now_s: float) -> None:
        """Counts a sender that was refused; logs the first one.

        Args:
            size: Bytes that it asked room for.
            sender: Its name; empty if it is not known.
            wait_s: Time after which it is asked to return.
            now_s: Monotonic time.
        """
        if self._refused_s is None:
            self._log("room_short", bytes=size, sender=sender, retry_after_ms=round(wait_s * 1000))
        self._refused_s = now_s
        self._refusals += 1
        if self._metrics is not None:
            self._metrics.count("room_refusals")

    def update(self, now_s: float) -> None:
        """Sets the gauges, and logs when room is regained."""
        if self._refused_s is not None and now_s - self._refused_s >= REGAINED_AFTER_S:
            self._log("room_regained", amount=self._refusals)
            self._refused_s, self._refusals = None, 0
        if self._metrics is None:
            return
        self._metrics.gauge("room_used_share", self._room.used_share())
        self._metrics.gauge("room_held_bytes", self._room.held_bytes())
        self._metrics.gauge("turns_stored", len(self._state))
        self._metrics.gauge("turns_log_bytes", self._state.log_bytes)
        self._metrics.gauge("turns_memory_bytes", self._state.memory_bytes)

    def _log(self, event: str, **fields: object) -> None:
        largest = self._state.sender_bytes.most_common(1)
        limit = self._room.admitted.log_bytes
        logs.logger("turns").warning(
            event,
            used_share=round(self._room.used_share(), 3),
            stored_bytes=self._state.log_bytes,
            limit_bytes=round(limit) if math.isfinite(limit) else 0,
            largest_sender=largest[0][0] if largest else "",
            largest_bytes=largest[0][1] if largest else 0,
            **fields,
        )
