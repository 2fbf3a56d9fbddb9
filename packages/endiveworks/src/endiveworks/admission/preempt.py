"""Choice of a running call that is cancelled and later resumed for a higher class."""

from collections.abc import Iterable
from typing import NamedTuple

from ..reasons import Reason, Reasons

MAX_PREEMPTIONS = 1
MIN_REMAINING_TOKENS = 32


class Victim(NamedTuple):
    """A running call.

    Attributes:
        key: Unique id of the attempt.
        priority: Priority of its class; a lower number goes first.
        remaining_tokens: Most tokens that it may still generate.
        preemptions: How often it was cancelled before.
        resumable: Whether it may be cancelled and resumed at all.
    """

    key: str
    priority: int
    remaining_tokens: int
    preemptions: int
    resumable: bool


class Preemption(NamedTuple):
    """The call to cancel, with the reasons."""

    key: str
    reasons: Reasons


def choose_victim(running: Iterable[Victim], waiting_priority: int) -> Preemption | None:
    """Picks the call of the lowest class with most left to do; None when none may be cancelled."""
    eligible = [
        victim
        for victim in running
        if victim.priority > waiting_priority
        and victim.resumable
        and victim.preemptions < MAX_PREEMPTIONS
        and victim.remaining_tokens >= MIN_REMAINING_TOKENS
    ]
    if not eligible:
        return None
    worst = max(eligible, key=lambda victim: (victim.priority, victim.remaining_tokens))
    reasons = (
        Reason("waiting_priority", waiting_priority),
        Reason("victim_priority", worst.priority),
        Reason("victim_remaining_tokens", worst.remaining_tokens),
    )
    return Preemption(worst.key, reasons)
