"""Keep, export or drop the cached prefix of a program at a tool pause."""

import enum
import math
from typing import NamedTuple

from ..reasons import Reason, Reasons
from .pauses import Pauses, quantile_s

UNKNOWN_TOOL_PAUSE_S = 10.0
MIN_PAUSES = 8.0


class Action(enum.StrEnum):
    """What becomes of a prefix."""

    KEEP = "keep"
    EXPORT = "export"
    DROP = "drop"


class Memory(NamedTuple):
    """Engine memory as a pause begins.

    Attributes:
        idle_s: Age at which the engine evicts unused prefixes now; infinite without pressure.
        prefill_tokens_per_s: Tokens recomputed in a second.
        transfer_tokens_per_s: Tokens exported or imported in a second; 0 without export.
    """

    idle_s: float
    prefill_tokens_per_s: float
    transfer_tokens_per_s: float


class Decision(NamedTuple):
    """The action and the reasons."""

    action: Action
    reasons: Reasons


def decide(pauses: Pauses, tokens: int, memory: Memory) -> Decision:
    """Decides by the expected return against the age at which the engine evicts.

    A prefix whose program returns before eviction stays. Another would be recomputed, and until
    then takes room from those that return sooner: it is exported where that costs less time than
    to compute it again, and dropped otherwise.
    """
    known = pauses.total >= MIN_PAUSES
    return_s = quantile_s(pauses, 0.75) if known else UNKNOWN_TOOL_PAUSE_S
    recompute_s = tokens / memory.prefill_tokens_per_s
    reasons: Reasons = (
        Reason("return_s", return_s),
        Reason("evicted_after_s", memory.idle_s),
    )
    if return_s <= memory.idle_s:
        return Decision(Action.KEEP, reasons)
    if memory.transfer_tokens_per_s <= 0 or math.isinf(return_s):
        return Decision(Action.DROP, reasons)
    transfer_s = 2 * tokens / memory.transfer_tokens_per_s
    reasons += (Reason("recompute_s", recompute_s), Reason("transfer_s", transfer_s))
    action = Action.EXPORT if transfer_s < recompute_s else Action.DROP
    return Decision(action, reasons)
