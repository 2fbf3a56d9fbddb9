"""The order in which an executor's waiting attempts run."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..errors import Failure
from .messages import CallKey, Job
from .stream import Ending


class Queue(NamedTuple):
    """The order in which waiting attempts run.

    Attributes:
        offer: Adds an attempt at a time, or says why it is refused.
        take: Removes and returns the attempt to run next; None when none waits.
        withdraw: Removes a waiting attempt.
        finished: Is told that an attempt has ended, with its ending.
        size: Number of waiting attempts.
        preempt: Names a running attempt to pause for one that waits; None when none should be.
        requeue: Takes back an attempt that was paused; it is never refused.
        expire: Removes the attempts that have waited past their deadline and returns each with
            its refusal.
    """

    offer: Callable[[Job, float], Failure | None]
    take: Callable[[float], Job | None]
    withdraw: Callable[[CallKey], None]
    finished: Callable[[Job, Ending, float], None]
    size: Callable[[], int]
    preempt: Callable[[float], CallKey | None] = lambda now: None
    requeue: Callable[[Job, float], None] = lambda job, now: None
    expire: Callable[[float], Sequence[tuple[Job, Failure]]] = lambda now: ()
