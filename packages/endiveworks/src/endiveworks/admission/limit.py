"""Limits the calls that an engine runs concurrently, by slots and by KV cache memory."""

from typing import NamedTuple

from ..reasons import Reason, Reasons


class ConcurrencyLimits(NamedTuple):
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


class EngineLoad(NamedTuple):
    """Calls that the engine is running, and the KV cache tokens reserved for them."""

    calls: int
    reserved_tokens: int


class Decision(NamedTuple):
    """Whether a call may start, and the reasons."""

    admitted: bool
    reasons: Reasons


def may_start(limits: ConcurrencyLimits, load: EngineLoad, required_tokens: int) -> Decision:
    """Decides whether a call that needs this many tokens of KV cache may start now."""
    slots_left = limits.slots - load.calls
    memory_left_tokens = limits.memory_tokens * limits.memory_share - load.reserved_tokens
    fits = limits.memory_tokens == 0 or required_tokens <= memory_left_tokens
    # A call larger than the memory limit runs alone; otherwise it would never start.
    admitted = load.calls == 0 or (slots_left > 0 and fits)
    reasons = (
        Reason("slots_left", slots_left),
        Reason("memory_left_tokens", memory_left_tokens if limits.memory_tokens else 0.0),
    )
    return Decision(admitted, reasons)


def expected_concurrency(limits: ConcurrencyLimits, mean_tokens: float) -> float:
    """Returns how many calls that each use mean_tokens fit in the engine at once."""
    if limits.memory_tokens == 0 or mean_tokens <= 0:
        return float(limits.slots)
    by_memory = limits.memory_tokens * limits.memory_share / mean_tokens
    return max(1.0, min(float(limits.slots), by_memory))
