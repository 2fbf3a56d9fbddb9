"""How many calls an engine runs at once, by its memory and by the time between tokens."""

from typing import NamedTuple

from ..reasons import Reason, Reasons


class Target(NamedTuple):
    """Bounds of the concurrency.

    Attributes:
        token_gap_s: Time between tokens that should not be passed.
        slots: Most calls at once.
        memory_tokens: Tokens of KV that fit in the engine; 0 when it has no such bound.
        memory_share: Share of the memory that running calls may take; the rest keeps prefixes.
    """

    token_gap_s: float = 0.066
    slots: int = 256
    memory_tokens: int = 0
    memory_share: float = 0.9


class Limit(NamedTuple):
    """Concurrency in force: the allowed number of calls, grown slowly and cut at once."""

    allowed: float


class Running(NamedTuple):
    """What the engine runs now."""

    calls: int
    reserved_tokens: int


class Verdict(NamedTuple):
    """Whether a call may start, with the reasons."""

    admitted: bool
    reasons: Reasons


GROWTH_CALLS = 1.0
CUT = 0.9
MIN_CALLS = 2.0


def observe(limit: Limit, target: Target, running: Running, token_gap_s: float) -> Limit:
    """Adapts the limit to a time between tokens that was seen at the present concurrency."""
    if token_gap_s > target.token_gap_s:
        return Limit(max(MIN_CALLS, min(limit.allowed, running.calls) * CUT))
    if running.calls + 1 >= limit.allowed:
        return Limit(min(float(target.slots), limit.allowed + GROWTH_CALLS))
    return limit


def may_start(limit: Limit, target: Target, running: Running, need_tokens: int) -> Verdict:
    """Decides whether a call that needs so many tokens of memory may start now."""
    calls_left = min(limit.allowed, target.slots) - running.calls
    memory_left = target.memory_tokens * target.memory_share - running.reserved_tokens
    fits = target.memory_tokens == 0 or need_tokens <= memory_left
    # A call larger than the share of memory runs alone rather than never.
    admitted = running.calls == 0 or (calls_left >= 1 and fits)
    reasons = (
        Reason("calls_left", calls_left),
        Reason("memory_left_tokens", memory_left if target.memory_tokens else 0.0),
    )
    return Verdict(admitted, reasons)
