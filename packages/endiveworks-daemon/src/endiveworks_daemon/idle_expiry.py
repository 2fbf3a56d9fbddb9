"""Closes programs that their callers have abandoned, and reports what all programs take."""

import math
import threading

from endiveworks.links.threads import start_forever
from endiveworks.programs.memory import ProgramMemory
from endiveworks.programs.owner import Owner
from endiveworks.telemetry.logs import logger
from endiveworks.telemetry.metrics import Metrics

_CHECKS_PER_IDLE_TIME = 10
_MAX_INTERVAL_S = 60.0
_REPORT_INTERVAL_S = 5.0
# Share of the room for programs from which on it counts as short, and below which as regained.
_SHORT_SHARE = 0.9
_REGAINED_SHARE = 0.8


def start_idle_expiry(owner: Owner, idle_s: float, metrics: Metrics) -> None:
    """Starts daemon threads that close idle programs, and remove and report on programs.

    Args:
        owner: Programs of this host.
        idle_s: Time after which a program without a call is closed, in seconds.
        metrics: Receives gauges.
    """
    interval_s = min(_MAX_INTERVAL_S, idle_s / _CHECKS_PER_IDLE_TIME)
    timer = threading.Event()
    report = _MemoryReport(owner.memory, metrics)

    def close_idle_programs() -> None:
        while not timer.wait(interval_s):
            owner.close_idle(idle_s)

    def remove_closed_programs() -> None:
        while not timer.wait(_REPORT_INTERVAL_S):
            # Programs that ended must make room also while no new ones are taken on.
            owner.remove_closed()
            report.update()

    start_forever("idle-sweep", close_idle_programs)
    start_forever("program-memory", remove_closed_programs)


class _MemoryReport:
    """Gauges on the memory of programs, and a log line when it becomes short or is regained."""

    def __init__(self, memory: ProgramMemory, metrics: Metrics) -> None:
        self._memory = memory
        self._metrics = metrics
        self._is_short = False

    def update(self) -> None:
        used, bound = self._memory.used(), self._memory.bound
        self._metrics.gauge("program_bytes", used)
        if not math.isfinite(bound):
            return
        self._metrics.gauge("program_bytes_bound", bound)
        is_short = used > bound * (_REGAINED_SHARE if self._is_short else _SHORT_SHARE)
        if is_short is not self._is_short:
            self._is_short = is_short
            tenant, size = self._memory.largest()
            logger("programs").warning(
                "program_room_short" if is_short else "program_room_regained",
                stored_bytes=used,
                limit_bytes=round(bound),
                largest_sender=tenant,
                largest_bytes=size,
            )
