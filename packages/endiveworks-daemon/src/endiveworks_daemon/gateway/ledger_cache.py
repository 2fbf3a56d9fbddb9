"""Least recently used cache of programs' ledgers, bounded by their number and by their entries."""

from collections import OrderedDict

from endiveworks.turns.ledger import Ledger, Spending, merge_ledgers
from endiveworks.turns.records import Settlement

# Programs whose ledger is cached; several times the number on a busy day.
MAX_CACHED_LEDGERS = 10_000
MAX_CACHED_SPENDINGS = 30_000  # Entries of all cached ledgers.


class LedgerCache:
    """What is known of programs' spending; any ledger may be evicted when another is merged."""

    def __init__(self) -> None:
        self._ledgers: OrderedDict[str, Ledger] = OrderedDict()
        self._spendings = 0

    def __contains__(self, program: str) -> bool:
        """Returns whether the ledger of a program is cached."""
        return program in self._ledgers

    def get(self, program: str) -> Ledger:
        """Returns the ledger of a program, empty if it is not cached."""
        return self._ledgers.get(program, {})

    def merge(self, program: str, ledger: Ledger) -> None:
        """Adds what a ledger tells of a program's spending."""
        cached = self.get(program)
        merged = merge_ledgers([cached.values(), ledger.values()])
        self._spendings += len(merged) - len(cached)
        self._ledgers[program] = merged
        self._ledgers.move_to_end(program)
        while len(self._ledgers) > 1 and self._is_full():
            _, evicted = self._ledgers.popitem(last=False)
            self._spendings -= len(evicted)

    def settle(self, settlement: Settlement) -> None:
        """Records a settlement, if the ledger of its program is cached."""
        cached = self._ledgers.get(settlement.program)
        if cached is not None:
            self._spendings += settlement.turn not in cached
            cached[settlement.turn] = Spending(settlement.turn, settlement.tokens, True)

    def _is_full(self) -> bool:
        return len(self._ledgers) > MAX_CACHED_LEDGERS or self._spendings > MAX_CACHED_SPENDINGS
