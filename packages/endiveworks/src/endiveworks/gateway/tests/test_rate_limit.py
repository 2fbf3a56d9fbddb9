"""Limits that replicas name for all entries together, kept under played loads."""

import math
import random
from collections import deque

import pytest

from ..rate_limit import (
    MIN_NEWER_S,
    NO_RATES,
    LimitedLoad,
    LimitSighting,
    RateLimit,
    RateMeter,
    Rates,
    limited_slots,
)

WINDOW_S = 4.0  # Any window of this length is compared with the bound.
REFRESH_S = 0.2
PLAYED_S = 40.0


def bound(limit_per_s: float) -> float:
    """Returns the stated maximum of requests in a window: half as many again, and five."""
    return 1.5 * limit_per_s * WINDOW_S + 5.0


def most_in_window(sent_s: list[float]) -> int:
    """Returns the largest number of requests in a window."""
    most, first = 0, 0
    for last, at_s in enumerate(sent_s):
        while sent_s[first] <= at_s - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


class Played:
    """Requests of many entries for one limited replica.

    Args:
        entries: Number of entries.
        limit_per_s: Limit that the replica names from the start.
        isolated: Number of entries that exchange nothing with the others.
        lag_s: Age of what the other entries know of each other.
    """

    def __init__(self, entries: int, limit_per_s: float, isolated: int, lag_s: float) -> None:
        self.rng = random.Random(entries * 1000 + isolated)
        self.limits = [RateLimit(self.rng.random()) for _ in range(entries)]
        for limit in self.limits:
            limit.observe(limit_per_s, 0.0)
        self.connected = set(range(isolated, entries))
        self.lag_s = lag_s
        self.reports: deque[tuple[float, list[Rates]]] = deque()
        self.known = [NO_RATES] * entries

    def load(self, entry: int) -> LimitedLoad:
        """Returns what an entry knows."""
        if entry not in self.connected:
            return LimitedLoad(NO_RATES, 1 / len(self.limits))
        others = sum((self.known[n] for n in self.connected if n != entry), NO_RATES)
        return LimitedLoad(others, len(self.connected) / len(self.limits))

    def exchange(self, now_s: float) -> None:
        """Reports rates periodically; they are known after the lag."""
        if not self.reports or now_s >= self.reports[-1][0] + REFRESH_S:
            self.reports.append((now_s, [limit.rates(now_s) for limit in self.limits]))
        while len(self.reports) > 1 and self.reports[0][0] <= now_s - self.lag_s:
            self.known = self.reports.popleft()[1]

    def run(self, demand_per_s: float, burst: float = 1.0) -> list[float]:
        """Plays requests with a burst in the middle and returns when requests were sent."""
        weights = [self.rng.uniform(0.3, 2.0) for _ in self.limits]
        now_s, sent_s = 0.0, []
        while now_s < PLAYED_S:
            in_burst = 0.4 < now_s / PLAYED_S < 0.6
            now_s += self.rng.expovariate(demand_per_s * (burst if in_burst else 1.0))
            self.exchange(now_s)
            entry = self.rng.choices(range(len(self.limits)), weights)[0]
            if self.limits[entry].admit(self.load(entry), now_s):
                sent_s.append(now_s)
        return [at_s for at_s in sent_s if at_s > WINDOW_S]


