"""State of one attempt that an upstream process has accepted."""

import threading

from ..errors import Code, Failure
from .messages import Job
from .stream import FinalStatus, Stream


class Execution:
    """One attempt that the executor has accepted.

    Attributes:
        ended_at: Monotonic time at which it finished, in seconds; 0 until then.
        requested_at: Monotonic time of the last request of an owner about it, in seconds.
        delivered: Whether its response has been read to the end.
    """

    def __init__(self, job: Job, now_s: float) -> None:
        self.job = job
        self.stream = Stream()
        self.cancelled = threading.Event()
        self.revoked = False
        self.pausing = False
        self.started = False
        self.ended_at = 0.0
        self.requested_at = now_s
        self.delivered = False

    def drop_response(self) -> None:
        """Frees the response of an attempt that finished long ago."""
        failure = Failure(Code.UPSTREAM_FAILED, "calls.read", "", "the response is no longer kept")
        self.job = self.job._replace(body=b"")
        self.stream = Stream()
        self.stream.finish(FinalStatus(410, "", failure=failure))
        self.delivered = True

    def is_settled(self, abandoned_before: float) -> bool:
        """Returns whether shutdown need not wait for the response to be read.

        Args:
            abandoned_before: Monotonic time in seconds; a response that ended before it and was
                last requested before it has no reader left.
        """
        if self.delivered:
            return True
        return bool(self.ended_at) and max(self.ended_at, self.requested_at) < abandoned_before
