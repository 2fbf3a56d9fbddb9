"""Tells operators what is decided while a service has too little room: log lines and metrics."""

import time

from endiveworks.gateway.load_shedding import Room, is_short
from endiveworks.gateway.overload_queue import Decision, Refused
from endiveworks.telemetry import logs
from endiveworks.telemetry.metrics import Metrics

MAX_LINES_PER_S = 20  # Refusals come by the hundred; the counters have them all.


class OverloadReport:
    """Reports the decisions of one entry.

    Args:
        metrics: Receives the gauges and histograms.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._short: set[str] = set()
        self._second = 0
        self._lines = 0

    def on_decision(self, service: str, room: Room, decision: Decision) -> None:
        """Reports one decision on the requests of a service that wait."""
        metrics = self._metrics
        metrics.gauge(f"room_slots_{service}", round(room.slots, 1))
        metrics.gauge(f"room_in_flight_{service}", room.in_flight + room.others_in_flight)
        metrics.gauge(f"room_waiting_{service}", room.queued + room.others_queued)
        for req in decision.waiting:
            wait_ms = decision.waits_s[req.key] * 1000
            metrics.record("expected_wait_ms", wait_ms, class_name=req.class_name)
        for refused in decision.refused:
            metrics.count("refused_for_room", class_name=refused.request.class_name)
            self._log_refusal(service, room, refused)
        if is_short(room) is not (service in self._short):
            self._short ^= {service}
            logs.logger("gateway").info(
                "room_changed",
                service=service,
                state="short" if service in self._short else "enough",
                running=room.in_flight + room.others_in_flight,
                queued=room.queued + room.others_queued,
                slots=round(room.slots, 1),
                age_ms=_age_ms(room),
            )

    def _log_refusal(self, service: str, room: Room, refused: Refused) -> None:
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_S:
            return
        req = refused.request
        now_s = time.monotonic()
        logs.logger("gateway").info(
            "refused_for_room",
            service=service,
            request=req.request_id,
            class_name=req.class_name,
            reason=refused.refusal.reason,
            wait_ms=round(min(refused.refusal.wait_s, 3_600.0) * 1000),
            waited_ms=round((now_s - req.arrived_s) * 1000),
            retry_after_ms=round(refused.back.after_s * 1000),
            has_place=refused.back.has_place,
            is_first=req.is_first,
            left_ms=round((req.deadline_s - now_s) * 1000),
            due_ms=round((req.due_s - now_s) * 1000),
            running=room.in_flight + room.others_in_flight,
            queued=room.queued + room.others_queued,
            slots=round(room.slots, 1),
            age_ms=_age_ms(room),
        )


def _age_ms(room: Room) -> int:
    """Returns the age of what other entries told; -1 if they told nothing."""
    return round(room.age_s * 1000) if room.age_s < float("inf") else -1
