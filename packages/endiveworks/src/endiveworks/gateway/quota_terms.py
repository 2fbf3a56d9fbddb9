"""What the quota of a tenant allows in any window, and what is used of it."""

from typing import NamedTuple

# Share of the largest tolerated use that is never exceeded; the rest covers others' late news.
CAP_SHARE = 0.85
# Requests per second over all entries, as a multiple of the rate, that any span of a window allows
# beside one burst. A new process sends its part of this rate, so that windows that contain its
# start keep the bound.
REFILL = 1.05
# Shortest time from the end of a process to the start of the next one.
RESTART_S = 0.5
# Share of the slack that new processes may use at once.
START_SLACK_SHARE = 0.25
# Share of the burst up to which demand beyond the quota is let through.
STEADY_BURST_SHARE = 0.25
# Share of the slack up to which demand beyond the quota is let through.
STEADY_SLACK_SHARE = 0.35


class QuotaTerms(NamedTuple):
    """How the use of a quota is measured.

    Attributes:
        window_s: Length of the sliding window.
        over: Tolerated excess, as a share.
        slack: Tolerated excess, in requests.
    """

    window_s: float = 5.0
    over: float = 0.1
    slack: float = 20.0


class Quota(NamedTuple):
    """What a tenant may send.

    Attributes:
        rate_per_s: Requests per second.
        burst: Requests that may come at once beyond the rate.
    """

    rate_per_s: float
    burst: float

    def largest_use(self, terms: QuotaTerms) -> float:
        """Returns the most requests that any window may contain."""
        bought = self.rate_per_s * terms.window_s + self.burst
        return bought * (1 + terms.over) + terms.slack

    def span_use(self, terms: QuotaTerms, span_s: float) -> float:
        """Returns the most requests of a span within a window that keeps to the largest use."""
        refilled = REFILL * self.rate_per_s
        left = CAP_SHARE * self.largest_use(terms) - START_SLACK_SHARE * terms.slack
        return max(0.0, left - refilled * terms.window_s) + refilled * span_s

    def start_use(self, terms: QuotaTerms, age_s: float) -> float:
        """Returns the most requests of new processes, all together, since their start."""
        refilled = REFILL * self.rate_per_s * (age_s + RESTART_S)
        return START_SLACK_SHARE * terms.slack + refilled

    def steady_use(self, terms: QuotaTerms) -> float:
        """Returns the requests in a window that are let through while demand is higher."""
        more = STEADY_BURST_SHARE * self.burst + STEADY_SLACK_SHARE * terms.slack
        return self.rate_per_s * terms.window_s + more
