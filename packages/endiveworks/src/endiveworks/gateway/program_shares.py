"""Chooses which requests of a tenant are let through while its demand exceeds its quota.

A program is worth something only if it ends, so programs are let through whole: those whose hash
lies below the share of the demand that fits. All entries come to the same choice that way without
asking. A program that was let through goes on when the share falls.
"""

import math
from collections import OrderedDict, deque
from typing import NamedTuple

import xxhash

# Programs that an entry remembers; more than it serves in a minute.
MAX_PROGRAMS = 8_192
# Time for which a program that other entries let through may go on; few programs take longer.
UNDER_WAY_S = 8.0
# Requests that a program is expected to send as long as none are known.
EXPECTED_REQUESTS = 8.0
# Number of programs after which half of the weight of the mean is on newer ones.
MEAN_PROGRAMS = 100.0


class Caller(NamedTuple):
    """What decides whether a request is let through.

    Attributes:
        tenant: Name of the tenant.
        program: Id of the program; empty for none.
        is_under_way: Whether the request shows that its program began earlier.
    """

    tenant: str
    program: str
    is_under_way: bool


def program_point(caller: Caller) -> float:
    """Returns the point in [0, 1) of a program; a share lets those below it through."""
    return xxhash.xxh32_intdigest(f"{caller.tenant}\n{caller.program}".encode()) / 2**32


class ShareHistory:
    """The shares that were in force during the last seconds."""

    def __init__(self) -> None:
        self._highest: deque[tuple[float, float]] = deque()

    def record(self, share: float, now_s: float) -> None:
        """Records the share in force; at most the highest of each second is kept."""
        if self._highest and now_s < self._highest[-1][0] + 1.0:
            since_s, highest = self._highest[-1]
            self._highest[-1] = (since_s, max(highest, share))
        else:
            self._highest.append((now_s, share))
        while self._highest[0][0] < now_s - UNDER_WAY_S:
            self._highest.popleft()

    def highest(self) -> float:
        """Returns the highest share of the last seconds."""
        return max((share for _, share in self._highest), default=1.0)


class Programs:
    """The programs seen lately at an entry, and how many requests one sends."""

    def __init__(self) -> None:
        self._admitted: OrderedDict[tuple[str, str], bool] = OrderedDict()
        self._requests = EXPECTED_REQUESTS * MEAN_PROGRAMS / 2
        self._programs = MEAN_PROGRAMS / 2

    def expected_requests(self, caller: Caller) -> float:
        """Returns the requests to expect from the caller's program; 0 if it is known.

        A program that several entries see counts at each of them, with the requests seen there.
        """
        if not caller.program:
            return 1.0
        known = (caller.tenant, caller.program) in self._admitted
        return 0.0 if known else self._requests / self._programs

    def is_admitted(self, caller: Caller) -> bool:
        """Returns whether this entry let the program through before."""
        return self._admitted.get((caller.tenant, caller.program), False)

    def record(self, caller: Caller, is_admitted: bool) -> None:
        """Records the decision on a request."""
        if not caller.program:
            return
        key = (caller.tenant, caller.program)
        if is_admitted:
            if not self._admitted.get(key, False):
                self._count_program()
            self._requests += 1.0
        self._admitted[key] = is_admitted or self._admitted.get(key, False)
        self._admitted.move_to_end(key)
        if len(self._admitted) > MAX_PROGRAMS:
            self._admitted.popitem(last=False)

    def _count_program(self) -> None:
        kept = math.exp(-math.log(2) / MEAN_PROGRAMS)
        self._requests *= kept
        self._programs = self._programs * kept + 1.0


def may_pass(caller: Caller, share: float, highest: float, programs: Programs) -> bool:
    """Decides whether a request of a program is among those that fit.

    Args:
        caller: The request.
        share: Share of the demand that fits.
        highest: Highest such share of the last seconds.
        programs: The programs seen at this entry.
    """
    if programs.is_admitted(caller):
        return True
    return program_point(caller) < (highest if caller.is_under_way else share)
