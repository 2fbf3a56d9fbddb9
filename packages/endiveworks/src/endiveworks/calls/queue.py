"""Interface of the queue of an executor's waiting attempts."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..errors import Failure
from .messages import CallKey, Job
from .stream import FinalStatus


class Queue(NamedTuple):
    """Queue of waiting attempts, which decides the order in which they run.

    Attributes:
        enqueue: Adds an attempt, or returns why it is refused.
        dequeue: Removes and returns the next attempt to run; None when the queue is empty.
        remove: Removes a waiting attempt.
        on_finished: Called with an attempt that has finished and its result.
        size: Returns the number of waiting attempts.
        preempt: Returns the key of a running attempt to pause in favor of a waiting one, or None.
        requeue: Adds an attempt that was paused; never refuses it.
        expire: Removes the attempts whose deadline passed while they waited, and returns each
            with the failure to report.

    Times are monotonic, in seconds.
    """

    enqueue: Callable[[Job, float], Failure | None]
    dequeue: Callable[[float], Job | None]
    remove: Callable[[CallKey], None]
    on_finished: Callable[[Job, FinalStatus, float], None]
    size: Callable[[], int]
    preempt: Callable[[float], CallKey | None] = lambda now: None
    requeue: Callable[[Job, float], None] = lambda job, now: None
    expire: Callable[[float], Sequence[tuple[Job, Failure]]] = lambda now: ()
