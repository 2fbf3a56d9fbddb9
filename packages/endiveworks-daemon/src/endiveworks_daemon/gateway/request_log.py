"""Writes one log line per request, up to a number of lines per second."""

import time

from endiveworks.telemetry import logs

from .exchange import Exchange

# Limit for served requests, so that logging takes a fraction of a percent of the processor time.
MAX_SERVED_LINES_PER_S = 40
MAX_FAILED_LINES_PER_S = 200  # Limit for requests that failed; lines beyond it are only counted.
_FIRST_ERROR = 400


class _RateLimit:
    """Limits the number of log lines per second and counts those that were dropped."""

    def __init__(self, per_s: int) -> None:
        self._per_s = per_s
        self._second = 0
        self._used = 0
        self._dropped = 0

    def acquire(self) -> bool:
        """Returns whether another line may be written in this second, and counts it."""
        second = int(time.monotonic())
        if second != self._second:
            if self._dropped:
                logs.logger("gateway").info("requests_not_logged", amount=self._dropped)
            self._second, self._used, self._dropped = second, 0, 0
        self._used += 1
        if self._used <= self._per_s:
            return True
        self._dropped += 1
        return False


class RequestLog:
    """Logs the outcome of requests."""

    def __init__(self) -> None:
        self._served = _RateLimit(MAX_SERVED_LINES_PER_S)
        self._failed = _RateLimit(MAX_FAILED_LINES_PER_S)

    def record_end(self, ex: Exchange, status: int, reason: str, took_ms: float, sent: str) -> None:
        """Logs a finished request.

        Args:
            ex: The request.
            status: Status of its response; 0 if that was cut short or never began.
            reason: Why it failed; empty if a replica served it.
            took_ms: Time since its arrival in milliseconds.
            sent: How much of the response went to the caller: "none", "part" or "whole".
        """
        failed = not status or status >= _FIRST_ERROR
        if not (self._failed if failed else self._served).acquire():
            return
        program = ex.request.program
        logs.logger("gateway").info(
            "request_ended",
            request=ex.request.id,
            tenant=ex.request.tenant or "",
            program=program.program if program else "",
            service=ex.service,
            class_name=ex.route.name,
            config_version=ex.table.version,
            status=status,
            reason=reason,
            peer=ex.replica,
            cost_ms=round(ex.cost_ms, 1),
            failure_share=round(ex.failure_share, 2),
            queued_ms=round(ex.queued_s * 1000, 1),
            disk_waits_ms=[
                f"{step} {wait_s * 1000:.1f}" for step, wait_s in ex.disk_waits_s.items()
            ],
            attempt=ex.send_count,
            previous_turn=ex.request.previous_turn,
            sent=sent,
            took_ms=round(took_ms, 1),
        )

    def record_rejection(self, request_id: str, status: int, reason: str) -> None:
        """Logs a request that was rejected before it was matched to a route."""
        if self._failed.acquire():
            logs.logger("gateway").info(
                "request_refused", request=request_id, status=status, reason=reason
            )
