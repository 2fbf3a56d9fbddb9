"""Limits the calls that an engine runs concurrently, by slots and by KV cache memory."""

from typing import NamedTuple

from ..reasons import Reason, Reasons


class Target(NamedTuple):
    """Limits on concurrent calls.

    Attributes:
        slots: Maximum number of concurrent calls.
        memory_tokens: Capacity of the KV cache in tokens; 0 if unknown.
        memory_share: Fraction of that capacity available to running calls; the rest is left for
            cached prefixes.
    """

    slots: int = 256
    memory_tokens: int = 0
    memory_share: float = 0.9


class Running(NamedTuple):
    """Calls that the engine is running, and the KV cache tokens reserved for them."""

    calls: int
    reserved_tokens: int


class Verdict(NamedTuple):
    """Whether a call may start, and the reasons."""

    admitted: bool
    reasons: Reasons


def may_start(target: Target, running: Running, need_tokens: int) -> Verdict:
    """Decides whether a call that needs this many tokens of KV cache may start now."""
    slots_left = target.slots - running.calls
    memory_left = target.memory_tokens * target.memory_share - running.reserved_tokens
    fits = target.memory_tokens == 0 or need_tokens <= memory_left
    # A call larger than the memory limit runs alone; otherwise it would never start.
    admitted = running.calls == 0 or (slots_left > 0 and fits)
    reasons = (
        Reason("slots_left", slots_left),
        Reason("memory_left_tokens", memory_left if target.memory_tokens else 0.0),
    )
    return Verdict(admitted, reasons)


def usual_calls(target: Target, mean_tokens: float) -> float:
    """Returns how many calls that each use mean_tokens fit in the engine at once."""
    if target.memory_tokens == 0 or mean_tokens <= 0:
        return float(target.slots)
    by_memory = target.memory_tokens * target.memory_share / mean_tokens
    return max(1.0, min(float(target.slots), by_memory))
