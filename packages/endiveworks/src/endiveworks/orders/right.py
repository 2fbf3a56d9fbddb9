"""The right to give orders to an engine, and the fencing numbers that come from it.

The process whose incarnation the host's entry names is in charge. Each read of the entry proves
that anew, for PROOF_S from before the read; a process that was paused for longer has to prove it
again. The revision of the entry grows with each process that takes the name over, so that numbers
made from it grow as well, over restarts and replacements.
"""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result

from ..errors import Failure
from ..kvservice.kv import Entry, Kv
from ..members.registry import HOSTS_PREFIX, decode_member
from .slots import Holder

PROOF_S = 2.0
# A new process waits until every proof of the one before it is over.
SETTLE_S = PROOF_S + 1.0
_COUNTER_BITS = 16
_MAX_COUNTER = 2**_COUNTER_BITS - 1


class Right(NamedTuple):
    """A proof that this process is in charge.

    Attributes:
        revision: Revision of the host's entry.
        until_s: Monotonic time at which the proof ends, in seconds.
    """

    revision: int
    until_s: float


class Fence(NamedTuple):
    """The last fencing number that was used: revision and orders given under it."""

    revision: int = 0
    used: int = 0


def prove(kv: Kv, me: Holder, clock: Callable[[], float]) -> Result[Right | None, Failure]:
    """Reads the host's entry; returns None when it is not this process's own."""
    until_s = clock() + PROOF_S

    def judge(entry: Entry | None) -> Right | None:
        member = decode_member(entry.value) if entry is not None else None
        if entry is None or member is None or member.incarnation != me.incarnation:
            return None
        return Right(entry.mod_revision, until_s)

    return kv.read(HOSTS_PREFIX + me.host).map(judge)


def next_fence(last: Fence, right: Right) -> Fence:
    """Returns the next fencing number, above those before it.

    It stays the same once a revision's numbers are used up: it must never reach the next revision.
    """
    if right.revision > last.revision:
        return Fence(right.revision, 0)
    return last._replace(used=min(last.used + 1, _MAX_COUNTER))


def number(fence: Fence) -> int:
    """Returns the number as an engine gets it; it stays below 2**53 up to revision 2**37."""
    return (fence.revision << _COUNTER_BITS) | fence.used
