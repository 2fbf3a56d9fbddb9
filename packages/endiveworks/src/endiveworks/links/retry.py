"""Retry budget, and backoff with full jitter."""

from typing import NamedTuple

_MAX_EXPONENT = 30


class RetryBudget(NamedTuple):
    """Token bucket of retries, refilled by first attempts.

    Attributes:
        tokens: Retries available now.
        capacity: Most retries that can accumulate.
        per_request: Retries earned by one first attempt.
    """

    tokens: float
    capacity: float
    per_request: float


class Withdrawal(NamedTuple):
    """The budget after a request for a retry, and whether the retry is allowed."""

    budget: RetryBudget
    allowed: bool


def full_budget(capacity: float, per_request: float) -> RetryBudget:
    """Returns a budget at its capacity."""
    return RetryBudget(capacity, capacity, per_request)


def deposit(budget: RetryBudget) -> RetryBudget:
    """Returns the budget after a first attempt."""
    tokens = min(budget.capacity, budget.tokens + budget.per_request)
    return budget._replace(tokens=tokens)


def withdraw(budget: RetryBudget) -> Withdrawal:
    """Takes one retry from the budget if one is available."""
    if budget.tokens < 1.0:
        return Withdrawal(budget, False)
    return Withdrawal(budget._replace(tokens=budget.tokens - 1.0), True)


def backoff_s(attempt: int, base_s: float, cap_s: float, random: float) -> float:
    """Returns the wait before a retry, with full jitter so that clients do not retry in step.

    Args:
        attempt: Failures so far, from 1.
        base_s: Upper bound of the first wait, in seconds.
        cap_s: Upper bound of every wait, in seconds.
        random: Random number from 0 up to 1.
    """
    exponent = min(max(attempt - 1, 0), _MAX_EXPONENT)
    return min(cap_s, base_s * 2.0**exponent) * random
