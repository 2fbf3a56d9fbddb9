"""State of one attempt that an upstream process has accepted."""

import threading

from ..errors import Code, Failure
from .messages import Job
from .stream import Ending, Stream


class Execution:
    """One attempt that the executor has accepted.

    Attributes:
        ended_at: Monotonic time of its end, in seconds; 0 before.
        asked_at: Monotonic time at which an owner last asked about it, in seconds.
        delivered: Whether the end of its answer has been read.
    """

    def __init__(self, job: Job, now_s: float) -> None:
        self.job = job
        self.stream = Stream()
        self.cancelled = threading.Event()
        self.revoked = False
        self.pausing = False
        self.started = False
        self.ended_at = 0.0
        self.asked_at = now_s
        self.delivered = False

    def drop_answer(self) -> None:
        """Frees the answer of an attempt that ended long ago."""
        failure = Failure(Code.UPSTREAM_FAILED, "calls.read", "", "the answer is no longer kept")
        self.job = self.job._replace(body=b"")
        self.stream = Stream()
        self.stream.finish(Ending(410, "", failure=failure))
        self.delivered = True

    def is_settled(self, unasked_since: float) -> bool:
        """Tells whether a process that stops need not wait for the answer to be read.

        Args:
            unasked_since: No owner asks any more for an answer that ended before this time and was
                not asked for since, in monotonic seconds.
        """
        if self.delivered:
            return True
        return bool(self.ended_at) and max(self.ended_at, self.asked_at) < unasked_since
