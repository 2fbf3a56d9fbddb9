"""Refusal of calls that would wait, or have waited, past their deadline."""

from typing import NamedTuple

from ..reasons import Reason, Reasons

FIRST_CALL_SHARE = 0.5
MIN_RETRY_S = 1.0


class Expected(NamedTuple):
    """What the queue holds for a new call.

    Attributes:
        ahead_s: Expected cost of the calls that go before it, in seconds of one slot.
        slots: Calls served at once.
        deadline_s: Longest wait that the call bears.
        first: Whether it is the first call of its program.
    """

    ahead_s: float
    slots: float
    deadline_s: float
    first: bool


class Waited(NamedTuple):
    """How long a call has been in the queue.

    Attributes:
        waited_s: Time since it was queued.
        deadline_s: Longest wait that it bears.
        begun: Whether it had begun its answer before and made way for another.
    """

    waited_s: float
    deadline_s: float
    begun: bool


class Refusal(NamedTuple):
    """Whether the call is refused, when to ask again, and the reasons."""

    refused: bool
    retry_after_s: float
    reasons: Reasons


def predicted_wait_s(expected: Expected) -> float:
    """Returns the seconds for which the call is expected to wait."""
    return expected.ahead_s / max(1.0, expected.slots)


def judge(expected: Expected, spread: float) -> Refusal:
    """Refuses a call whose predicted wait passes what it bears.

    A program's first call bears a share of the deadline only, since nothing is lost yet by
    turning it away and every later call adds to the work of programs under way.

    Args:
        expected: The state of the queue.
        spread: Random number in [0, 1) that spreads the return of refused callers.
    """
    wait_s = predicted_wait_s(expected)
    bears_s = expected.deadline_s * (FIRST_CALL_SHARE if expected.first else 1.0)
    reasons = (Reason("predicted_wait_s", wait_s), Reason("bears_s", bears_s))
    if wait_s <= bears_s:
        return Refusal(False, 0.0, reasons)
    excess_s = max(MIN_RETRY_S, wait_s - bears_s)
    return Refusal(True, excess_s * (1.0 + spread), reasons)


def judge_waiting(call: Waited, spread: float) -> Refusal:
    """Refuses a queued call whose deadline is over, unless it has begun its answer.

    Args:
        call: The call.
        spread: Random number in [0, 1) that spreads the return of refused callers.
    """
    reasons = (Reason("waited_s", call.waited_s), Reason("bears_s", call.deadline_s))
    if call.begun or call.waited_s <= call.deadline_s:
        return Refusal(False, 0.0, reasons)
    return Refusal(True, call.deadline_s * (1.0 + spread), reasons)