class TestLimitOfAllEntries:
    @pytest.mark.parametrize("entries", [1, 3, 5, 20, 60])
    @pytest.mark.parametrize("limit_per_s", [3.0, 6.0, 40.0])
    @pytest.mark.parametrize("demand", [0.7, 1.5, 2.0, 5.0])
    def test_a_replica_gets_no_more_than_its_limit_and_most_of_it(
        self, entries: int, limit_per_s: float, demand: float
    ) -> None:
        lag_s = 0.4 if entries < 9 else 0.8
        played = Played(entries, limit_per_s, isolated=0, lag_s=lag_s)
        sent_s = played.run(demand * limit_per_s, burst=2.5)
        assert most_in_window(sent_s) <= bound(limit_per_s)
        expected = min(1.0, demand) * limit_per_s * (PLAYED_S - WINDOW_S)
        assert len(sent_s) > 0.7 * expected

    @pytest.mark.parametrize("entries", [5, 20, 60])
    @pytest.mark.parametrize("share", [0.2, 0.5, 1.0])
    def test_entries_that_are_cut_off_from_the_others(self, entries: int, share: float) -> None:
        played = Played(entries, 6.0, isolated=round(entries * share), lag_s=0.8)
        sent_s = played.run(18.0)
        assert most_in_window(sent_s) <= bound(6.0)
        assert len(sent_s) > 0.4 * 6.0 * (PLAYED_S - WINDOW_S)

    def test_callers_of_all_entries_get_the_same_share(self) -> None:
        played = Played(5, 20.0, isolated=0, lag_s=0.4)
        rng, now_s = random.Random(1), 0.0
        asked, sent = [0] * 5, [0] * 5
        while now_s < PLAYED_S:
            now_s += rng.expovariate(60.0)
            played.exchange(now_s)
            entry = rng.choices(range(5), [1, 1, 2, 4, 8])[0]
            asked[entry] += 1
            sent[entry] += played.limits[entry].admit(played.load(entry), now_s)
        shares = [sent[entry] / asked[entry] for entry in range(5)]
        assert max(shares) < 1.35 * min(shares)

    def test_requests_sent_without_a_decision_count_against_the_limit(self) -> None:
        free, charged = RateLimit(0.0), RateLimit(0.0)
        alone = LimitedLoad(NO_RATES, 1.0)
        sent = {}
        for limit in (free, charged):
            limit.observe(5.0, 0.0)
            times = [0.05 * n for n in range(200)]
            if limit is charged:
                for at_s in times[:5]:
                    limit.charge(at_s)
            sent[limit] = sum(limit.admit(alone, at_s) for at_s in times)
        assert sent[charged] <= sent[free] - 4

    def test_what_an_entry_can_expect_to_send(self) -> None:
        limit = RateLimit(0.0)
        limit.observe(10.0, 0.0)
        assert limit.available_per_s(LimitedLoad(NO_RATES, 1.0), 0.0) == pytest.approx(9.5)
        assert limit.available_per_s(LimitedLoad(Rates(4.0, 4.0), 1.0), 0.0) == pytest.approx(5.5)
        assert limit.available_per_s(LimitedLoad(NO_RATES, 0.1), 0.0) == pytest.approx(0.95)


class TestSightings:
    def test_a_newer_sighting_replaces_an_older_one(self) -> None:
        limit = RateLimit(0.0)
        assert limit.adopt(LimitSighting(6.0, 0.2), 10.0)
        assert not limit.adopt(LimitSighting(0.0, 5.0), 10.0)
        assert limit.adopt(LimitSighting(0.0, 0.0), 10.0)
        assert limit.limit_per_s == 0.0

    def test_a_sighting_that_returns_does_not_become_newer(self) -> None:
        first, second = RateLimit(0.0), RateLimit(0.0)
        first.observe(6.0, 0.0)
        for turn in range(100):
            now_s = 0.2 * turn
            for teller, hearer in ((first, second), (second, first)):
                told = teller.sighting(now_s)
                assert told is not None
                hearer.adopt(told, now_s + 0.02)
        told = first.sighting(20.0)
        assert told is not None and told.age_s > 20.0 - 2 * MIN_NEWER_S

    def test_the_end_of_a_limit_is_told_for_a_while(self) -> None:
        limit = RateLimit(0.0)
        assert limit.sighting(1.0) is None
        limit.observe(6.0, 1.0)
        assert limit.sighting(100.0) == LimitSighting(6.0, 99.0)
        limit.observe(0.0, 101.0)
        assert limit.sighting(102.0) == LimitSighting(0.0, 1.0)
        assert limit.sighting(120.0) is None


class TestRates:
    def test_a_rate_follows_its_events_and_decays(self) -> None:
        meter = RateMeter(1.0)
        for n in range(100):
            meter.add(n * 0.1)
        assert meter.per_s(9.9) == pytest.approx(10.0, rel=0.1)
        assert meter.per_s(14.9) < 0.1

    def test_slots_that_a_limit_lets_entries_use(self) -> None:
        assert limited_slots(0.0, 0.3) == math.inf
        assert limited_slots(10.0, 0.5) == pytest.approx(5.0)
