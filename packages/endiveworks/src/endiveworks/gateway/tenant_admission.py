"""Decides which requests of a tenant are let through at one entry.

A program sends several requests at once, and an entry may only use its part of what the tenant has
left, which others learn of late. A request that fits the quota, but not the part of the entry, is
therefore delayed for a moment rather than refused: the refusal of one call ends its whole program.
"""

from typing import NamedTuple

from .program_shares import Caller, Programs, ShareHistory, may_pass
from .quota import Allowance, QuotaUse
from .quota_terms import Quota, QuotaTerms
from .rate_limit import LimitedLoad, Rates

# Longest time for which a request waits for the entry's part of the quota. After it, what the entry
# had sent before is known to the others.
MAX_SMOOTHING_S = 1.0


class KnownLoad(NamedTuple):
    """What an entry knows of the deployment.

    Attributes:
        load: Requests of the tenant at the other entries.
        entries: Number of entries.
        started_s: Time at which this process started.
    """

    load: LimitedLoad
    entries: int
    started_s: float


class Decision(NamedTuple):
    """Decision on a request of a tenant.

    Attributes:
        passes: Whether it may be sent.
        may_wait: Whether it fits the quota, and only this entry's part of it is used up for a
            moment, so that it should be decided on again instead of being refused.
        wait_s: Time after which a refused request has better prospects, in seconds.
    """

    passes: bool
    may_wait: bool
    wait_s: float


class TenantAdmission:
    """Admission of the requests of one tenant.

    Args:
        terms: How use is measured.
        phase: Random number in [0, 1), so that entries with few requests don't send at one moment.

    Attributes:
        allowance: What the last decision or refresh found.
        asked_s: Time of the last request.
    """

    def __init__(self, terms: QuotaTerms, phase: float) -> None:
        self._use = QuotaUse(terms)
        self._history = ShareHistory()
        self._credit = phase
        self.allowance = Allowance(1.0, 1.0, 1.0, 1.0, 0.0)
        self.asked_s = 0.0

    def rates(self, now_s: float) -> Rates:
        """Returns what other entries should know."""
        return self._use.rates(now_s)

    def refresh(self, quota: Quota, known: KnownLoad, now_s: float) -> Allowance:
        """Takes in what the others sent; needed as often as news comes."""
        self.allowance = self._use.allowance(
            quota, known.load, known.entries, known.started_s, now_s
        )
        self._history.record(self.allowance.share, now_s)
        return self.allowance

    def admit(
        self,
        caller: Caller,
        quota: Quota,
        known: KnownLoad,
        programs: Programs,
        now_s: float,
        waited_s: float = 0.0,
    ) -> Decision:
        """Decides on a request and charges it if it may pass.

        Args:
            caller: The request.
            quota: The quota of the tenant.
            known: What is known of the deployment.
            programs: The programs seen at this entry.
            now_s: The time.
            waited_s: Time that the request has waited since it was first decided on.
        """
        self.asked_s = now_s
        is_new = not waited_s
        if is_new:
            self._use.count_demand(now_s, programs.expected_requests(caller))
        allowance = self.refresh(quota, known, now_s)
        # A request that waits was chosen before.
        is_chosen = not is_new or self._is_chosen(caller, allowance.share, programs)
        is_under_way = caller.is_under_way or programs.is_admitted(caller)
        left = allowance.requests if is_under_way else allowance.new_requests
        passes = is_chosen and left >= 1
        programs.record(caller, passes)
        if passes:
            self._use.charge(now_s)
            return Decision(True, False, 0.0)
        may_wait = is_chosen and allowance.of_all >= 1 and waited_s < MAX_SMOOTHING_S
        return Decision(False, may_wait, allowance.wait_s)

    def _is_chosen(self, caller: Caller, share: float, programs: Programs) -> bool:
        """Returns whether a request belongs to the share of the demand that fits the quota."""
        if caller.program:
            return may_pass(caller, share, self._history.highest(), programs)
        self._credit += share
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def charge(self, now_s: float) -> None:
        """Counts a request that is sent once more."""
        self._use.charge(now_s)

    def give_back(self, charged_s: float, now_s: float) -> None:
        """Takes back the charge for a request that no replica ran."""
        self._use.give_back(charged_s, now_s)
