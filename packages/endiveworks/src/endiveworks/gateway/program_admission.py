"""Which new programs are refused while a service has too little room for all of them.

Replicas run more requests at once by running each of them more slowly. So if all programs are
admitted, each one gets its part of what is missing, and most of them end late together. Programs
that are under way are served, and so many new ones are refused that the others end in time.

All entries decide alike without asking each other: by the load that they tell each other anyway,
and by a hash of the program's id, so that a program that comes back elsewhere meets the same
decision as long as the load is the same.
"""

import math
from collections import OrderedDict

import xxhash

# Requests of all entries, as a share of the slots, that the refusals aim at. Beyond it replicas do
# hardly more turns a second, only each of them more slowly.
TARGET_LOAD = 0.75
# Load from which programs are refused before it has lasted; a burst stays below it.
FULL_LOAD = 0.85
FULL_FACTOR = 2.0  # Share of the programs refused then, as a multiple of the excess.
MIN_ADMITTED_SHARE = 0.1  # So many are admitted at any load, as the load may be an old one.
# How fast the admitted share falls with a load beyond the target. Programs that were admitted ask
# for more turns for some seconds, so a share that falls faster would swing.
FALL_PER_S = 0.3
RISE_PER_S = 0.6  # How fast it rises with a load below the target.
# Part of a class that is more urgent than another one of its service in what is refused.
URGENT_SHARE = 0.75
SMOOTHING_S = 0.2  # Time over which the load is averaged; the period of the entries' reports.
MAX_STEP_S = 1.0  # Longest time since the last look at the load that counts.
MAX_KNOWN_PROGRAMS = 8_192  # Programs that are known to be under way; the oldest are forgotten.

_HASH_RANGE = 2.0**64


class ProgramAdmission:
    """Load of one service, and the programs that were admitted here.

    Attributes:
        load: Average load, as a multiple of what can be done.
    """

    def __init__(self) -> None:
        self.load = 0.0
        self._updated_s: float | None = None
        self._lasting_share = 1.0
        self._known: OrderedDict[str, None] = OrderedDict()

    def update(self, load: float, now_s: float) -> None:
        """Takes the current load into account.

        Args:
            load: Requests of all entries at the replicas per slot, or the load of something else
                that all programs need, whichever is higher.
            now_s: Monotonic time.
        """
        passed_s = math.inf if self._updated_s is None else now_s - self._updated_s
        self._updated_s = now_s
        self.load += (load - self.load) * (1.0 - math.exp(-passed_s / SMOOTHING_S))
        room = max(-1.0, (TARGET_LOAD - self.load) / TARGET_LOAD)
        rate = RISE_PER_S if room > 0.0 else FALL_PER_S
        change = rate * min(passed_s, MAX_STEP_S) * room
        self._lasting_share = min(1.0, max(MIN_ADMITTED_SHARE, self._lasting_share + change))

    def refused_share(self, is_urgent: bool) -> float:
        """Returns the share of new programs that are refused."""
        excess = max(0.0, (self.load - FULL_LOAD) / FULL_LOAD)
        share = 1.0 - max(MIN_ADMITTED_SHARE, self._lasting_share - FULL_FACTOR * excess)
        return share * URGENT_SHARE if is_urgent else share

    def would_refuse(self, program: str, is_urgent: bool) -> bool:
        """Returns whether a program is refused unless it is under way.

        Args:
            program: Id of the program.
            is_urgent: Whether its class is more urgent than another one of the service.
        """
        return program not in self._known and _uniform(program) < self.refused_share(is_urgent)

    def record(self, program: str) -> None:
        """Records that a request of a program is served, after which the program is under way."""
        self._known[program] = None
        self._known.move_to_end(program)
        if len(self._known) > MAX_KNOWN_PROGRAMS:
            self._known.popitem(last=False)


def _uniform(program: str) -> float:
    """Returns a hash of a program's id as a number in [0, 1)."""
    return xxhash.xxh64_intdigest(program.encode(), seed=2) / _HASH_RANGE
