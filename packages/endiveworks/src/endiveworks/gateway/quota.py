"""Keeps the quota of a tenant over all entries, without a coordinator.

Each entry counts what it sent for a tenant in the last window and tells the others, and learns the
sum of what they sent, late. It lets a request through as long as the sum keeps to the quota, and
uses only its part of what is left until the others can know of it. While demand exceeds the quota,
a share of it is let through; see program_shares for which requests that is.

An entry that hears few others or none counts on the part of the quota that belongs to those whose
numbers it has. What the others had sent before they fell silent stays counted for a window. A new
process does not know what was sent before, so its own part grows from nothing over a window.
"""

import math
from collections import deque
from typing import NamedTuple

from .quota_terms import CAP_SHARE, Quota, QuotaTerms
from .rate_limit import LimitedLoad, RateMeter, Rates
from .window_count import WindowCount

# Age of news at the time that it is heard, after a report up a tree of depth 2 and back.
NEWS_S = 0.7
# Share of an entry's part that is left unused while it hears nobody, as parts were used unevenly.
UNHEARD_GUARD = 0.15
# Age of the last news up to which nothing is wrong: the period of the reports.
USUAL_AGE_S = 0.2
# Share of what may be used that only programs under way may take, so that these end whole.
RESERVED_SHARE = 0.03
# Spans of which each entry knows its part, so that little is sent just before all are killed.
SPANS_S = (1.0, 2.0, 3.0)
# Standard deviations, about, by which measured demand may exceed the true one.
CHANCE = 2.0
# Requests that an entry without demand may send at once.
FEW = 1.3
# The same for one that has just started.
FEW_AT_START = 1.3
# Standard deviations by which the requests of an entry exceed their mean.
NOISE = 3.0
# Time within which the use moves up to the level that is kept under overload.
SETTLE_S = 1.5
# Time constant of the demand of single requests.
DEMAND_WINDOW_S = 0.35
# The same for programs, which are fewer and larger.
PROGRAM_DEMAND_WINDOW_S = 1.0
# Time between two samples of the demand.
SAMPLE_S = 0.1
# Part of what is left that is dealt equally, for entries that had no demand so far.
EQUAL_SHARE = 0.08
# Time constant of the demand that tells whether an entry had any before.
HABIT_WINDOW_S = 15.0
# Share of an equal part of the demand below which an entry had none before.
NEWCOMER_SHARE = 0.5
# Time for which it counts as new, until the others' numbers and its own say the same.
NEWCOMER_S = 2.0
# Equal parts that such an entry may use as soon as it has demand.
NEWCOMER_PARTS = 8.0
# Shortest time after which a refused caller may come again.
MIN_WAIT_S = 0.3


class Allowance(NamedTuple):
    """What an entry may let through now.

    Attributes:
        of_all: Requests that all entries together may send.
        requests: Requests that this entry may send before it hears more.
        new_requests: The same for requests of programs that are not under way.
        share: Share of the demand that is let through.
        wait_s: Time after which there is more.
    """

    of_all: float
    requests: float
    new_requests: float
    share: float
    wait_s: float


