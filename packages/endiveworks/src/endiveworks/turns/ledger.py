"""Tokens that a program has spent and reserved, merged from the ledgers of several disks."""

from collections.abc import Iterable
from typing import NamedTuple


class Spending(NamedTuple):
    """Tokens that one turn takes from a program's budget; a settled amount is final."""

    turn: str
    tokens: int
    settled: bool


Ledger = dict[str, Spending]


def merge_ledgers(ledgers: Iterable[Iterable[Spending]]) -> Ledger:
    """Merges ledgers; a turn's settlement takes precedence over its reservation."""
    merged: Ledger = {}
    for ledger in ledgers:
        for spending in ledger:
            existing = merged.get(spending.turn)
            if existing is None or (spending.settled and not existing.settled):
                merged[spending.turn] = spending
    return merged


def allocated_tokens(ledger: Ledger, excluded_turn: str = "") -> int:
    """Sums the settled and reserved tokens of all turns except one."""
    return sum(s.tokens for s in ledger.values() if s.turn != excluded_turn)


def fits_budget(ledger: Ledger, turn: str, tokens: int, budget: int) -> bool:
    """Returns whether a turn can generate this many tokens within the program's budget."""
    return allocated_tokens(ledger, excluded_turn=turn) + tokens <= budget
