"""Refuses calls that are expected to wait, or have waited, past their deadline."""

from typing import NamedTuple

from ..reasons import Reason, Reasons

FIRST_CALL_SHARE = 0.5
MIN_RETRY_S = 1.0


class ExpectedWait(NamedTuple):
    """State of the queue from which the wait of a new call is predicted.

    Attributes:
        cost_ahead_s: Total expected service time of the calls ahead of it, in seconds; a single
            slot would take this long to serve them.
        slots: Number of calls served concurrently.
        deadline_s: Maximum acceptable wait of the call, in seconds.
        first_call: Whether it is the first call of its program.
    """

    cost_ahead_s: float
    slots: float
    deadline_s: float
    first_call: bool


class ElapsedWait(NamedTuple):
    """Time that a call has already spent in the queue.

    Attributes:
        waited_s: Time since it was queued, in seconds.
        deadline_s: Maximum acceptable wait of the call, in seconds.
        preempted: Whether it was preempted after its response had begun.
    """

    waited_s: float
    deadline_s: float
    preempted: bool


class Refusal(NamedTuple):
    """Whether the call is refused, the delay before a retry, and the reasons."""

    refused: bool
    retry_after_s: float
    reasons: Reasons


def predicted_wait_s(expected: ExpectedWait) -> float:
    """Returns the expected wait of the call, in seconds."""
    return expected.cost_ahead_s / max(1.0, expected.slots)


def evaluate_new_call(expected: ExpectedWait, jitter: float) -> Refusal:
    """Refuses a new call if its predicted wait exceeds its maximum wait.

    The first call of a program may wait only a fraction of the deadline: refusing it wastes no
    work, whereas every later call continues a program that is already in progress.

    Args:
        expected: The state of the queue.
        jitter: Random number in [0, 1) that spreads the retries of refused callers.
    """
    wait_s = predicted_wait_s(expected)
    max_wait_s = expected.deadline_s * (FIRST_CALL_SHARE if expected.first_call else 1.0)
    reasons = (Reason("predicted_wait_s", wait_s), Reason("bears_s", max_wait_s))
    if wait_s <= max_wait_s:
        return Refusal(False, 0.0, reasons)
    excess_s = max(MIN_RETRY_S, wait_s - max_wait_s)
    return Refusal(True, excess_s * (1.0 + jitter), reasons)


def evaluate_queued_call(call: ElapsedWait, jitter: float) -> Refusal:
    """Refuses a queued call whose deadline has passed, unless its response has begun.

    Args:
        call: Wait and deadline of the call.
        jitter: Random number in [0, 1) that spreads the retries of refused callers.
    """
    reasons = (Reason("waited_s", call.waited_s), Reason("bears_s", call.deadline_s))
    if call.preempted or call.waited_s <= call.deadline_s:
        return Refusal(False, 0.0, reasons)
    return Refusal(True, call.deadline_s * (1.0 + jitter), reasons)
