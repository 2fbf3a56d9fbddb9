"""The tokens that a program has spent and reserved, merged from what several disks hold."""

from collections.abc import Iterable
from typing import NamedTuple


class Spending(NamedTuple):
    """What one turn takes of a program's budget; a settled amount is final."""

    turn: str
    tokens: int
    settled: bool


Ledger = dict[str, Spending]


def merge(ledgers: Iterable[Iterable[Spending]]) -> Ledger:
    """Returns each turn's spending; a settlement wins over a reservation of the same turn."""
    merged: Ledger = {}
    for ledger in ledgers:
        for spending in ledger:
            known = merged.get(spending.turn)
            if known is None or (spending.settled and not known.settled):
                merged[spending.turn] = spending
    return merged


def spent(ledger: Ledger, without: str = "") -> int:
    """Sums what all turns but one have spent or may still spend."""
    return sum(s.tokens for s in ledger.values() if s.turn != without)


def fits(ledger: Ledger, turn: str, tokens: int, budget: int) -> bool:
    """Tells whether a turn may generate a number of tokens within the program's budget."""
    return spent(ledger, without=turn) + tokens <= budget
