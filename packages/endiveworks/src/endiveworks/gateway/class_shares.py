"""Shares of the requests of each rank and class that were served while a service was short of room.

Answers a load of several classes that compete for one service: a rank that falls behind a less
urgent one is served first, and each class keeps a floor however urgent the others are.
"""

from collections import Counter
from typing import NamedTuple

# Difference of served shares from which a rank counts as behind a less urgent one. It is below the
# 0.05 that callers are promised, because outcomes are known late.
BEHIND_BY = 0.03
# Requests after which older outcomes count half.
HALF_LIFE_REQUESTS = 200.0
MIN_OUTCOMES = 20.0  # Shares of fewer outcomes are chance.
# One request in this many of a class is served whatever its rank, its size or its program.
FLOOR_EVERY = 20


class _Outcomes(NamedTuple):
    served: float = 0.0
    refused: float = 0.0

    @property
    def total(self) -> float:
        return self.served + self.refused

    @property
    def share(self) -> float:
        return self.served / self.total if self.total else 1.0


class ClassShares:
    """Outcomes of the requests of one service at one entry."""

    def __init__(self) -> None:
        self._outcomes: dict[tuple[int, int], _Outcomes] = {}
        self._refused_in_row: Counter[str] = Counter()

    def owes_floor(self, class_name: str) -> bool:
        """Returns whether the next request of a class must be served to keep its floor."""
        return self._refused_in_row[class_name] >= FLOOR_EVERY - 1

    def take_floor(self, class_name: str) -> bool:
        """Returns whether a request must be served so that its class keeps its floor.

        Further requests of the class need not be.
        """
        if not self.owes_floor(class_name):
            return False
        self._refused_in_row[class_name] = 0
        return True

    def record(self, rank: tuple[int, int], class_name: str, served: bool) -> None:
        """Records that a request was sent to a replica or refused."""
        self._refused_in_row[class_name] = 0 if served else self._refused_in_row[class_name] + 1
        decay = 0.5 ** (1 / HALF_LIFE_REQUESTS)
        for known, (yes, no) in self._outcomes.items():
            self._outcomes[known] = _Outcomes(yes * decay, no * decay)
        before = self._outcomes.get(rank, _Outcomes())
        self._outcomes[rank] = _Outcomes(before.served + served, before.refused + (not served))

    def behind(self) -> frozenset[tuple[int, int]]:
        """Returns the ranks that were served less often than a less urgent one."""
        known = {r: o for r, o in self._outcomes.items() if o.total >= MIN_OUTCOMES}
        return frozenset(
            rank
            for rank, outcomes in known.items()
            if any(
                other > rank and found.share > outcomes.share + BEHIND_BY
                for other, found in known.items()
            )
        )
