"""Retry budget, backoff with full jitter, and the circuit of a peer."""

from typing import NamedTuple

_OPEN_AFTER_FAILURES = 3
_MAX_EXPONENT = 30


class RetryBudget(NamedTuple):
    """Retries that may still be made, as a token bucket filled by first attempts.

    Attributes:
        tokens: Retries available now.
        capacity: Most retries that can be saved up.
        per_request: Retries earned by one first attempt.
    """

    tokens: float
    capacity: float
    per_request: float


class Withdrawal(NamedTuple):
    """The budget after a retry was asked for, and whether it is allowed."""

    budget: RetryBudget
    allowed: bool


class Circuit(NamedTuple):
    """What is known of a peer's answers.

    Attributes:
        failures: Failures since the last success.
        closed_from_s: Monotonic time from which the next attempt is allowed, in seconds.
    """

    failures: int = 0
    closed_from_s: float = 0.0


def full_budget(capacity: float, per_request: float) -> RetryBudget:
    """Returns a budget that is full."""
    return RetryBudget(capacity, capacity, per_request)


def deposit(budget: RetryBudget) -> RetryBudget:
    """Returns the budget after a first attempt."""
    tokens = min(budget.capacity, budget.tokens + budget.per_request)
    return budget._replace(tokens=tokens)


def withdraw(budget: RetryBudget) -> Withdrawal:
    """Takes one retry from the budget, if it holds one."""
    if budget.tokens < 1.0:
        return Withdrawal(budget, False)
    return Withdrawal(budget._replace(tokens=budget.tokens - 1.0), True)


def backoff_s(attempt: int, base_s: float, cap_s: float, random: float) -> float:
    """Returns the wait before a retry, spread over the whole range so that peers do not align.

    Args:
        attempt: Failures so far, from 1.
        base_s: Upper bound of the first wait, in seconds.
        cap_s: Upper bound of every wait, in seconds.
        random: A number from 0 up to 1.
    """
    exponent = min(max(attempt - 1, 0), _MAX_EXPONENT)
    return min(cap_s, base_s * 2.0**exponent) * random


def allows(circuit: Circuit, now_s: float) -> bool:
    """Returns whether a peer may be called now."""
    return now_s >= circuit.closed_from_s


def after_success(circuit: Circuit) -> Circuit:
    """Returns the circuit after an answer."""
    return Circuit() if circuit.failures else circuit


def after_failure(circuit: Circuit, now_s: float, wait_s: float) -> Circuit:
    """Returns the circuit after a failure; several in a row open it for a time in seconds."""
    failures = circuit.failures + 1
    closed_from_s = now_s + wait_s if failures >= _OPEN_AFTER_FAILURES else circuit.closed_from_s
    return Circuit(failures, closed_from_s)
