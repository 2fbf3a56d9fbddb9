"""Logs responses of replicas that belong to no pending request."""

import time

from endiveworks.gateway.messages import ResponseHead
from endiveworks.telemetry import logs

MAX_SKIPPED_LINES_PER_S = 20  # A faulty replica may write one before each of its responses.


class SkippedResponses:
    """Logs skipped responses, up to a number of lines per second."""

    def __init__(self) -> None:
        self._second = 0
        self._lines = 0

    def record(self, request_id: str, replica: str, head: ResponseHead) -> None:
        """Logs a response of a replica that came in the place of the one to a request."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > MAX_SKIPPED_LINES_PER_S:
            return
        reason = "it has another request's id" if head.request_id else "it has no request's id"
        logs.logger("gateway").info(
            "response_skipped", request=request_id, peer=replica, status=head.status, reason=reason
        )