class QuotaUse:
    """The use of one tenant's quota at one entry.

    Args:
        terms: How use is measured.
    """

    def __init__(self, terms: QuotaTerms) -> None:
        self._terms = terms
        self._sent = WindowCount(terms.window_s)
        self._singles = RateMeter(DEMAND_WINDOW_S)
        self._programs = RateMeter(PROGRAM_DEMAND_WINDOW_S)
        self._samples: deque[tuple[float, Rates]] = deque()
        self._habit = RateMeter(HABIT_WINDOW_S)
        self._past: deque[tuple[float, float]] = deque()
        self._program_requests = 0.0
        self._others = 0.0
        self._coverage = 1.0
        self._newcomer_until_s = -math.inf
        self._silent = 0.0
        self._silent_until_s = -math.inf

    def rates(self, now_s: float) -> Rates:
        """Returns what other entries should know."""
        return Rates(self._demand_per_s(now_s), self._sent.count(now_s) / self._terms.window_s)

    def count_demand(self, now_s: float, requests: float) -> None:
        """Counts the requests that a caller wants to send, now or soon."""
        if requests > 1:
            self._program_requests = requests
        (self._singles if requests == 1 else self._programs).add(now_s, requests)
        self._habit.add(now_s, requests)

    def charge(self, now_s: float) -> None:
        """Counts a request that is sent."""
        self._sent.add(now_s)

    def give_back(self, charged_s: float, now_s: float) -> None:
        """Takes back a charge for a request that no replica ran."""
        self._sent.take_back(charged_s, now_s)

    def observe(self, load: LimitedLoad, now_s: float) -> None:
        """Records what the others sent; needed as often as news comes.

        If some of them fall silent, what they sent beyond their part stays counted for a window.
        """
        others = load.others.sent_per_s * self._terms.window_s
        if load.coverage < self._coverage:
            lost = max(0.0, self._others - others)
            self._silent = max(lost, self._silent if now_s < self._silent_until_s else 0.0)
            self._silent_until_s = now_s + self._terms.window_s + NEWS_S
        self._others, self._coverage = others, load.coverage

    def allowance(
        self, quota: Quota, load: LimitedLoad, entries: int, started_s: float, now_s: float
    ) -> Allowance:
        """Returns what may be let through.

        Args:
            quota: The quota of the tenant.
            load: What is known of the requests of all entries.
            entries: Number of entries of the deployment.
            started_s: Time at which this process started.
            now_s: The time.
        """
        self.observe(load, now_s)
        window_s = self._terms.window_s
        largest = CAP_SHARE * quota.largest_use(self._terms)
        cap = largest * load.coverage * (1 - UNHEARD_GUARD * (1 - load.coverage))
        used = self._sent.count(now_s) + self._others
        if now_s < self._silent_until_s:
            used += max(0.0, self._silent - largest * (1 - load.coverage))
        # Demand that has moved here is not counted twice: both numbers are of the same time.
        before = self._rates_before(now_s, NEWS_S + load.age_s)
        demand_per_s = max(
            before.offered_per_s + load.others.offered_per_s, self._demand_per_s(now_s)
        )
        steady = min(quota.steady_use(self._terms) * load.coverage, cap)
        allowed_per_s = max(0.0, used / window_s + (steady - used) / SETTLE_S)
        # Chance alone is no reason to refuse, so only what exceeds it counts.
        chance = max(CHANCE / math.sqrt(DEMAND_WINDOW_S), math.sqrt(self._program_requests))
        demand_per_s = max(0.0, demand_per_s - chance * math.sqrt(demand_per_s))
        share = min(1.0, allowed_per_s / demand_per_s) if demand_per_s else 1.0
        # As much as is sent unknown to others leaves the window meanwhile.
        left = cap - used
        unheard = left + self._leaving(used, NEWS_S, now_s)
        own = self._own_room(quota, load, entries, unheard, started_s, now_s)
        wait_s = min(window_s, max(MIN_WAIT_S, (used - steady) / quota.rate_per_s))
        new_requests = min(left - RESERVED_SHARE * cap, own)
        return Allowance(left, min(left, own), new_requests, share, wait_s)

    def _own_room(
        self,
        quota: Quota,
        load: LimitedLoad,
        entries: int,
        unheard: float,
        started_s: float,
        now_s: float,
    ) -> float:
        """Returns what this entry may send before the others know of it."""
        age_s = max(0.0, now_s - started_s)
        is_new = age_s < self._terms.window_s
        before = self._rates_before(now_s, NEWS_S + load.age_s)
        part = self._part(load, entries, before, is_new, now_s)
        heard = max(1.0, entries * load.coverage)
        known = before + load.others
        usual_per_s = min(quota.rate_per_s * load.coverage, max(known))

        def room(span_s: float, requests: float, usual_s: float) -> float:
            mean = max(part, 1 / heard) * usual_per_s * usual_s
            usual = mean + NOISE * math.sqrt(mean) + FEW
            return max(part * requests, usual) - self._sent.newest(now_s, span_s)

        news_s = NEWS_S + load.age_s
        rooms = [room(news_s, unheard, min(news_s, NEWS_S + USUAL_AGE_S))]
        for span_s in SPANS_S:
            may_send = quota.span_use(self._terms, span_s) * load.coverage
            rooms.append(room(span_s, may_send, span_s))
        if is_new:
            may_start = part * quota.start_use(self._terms, age_s) * load.coverage
            rooms.append(max(FEW_AT_START, may_start) - self._sent.count(now_s))
        return min(rooms)

    def _leaving(self, used: float, span_s: float, now_s: float) -> float:
        """Returns how many requests leave the window within a span that news takes."""
        window_s = self._terms.window_s
        if not self._past or now_s >= self._past[-1][0] + NEWS_S / 2:
            self._past.append((now_s, used))
        while len(self._past) > 1 and self._past[1][0] <= now_s - window_s + NEWS_S:
            self._past.popleft()
        return min(used, self._past[0][1]) * span_s / window_s

    def _demand_per_s(self, now_s: float) -> float:
        return self._singles.per_s(now_s) + self._programs.per_s(now_s)

    def _rates_before(self, now_s: float, span_s: float) -> Rates:
        """Returns what was measured here some time ago, as the others' rates were."""
        if not self._samples or now_s >= self._samples[-1][0] + SAMPLE_S:
            self._samples.append((now_s, self.rates(now_s)))
        while len(self._samples) > 1 and self._samples[1][0] <= now_s - span_s:
            self._samples.popleft()
        return self._samples[0][1]

    def _part(
        self, load: LimitedLoad, entries: int, before: Rates, is_new: bool, now_s: float
    ) -> float:
        """Returns the part of what is left that this entry may use before others know of it.

        The parts of all entries add up to about 1, as they compare demand of the same time. Only
        an entry that had no demand may use more, and not if all may have been started anew.
        """
        others_per_s = load.others.offered_per_s
        heard = max(1.0, entries * load.coverage)
        known = _share(before.offered_per_s, others_per_s, 1 / heard)
        # Demand that others report may be older than this entry's own; what was sent is steadier.
        own = before if is_new else self.rates(now_s)
        known = max(known, _share(own.sent_per_s, load.others.sent_per_s, 1 / heard))
        part = EQUAL_SHARE / heard + (1 - EQUAL_SHARE) * known
        if is_new:
            return max(part, 1 / heard)
        if self._habit.per_s(now_s) < NEWCOMER_SHARE * others_per_s / heard:
            self._newcomer_until_s = now_s + NEWCOMER_S
        if now_s >= self._newcomer_until_s:
            return part
        wanted = _share(self._demand_per_s(now_s), others_per_s, 1 / heard)
        return max(part, min(wanted, NEWCOMER_PARTS / heard, 1.0))


def _share(own: float, others: float, default: float) -> float:
    return own / (own + others) if own + others > 0 else default
