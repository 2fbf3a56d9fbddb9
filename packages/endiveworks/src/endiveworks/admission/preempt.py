"""Selects a running call to cancel, and resume later, in favour of a higher class."""

from collections.abc import Iterable
from typing import NamedTuple

from ..reasons import Reason, Reasons

MAX_PREEMPTIONS = 1
MIN_REMAINING_TOKENS = 32


class RunningCall(NamedTuple):
    """A running call that may be preempted.

    Attributes:
        key: Unique id of the attempt.
        priority: Priority of its class; lower numbers are served first.
        remaining_tokens: Maximum number of tokens that it may still generate.
        preemptions: Number of times it has been preempted.
        resumable: Whether it can be cancelled and resumed.
    """

    key: str
    priority: int
    remaining_tokens: int
    preemptions: int
    resumable: bool


class Preemption(NamedTuple):
    """The call to cancel, and the reasons."""

    key: str
    reasons: Reasons


def choose_victim(running: Iterable[RunningCall], waiting_priority: int) -> Preemption | None:
    """Picks the call of the lowest class with the most remaining tokens; None if none is eligible.

    Only calls of a lower class than the waiting call are eligible.
    """
    eligible = [
        call
        for call in running
        if call.priority > waiting_priority
        and call.resumable
        and call.preemptions < MAX_PREEMPTIONS
        and call.remaining_tokens >= MIN_REMAINING_TOKENS
    ]
    if not eligible:
        return None
    victim = max(eligible, key=lambda call: (call.priority, call.remaining_tokens))
    reasons = (
        Reason("waiting_priority", waiting_priority),
        Reason("victim_priority", victim.priority),
        Reason("victim_remaining_tokens", victim.remaining_tokens),
    )
    return Preemption(victim.key, reasons)
