"""Chooses the idle prefixes to evict when a call needs KV cache space.

An evicted prefix is either exported from the engine, to be imported again later, or dropped.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from ..reasons import Reason, Reasons
from .pauses import PauseHistogram, quantile_s

DEFAULT_PAUSE_S = 10.0
MIN_PAUSE_COUNT = 8.0
RETURN_QUANTILE = 0.75
MAX_RETURN_S = 3_600.0


class Action(enum.StrEnum):
    """How a prefix is evicted."""

    EXPORT = "export"
    DROP = "drop"


class IdlePrefix(NamedTuple):
    """A cached prefix that no running call uses.

    Attributes:
        program: Program that it belongs to.
        tokens: Length, in tokens.
        return_s: Expected time until the program's next call starts, in seconds.
    """

    program: str
    tokens: int
    return_s: float


class TokenRates(NamedTuple):
    """Rates of prefill and of export or import; the latter is 0 if export is not available."""

    prefill_tokens_per_s: float
    transfer_tokens_per_s: float


class Eviction(NamedTuple):
    """A prefix to evict, and the reasons."""

    program: str
    action: Action
    reasons: Reasons


def expected_return_s(pauses: PauseHistogram, elapsed_s: float) -> float:
    """Returns the expected remainder of a pause that has lasted elapsed_s, in seconds."""
    if pauses.total < MIN_PAUSE_COUNT:
        return DEFAULT_PAUSE_S
    return min(MAX_RETURN_S, quantile_s(pauses, RETURN_QUANTILE, elapsed_s)) - elapsed_s


def choose_evictions(
    idle: Iterable[IdlePrefix], required_tokens: int, rates: TokenRates
) -> tuple[Eviction, ...]:
    """Chooses prefixes, latest expected return first, until enough tokens are freed.

    A prefix is exported if exporting and importing it takes less time than recomputing it. It is
    dropped otherwise, or if its program is not expected to return.
    """
    evictions = []
    for prefix in sorted(idle, key=lambda prefix: -prefix.return_s):
        if required_tokens <= 0:
            break
        required_tokens -= prefix.tokens
        evictions.append(_eviction(prefix, rates))
    return tuple(evictions)


def _eviction(prefix: IdlePrefix, rates: TokenRates) -> Eviction:
    recompute_s = prefix.tokens / rates.prefill_tokens_per_s
    reasons: Reasons = (
        Reason("return_s", prefix.return_s),
        Reason("recompute_s", recompute_s),
    )
    if rates.transfer_tokens_per_s <= 0 or prefix.return_s >= MAX_RETURN_S:
        return Eviction(prefix.program, Action.DROP, reasons)
    transfer_s = 2 * prefix.tokens / rates.transfer_tokens_per_s
    reasons += (Reason("transfer_s", transfer_s),)
    action = Action.EXPORT if transfer_s < recompute_s else Action.DROP
    return Eviction(prefix.program, action, reasons)
