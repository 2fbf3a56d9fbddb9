"""Which idle prefixes leave the engine's memory when a call needs room, and how."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from ..reasons import Reason, Reasons
from .pauses import Pauses, quantile_s

UNKNOWN_PAUSE_S = 10.0
MIN_PAUSES = 8.0
RETURN_SHARE = 0.75
LONGEST_RETURN_S = 3_600.0


class Action(enum.StrEnum):
    """How a prefix leaves."""

    EXPORT = "export"
    DROP = "drop"


class Idle(NamedTuple):
    """A prefix that no running call uses.

    Attributes:
        program: Its program.
        tokens: Its length.
        return_s: Expected time until the program's next call starts, in seconds.
    """

    program: str
    tokens: int
    return_s: float


class Speed(NamedTuple):
    """Tokens computed and tokens exported or imported in a second; 0 without export."""

    prefill_tokens_per_s: float
    transfer_tokens_per_s: float


class Move(NamedTuple):
    """A prefix that leaves, and why."""

    program: str
    action: Action
    reasons: Reasons


def expected_return_s(pauses: Pauses, elapsed_s: float) -> float:
    """Returns the expected rest of a pause that has lasted for elapsed_s."""
    if pauses.total < MIN_PAUSES:
        return UNKNOWN_PAUSE_S
    return min(LONGEST_RETURN_S, quantile_s(pauses, RETURN_SHARE, elapsed_s)) - elapsed_s


def make_room(idle: Iterable[Idle], need_tokens: int, speed: Speed) -> tuple[Move, ...]:
    """Picks the prefixes whose programs return last until enough tokens are free.

    A prefix is exported where moving it out and back takes less time than to compute it again,
    and dropped otherwise or when its program is not expected back.
    """
    moves = []
    for prefix in sorted(idle, key=lambda prefix: -prefix.return_s):
        if need_tokens <= 0:
            break
        need_tokens -= prefix.tokens
        moves.append(_move(prefix, speed))
    return tuple(moves)


def _move(prefix: Idle, speed: Speed) -> Move:
    recompute_s = prefix.tokens / speed.prefill_tokens_per_s
    reasons: Reasons = (
        Reason("return_s", prefix.return_s),
        Reason("recompute_s", recompute_s),
    )
    if speed.transfer_tokens_per_s <= 0 or prefix.return_s >= LONGEST_RETURN_S:
        return Move(prefix.program, Action.DROP, reasons)
    transfer_s = 2 * prefix.tokens / speed.transfer_tokens_per_s
    reasons += (Reason("transfer_s", transfer_s),)
    action = Action.EXPORT if transfer_s < recompute_s else Action.DROP
    return Move(prefix.program, action, reasons)
