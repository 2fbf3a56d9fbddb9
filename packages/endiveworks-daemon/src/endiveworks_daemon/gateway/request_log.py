"""One log line for each request, fewer of the served ones under load."""

import time

from endiveworks.telemetry import logs

from .exchange import Exchange

# Lines for served requests; a fraction of a percent of the processor time.
MAX_SERVED_LINES_PER_S = 40
MAX_FAILED_LINES_PER_S = 200  # Lines for requests that were not served; more are counted.
_FIRST_ERROR = 400


class _Quota:
    """Lines that may still be written in the current second."""

    def __init__(self, per_s: int) -> None:
        self._per_s = per_s
        self._second = 0
        self._used = 0
        self._dropped = 0

    def take(self) -> bool:
        """Uses one line; False when the second has none left."""
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
    """Writes how requests ended."""

    def __init__(self) -> None:
        self._served = _Quota(MAX_SERVED_LINES_PER_S)
        self._failed = _Quota(MAX_FAILED_LINES_PER_S)

    def ended(self, ex: Exchange, status: int, reason: str, took_ms: float) -> None:
        """Notes the end of a request; status 0 stands for one that was broken off."""
        failed = not status or status >= _FIRST_ERROR
        if not (self._failed if failed else self._served).take():
            return
        program = ex.request.program
        logs.logger("gateway").info(
            "request_ended",
            request=ex.request.id,
            program=program.program if program else "",
            service=ex.service,
            class_name=ex.route.name,
            config_version=ex.table.version,
            status=status,
            reason=reason,
            peer=ex.replica,
            cost_ms=round(ex.cost_ms, 1),
            queued_ms=round(ex.queued_s * 1000, 1),
            attempt=ex.sends,
            took_ms=round(took_ms, 1),
        )

    def failure(self, request_id: str, status: int, reason: str) -> None:
        """Notes a request that was refused before it had a route."""
        if self._failed.take():
            logs.logger("gateway").info(
                "request_refused", request=request_id, status=status, reason=reason
            )
