"""The bounds of an entry's cache of ledgers."""

import pytest
from endiveworks.turns.ledger import Spending
from endiveworks.turns.records import Settlement
from endiveworks_daemon.gateway import ledger_cache
from endiveworks_daemon.gateway.ledger_cache import LedgerCache


class TestBounds:
    """Ledgers were counted, but not their entries, which one program can add without end."""

    def test_the_entries_of_all_ledgers_are_bounded(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(ledger_cache, "MAX_CACHED_SPENDINGS", 10)
        cache = LedgerCache()
        for program in range(5):
            for turn in range(4):
                cache.merge(f"p{program}", {f"t{turn}": Spending(f"t{turn}", 1, False)})
        cached = [program for program in range(5) if f"p{program}" in cache]
        assert cached == [3, 4]

    def test_a_program_with_more_entries_is_cached_alone(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(ledger_cache, "MAX_CACHED_SPENDINGS", 3)
        cache = LedgerCache()
        cache.merge("other", {"t": Spending("t", 1, False)})
        cache.merge("p", {f"t{turn}": Spending(f"t{turn}", 1, False) for turn in range(8)})
        assert ("p" in cache, "other" in cache) == (True, False)
        assert len(cache.get("p")) == 8

    def test_a_settlement_replaces_an_entry(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(ledger_cache, "MAX_CACHED_SPENDINGS", 2)
        cache = LedgerCache()
        for turn in ("a", "b"):
            cache.merge("p", {turn: Spending(turn, 1, False)})
            cache.settle(Settlement("p", turn, 1, 1.0))
        cache.merge("q", {})
        assert ("p" in cache, "q" in cache) == (True, True)
