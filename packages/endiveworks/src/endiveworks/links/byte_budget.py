"""Byte budget of the link between regions: control goes first, bulk waits within a bound."""

import enum
from typing import NamedTuple


class Traffic(enum.StrEnum):
    """What a message is for."""

    CONTROL = "control"
    BULK = "bulk"


class Limits(NamedTuple):
    """The link as one host may use it.

    Attributes:
        bytes_per_s: Rate at which the budget fills.
        burst_bytes: Most bytes that can be saved up.
        control_bytes: Part of the burst that bulk leaves to control.
        max_wait_s: Longest time that bulk is made to wait.
    """

    bytes_per_s: float
    burst_bytes: float
    control_bytes: float
    max_wait_s: float


class Budget(NamedTuple):
    """Bytes that may be sent, as of a monotonic time in seconds; below zero while in debt."""

    level_bytes: float
    as_of_s: float


class Grant(NamedTuple):
    """The outcome of a reservation.

    Attributes:
        budget: The budget afterwards.
        allowed: Whether the bytes may be sent, after the wait.
        wait_s: Seconds to wait first; of a refusal, seconds until it is of use to ask again.
    """

    budget: Budget
    allowed: bool
    wait_s: float


def full(limits: Limits, now_s: float) -> Budget:
    """Returns a budget that is full."""
    return Budget(limits.burst_bytes, now_s)


def reserve(limits: Limits, budget: Budget, traffic: Traffic, size: int, now_s: float) -> Grant:
    """Reserves bytes.

    Control is sent at once and paid for by later bulk. Bulk waits until its bytes fit above the
    part left to control; what would have to wait too long is refused instead of queued.
    """
    filled = _filled(limits, budget, now_s)
    after = filled._replace(level_bytes=filled.level_bytes - size)
    if traffic is Traffic.CONTROL:
        return Grant(after, True, 0.0)
    missing = limits.control_bytes - after.level_bytes
    wait_s = max(0.0, missing / limits.bytes_per_s)
    if wait_s > limits.max_wait_s:
        return Grant(filled, False, wait_s - limits.max_wait_s)
    return Grant(after, True, wait_s)


def _filled(limits: Limits, budget: Budget, now_s: float) -> Budget:
    gained = max(0.0, now_s - budget.as_of_s) * limits.bytes_per_s
    return Budget(min(limits.burst_bytes, budget.level_bytes + gained), now_s)
