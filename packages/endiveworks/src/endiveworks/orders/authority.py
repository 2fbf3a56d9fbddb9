"""Authority to send orders to an engine, and the fencing numbers derived from it.

Only the process whose incarnation is in the host's registration may send orders. Each read of the
registration confirms this for AUTHORITY_LIFETIME_S, counted from before the read; a process that
was paused for longer must read it again. The revision of the registration increases with each
process that takes over the host's name, so fencing numbers derived from it increase across restarts
and replacements.
"""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result

from ..errors import Failure
from ..kvservice.kv import KeyValue, Kv
from ..members.registry import HOSTS_PREFIX, decode_member
from .slots import Holder

AUTHORITY_LIFETIME_S = 2.0
# A new process waits until the authority of its predecessor has expired.
PREDECESSOR_WAIT_S = AUTHORITY_LIFETIME_S + 1.0
_COUNTER_BITS = 16
_MAX_COUNTER = 2**_COUNTER_BITS - 1


class Authority(NamedTuple):
    """Time-limited authority of this process to send orders.

    Attributes:
        revision: Revision of the host's registration.
        until_s: Monotonic time at which the authority expires.
    """

    revision: int
    until_s: float


class FencingNumber(NamedTuple):
    """A fencing number: the registration's revision and a counter of the orders sent under it."""

    revision: int = 0
    counter: int = 0


def read_authority(
    kv: Kv, me: Holder, clock: Callable[[], float]
) -> Result[Authority | None, Failure]:
    """Reads the host's registration; returns None unless it is this process's own."""
    until_s = clock() + AUTHORITY_LIFETIME_S

    def check(entry: KeyValue | None) -> Authority | None:
        member = decode_member(entry.value) if entry is not None else None
        if entry is None or member is None or member.incarnation != me.incarnation:
            return None
        return Authority(entry.mod_revision, until_s)

    return kv.read(HOSTS_PREFIX + me.host).map(check)


def next_fencing_number(previous: FencingNumber, authority: Authority) -> FencingNumber:
    """Returns the next fencing number, greater than all before it until the counter is exhausted.

    From then on, the number of a revision stays the same: it must never reach the numbers of the
    next revision.
    """
    if authority.revision > previous.revision:
        return FencingNumber(authority.revision, 0)
    return previous._replace(counter=min(previous.counter + 1, _MAX_COUNTER))


def encode_fencing_number(number: FencingNumber) -> int:
    """Encodes a fencing number for an engine; it is below 2**53 for revisions below 2**37."""
    return (number.revision << _COUNTER_BITS) | number.counter
