"""Calls submitted to a simulated upstream."""

from collections.abc import Callable
from typing import NamedTuple

from ..admission.queue import QueuedCall
from .engine import Boundary, Sequence


class Job(NamedTuple):
    """A call submitted to an upstream.

    Attributes:
        queued_call: Representation of the call in the queue.
        seq: Representation of the call in the engine.
        deadline_s: Maximum acceptable wait, in seconds.
        on_done: Called with the request when it has completed.
        on_refused: Called with the delay, in seconds, after which to retry.
        on_lost: Called when the upstream has failed.
        first_call: Whether it is the first call of its program.
        preemptions: Number of times it has been preempted.
    """

    queued_call: QueuedCall
    seq: Sequence
    deadline_s: float
    on_done: Callable[[Sequence], None]
    on_refused: Callable[[float], None]
    on_lost: Callable[[], None]
    first_call: bool = False
    preemptions: int = 0


def resume_job(job: Job, seq: Sequence) -> Job:
    """Returns a preempted job that continues after the tokens already generated."""
    produced = seq.produced
    resume_point = Boundary(seq.prefix_id_after(produced), seq.prompt_tokens + produced)
    remaining = Sequence(
        seq.request,
        seq.salt,
        (*seq.boundaries, resume_point),
        resume_point.tokens,
        max(1, seq.output_tokens - produced),
        lambda n: seq.prefix_id_after(produced + n),
    )
    return job._replace(seq=remaining, preemptions=job.preemptions + 1)
