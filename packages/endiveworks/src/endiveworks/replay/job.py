"""A call at an upstream in a replay."""

from collections.abc import Callable
from typing import NamedTuple

from ..admission.queue import QueuedCall
from .engine import Boundary, Sequence


class Job(NamedTuple):
    """A call at an upstream.

    Attributes:
        waiting: The call as the queue sees it.
        seq: The request as the engine sees it.
        deadline_s: Longest wait that it bears.
        done: Called with the request once it has ended.
        refused: Called with the seconds after which to ask again.
        lost: Called when the upstream vanishes.
        first: Whether it is the first call of its program.
        preemptions: How often it made way for another.
    """

    waiting: QueuedCall
    seq: Sequence
    deadline_s: float
    done: Callable[[Sequence], None]
    refused: Callable[[float], None]
    lost: Callable[[], None]
    first: bool = False
    preemptions: int = 0


def resumed(job: Job, seq: Sequence) -> Job:
    """Returns a job that was cancelled as it goes on from what it has generated."""
    produced = seq.produced
    reached = Boundary(seq.mark_after(produced), seq.prompt_tokens + produced)
    left = Sequence(
        seq.request,
        seq.salt,
        (*seq.boundaries, reached),
        reached.tokens,
        max(1, seq.output_tokens - produced),
        lambda n: seq.mark_after(produced + n),
    )
    return job._replace(seq=left, preemptions=job.preemptions + 1)
