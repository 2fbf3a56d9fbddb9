"""Token bucket in bytes for the link between regions; control has priority over bulk."""

import enum
from typing import NamedTuple


class TrafficClass(enum.StrEnum):
    """Priority class of a message on the link."""

    CONTROL = "control"
    BULK = "bulk"


class LinkLimits(NamedTuple):
    """Limits on one process's use of the link.

    Attributes:
        bytes_per_s: Rate at which the budget refills.
        burst_bytes: Capacity of the budget.
        control_reserve_bytes: Part of the burst reserved for control.
        max_wait_s: Longest wait granted to bulk; a longer one is refused.
    """

    bytes_per_s: float
    burst_bytes: float
    control_reserve_bytes: float
    max_wait_s: float


class ByteBudget(NamedTuple):
    """Bytes that may be sent at a monotonic time in seconds; negative while in debt."""

    level_bytes: float
    as_of_s: float


class Reservation(NamedTuple):
    """The result of reserving bytes.

    Attributes:
        budget: The budget afterwards.
        allowed: Whether the bytes may be sent, after the wait.
        wait_s: Seconds to wait before sending, or before trying again when refused.
    """

    budget: ByteBudget
    allowed: bool
    wait_s: float


def full_byte_budget(limits: LinkLimits, now_s: float) -> ByteBudget:
    """Returns a budget at its capacity."""
    return ByteBudget(limits.burst_bytes, now_s)


def reserve(
    limits: LinkLimits, budget: ByteBudget, traffic_class: TrafficClass, size: int, now_s: float
) -> Reservation:
    """Reserves bytes for a message.

    Control is always allowed at once and may take the budget below zero, which delays later bulk.
    Bulk waits until its bytes fit above the reserve for control, and is refused if it would have
    to wait longer than max_wait_s.
    """
    refilled = _refill(limits, budget, now_s)
    after = refilled._replace(level_bytes=refilled.level_bytes - size)
    if traffic_class is TrafficClass.CONTROL:
        return Reservation(after, True, 0.0)
    missing = limits.control_reserve_bytes - after.level_bytes
    wait_s = max(0.0, missing / limits.bytes_per_s)
    if wait_s > limits.max_wait_s:
        return Reservation(refilled, False, wait_s - limits.max_wait_s)
    return Reservation(after, True, wait_s)


def _refill(limits: LinkLimits, budget: ByteBudget, now_s: float) -> ByteBudget:
    gained = max(0.0, now_s - budget.as_of_s) * limits.bytes_per_s
    return ByteBudget(min(limits.burst_bytes, budget.level_bytes + gained), now_s)
