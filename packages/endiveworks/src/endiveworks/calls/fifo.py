"""First come, first served order of waiting attempts."""

from collections import OrderedDict

from ..errors import Code, Failure
from .messages import CallKey, Job
from .queue import Queue
from .stream import Ending

_RETRY_S = 1.0


def fifo_queue(host: str, max_waiting: int) -> Queue:
    """Returns a queue that holds a bounded number of attempts in the order they came."""
    waiting: OrderedDict[CallKey, Job] = OrderedDict()

    def offer(job: Job, now: float) -> Failure | None:
        if len(waiting) >= max_waiting:
            detail = f"{max_waiting} calls wait already"
            return Failure(Code.OVERLOADED, "calls.offer", host, detail, True, _RETRY_S)
        waiting[job.key] = job
        return None

    def take(now: float) -> Job | None:
        return waiting.popitem(last=False)[1] if waiting else None

    def withdraw(key: CallKey) -> None:
        waiting.pop(key, None)

    def finished(job: Job, ending: Ending, now: float) -> None:
        """The order does not depend on what has ended."""

    return Queue(offer, take, withdraw, finished, lambda: len(waiting))
