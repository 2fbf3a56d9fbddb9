"""First-in, first-out queue of waiting attempts."""

from collections import OrderedDict

from ..errors import Code, Failure
from .messages import CallKey, Job
from .queue import Queue
from .stream import FinalStatus

_RETRY_S = 1.0


def fifo_queue(host: str, max_waiting: int) -> Queue:
    """Returns a bounded queue that runs attempts in order of arrival."""
    waiting: OrderedDict[CallKey, Job] = OrderedDict()

    def enqueue(job: Job, now: float) -> Failure | None:
        if len(waiting) >= max_waiting:
            detail = f"{max_waiting} calls are already waiting"
            return Failure(Code.OVERLOADED, "calls.offer", host, detail, True, _RETRY_S)
        waiting[job.key] = job
        return None

    def dequeue(now: float) -> Job | None:
        return waiting.popitem(last=False)[1] if waiting else None

    def remove(key: CallKey) -> None:
        waiting.pop(key, None)

    def on_finished(job: Job, final_status: FinalStatus, now: float) -> None:
        """Does nothing: the order does not depend on finished attempts."""

    return Queue(enqueue, dequeue, remove, on_finished, lambda: len(waiting))
