"""How many calls an engine runs at once, by its slots and its memory."""

from typing import NamedTuple

from ..reasons import Reason, Reasons


class Target(NamedTuple):
    """Bounds of the concurrency.

    Attributes:
        slots: Most calls at once.
        memory_tokens: Tokens of KV that fit in the engine; 0 when that is not known.
        memory_share: Share of the memory that running calls may take; the rest keeps prefixes.
    """

    slots: int = 256
    memory_tokens: int = 0
    memory_share: float = 0.9


class Running(NamedTuple):
    """What the engine runs now."""

    calls: int
    reserved_tokens: int


class Verdict(NamedTuple):
    """Whether a call may start, with the reasons."""

    admitted: bool
    reasons: Reasons


def may_start(target: Target, running: Running, need_tokens: int) -> Verdict:
    """Decides whether a call that needs so many tokens of memory may start now."""
    slots_left = target.slots - running.calls
    memory_left = target.memory_tokens * target.memory_share - running.reserved_tokens
    fits = target.memory_tokens == 0 or need_tokens <= memory_left
    # A call larger than the share of memory runs alone rather than never.
    admitted = running.calls == 0 or (slots_left > 0 and fits)
    reasons = (
        Reason("slots_left", slots_left),
        Reason("memory_left_tokens", memory_left if target.memory_tokens else 0.0),
    )
    return Verdict(admitted, reasons)


def usual_calls(target: Target, usual_tokens: float) -> float:
    """Returns how many calls of the usual need run at once."""
    if target.memory_tokens == 0 or usual_tokens <= 0:
        return float(target.slots)
    by_memory = target.memory_tokens * target.memory_share / usual_tokens
    return max(1.0, min(float(target.slots), by_memory))
