"""The quotas of tenants at this entry, and what other entries know of them."""

import asyncio
import random
import time
from collections.abc import Callable, Mapping

from endiveworks.gateway.program_shares import Caller, Programs
from endiveworks.gateway.quota_terms import Quota, QuotaTerms
from endiveworks.gateway.rate_limit import NO_RATES, LimitedLoad, Rates
from endiveworks.gateway.request_queue import MAX_WAIT_SHARE, retry_after_s
from endiveworks.gateway.routes import RouteType, Tenant
from endiveworks.gateway.tenant_admission import Decision, KnownLoad, TenantAdmission
from endiveworks.telemetry import logs
from endiveworks.telemetry.metrics import Metrics

from .exchange import Exchange, HttpError

STATUS_OVER_QUOTA = 429
# Tenants whose requests an entry tells the others; a report of them takes about 8 kB.
MAX_SHARED_TENANTS = 256
# Time after which a tenant without requests is forgotten; longer than what is counted of it.
IDLE_S = 15.0
# Tenants that an entry keeps, of about 8 kB each.
MAX_TENANTS = 1_024
REFRESH_S = 0.15  # Shortest time between two looks at what the others sent.
# Time after which a request that waits for this entry's part of a quota is decided on again.
SMOOTHING_PERIOD_S = 0.05
# Requests of one tenant that wait at a time; more than programs send at once through one entry.
MAX_WAITING_REQUESTS = 64
QUIET_S = 2.0  # Time without a refusal after which a tenant is logged as within its quota again.
MAX_LOGGED_TENANTS = 64  # Tenants that may be logged as over their quota at one time.

_UNLIMITED = Decision(True, False, 0.0)


class _Known:
    """A tenant that has sent requests lately."""

    def __init__(self, terms: QuotaTerms, started_s: float) -> None:
        self.admission = TenantAdmission(terms, random.random())
        self.started_s = started_s
        self.waiting = 0


class Quotas:
    """The quotas of the tenants in the configuration in force.

    Args:
        terms: How the use of a quota is measured.
        metrics: Counts refused requests by tenant; None to count none.
    """

    def __init__(self, terms: QuotaTerms | None = None, metrics: Metrics | None = None) -> None:
        self._terms = terms or QuotaTerms()
        self._metrics = metrics
        self._tenants: Mapping[str, Tenant] = {}
        self._load_of_all: Callable[[str], LimitedLoad] = lambda _: LimitedLoad(NO_RATES, 1.0)
        self._entries = 1
        self._known: dict[str, _Known] = {}
        self._programs = Programs()
        self._counted_since_s = time.monotonic()
        self._refreshed_s = 0.0
        self._shared: dict[str, Rates] = {}
        self._over: dict[str, float] = {}

    def set_load(self, load_of_all: Callable[[str], LimitedLoad]) -> None:
        """Sets the function that returns what is known of a tenant's requests at other entries."""
        self._load_of_all = load_of_all

    def expect_entries(self, count: int) -> None:
        """Sets the number of entries of the deployment, whether they report or not."""
        self._entries = max(1, count)

    def update(self, tenants: Mapping[str, Tenant]) -> None:
        """Applies the tenants of a new configuration."""
        self._tenants = tenants

    def rates(self) -> dict[str, Rates]:
        """Returns the rates of this entry's requests, of tenants of which others should know."""
        now_s = time.monotonic()
        if self._known and now_s >= self._refreshed_s + REFRESH_S:
            self._refreshed_s = now_s
            self._refresh(now_s)
        return self._shared

    async def admit(self, ex: Exchange) -> None:
        """Counts a request against the quota of its tenant, once this entry's part has room.

        Raises:
            HttpError: The tenant has used up its quota.
        """
        began_s, patience_s = time.monotonic(), MAX_WAIT_SHARE * ex.remaining_s()
        decision = self.decide(ex)
        tenant = ex.request.tenant or ""
        while not decision.passes:
            waited_s = time.monotonic() - began_s
            known = self._known[tenant]
            is_patient = waited_s + SMOOTHING_PERIOD_S <= patience_s
            if not (decision.may_wait and is_patient and known.waiting < MAX_WAITING_REQUESTS):
                self._record_refusal(tenant, known, time.monotonic())
                wait_s = retry_after_s(decision.wait_s, random.random())
                raise HttpError(STATUS_OVER_QUOTA, "the tenant is over its quota", wait_s)
            known.waiting += 1
            try:
                await asyncio.sleep(SMOOTHING_PERIOD_S)
            finally:
                known.waiting -= 1
            decision = self.decide(ex, time.monotonic() - began_s)

    def decide(self, ex: Exchange, waited_s: float = 0.0) -> Decision:
        """Decides on a request now, and counts it if it passes.

        Args:
            ex: The request.
            waited_s: Time that it has waited since it was first decided on.
        """
        quota = self._quota(ex)
        if quota is None:
            return _UNLIMITED
        now_s, caller = time.monotonic(), _caller(ex)
        known = self._find(caller.tenant, now_s)
        load = self._known_load(caller.tenant, known)
        decision = known.admission.admit(caller, quota, load, self._programs, now_s, waited_s)
        if decision.passes:
            ex.charged, ex.charged_s = 1, now_s
        return decision

    def charge(self, ex: Exchange) -> None:
        """Counts a request that was sent once more to a replica that may run it."""
        if 0 < ex.charged < ex.send_count:
            ex.charged, ex.charged_s = ex.charged + 1, time.monotonic()
            known = self._find(ex.request.tenant or "", ex.charged_s)
            known.admission.charge(ex.charged_s)

    def settle(self, ex: Exchange) -> None:
        """Gives back what a request that has ended was charged for replicas that did not run it."""
        known = self._known.get(ex.request.tenant or "")
        while known is not None and ex.charged > ex.send_count:
            ex.charged -= 1
            known.admission.give_back(ex.charged_s, time.monotonic())

    def _quota(self, ex: Exchange) -> Quota | None:
        tenant = self._tenants.get(ex.request.tenant or "")
        if tenant is None or tenant.rate_per_s <= 0:
            return None
        return Quota(tenant.rate_per_s, tenant.burst)

    def _known_load(self, tenant: str, known: _Known) -> KnownLoad:
        load = self._load_of_all(tenant)
        if len(self._shared) >= MAX_SHARED_TENANTS and tenant not in self._shared:
            # The others don't learn what is sent here, so only this entry's own part may be.
            load = LimitedLoad(NO_RATES, 1 / self._entries)
        return KnownLoad(load, self._entries, known.started_s)

    def _find(self, tenant: str, now_s: float) -> _Known:
        known = self._known.get(tenant)
        if known is None:
            if len(self._known) >= MAX_TENANTS:
                self._forget_oldest()
            known = self._known[tenant] = _Known(self._terms, self._counted_since_s)
        known.admission.asked_s = now_s
        return known

    def _forget_oldest(self) -> None:
        oldest = min(self._known, key=lambda name: self._known[name].admission.asked_s)
        # What was forgotten may be asked for again, so a tenant that is new counts as unknown.
        asked_s = self._known.pop(oldest).admission.asked_s
        self._counted_since_s = max(self._counted_since_s, asked_s)

    def _refresh(self, now_s: float) -> None:
        """Takes in what the others sent, and chooses the tenants that they should know of."""
        found: dict[str, Rates] = {}
        for name, known in list(self._known.items()):
            tenant = self._tenants.get(name)
            if known.admission.asked_s < now_s - IDLE_S or tenant is None or not tenant.rate_per_s:
                del self._known[name]
                continue
            quota = Quota(tenant.rate_per_s, tenant.burst)
            known.admission.refresh(quota, self._known_load(name, known), now_s)
            rates = known.admission.rates(now_s)
            found[name] = Rates(round(rates.offered_per_s, 2), round(rates.sent_per_s, 2))
        if len(found) > MAX_SHARED_TENANTS:
            found = dict(sorted(found.items(), key=self._use, reverse=True)[:MAX_SHARED_TENANTS])
        self._shared = found
        for name in [name for name, at_s in self._over.items() if at_s < now_s - QUIET_S]:
            del self._over[name]
            self._log_change(name, "within its quota", now_s)

    def _use(self, item: tuple[str, Rates]) -> float:
        name, rates = item
        return max(rates) / self._tenants[name].rate_per_s

    def _record_refusal(self, tenant: str, known: _Known, now_s: float) -> None:
        if self._metrics is not None:
            self._metrics.count("quota_refusals", tenant=tenant)
        if tenant in self._over or len(self._over) < MAX_LOGGED_TENANTS:
            is_new = tenant not in self._over
            self._over[tenant] = now_s
            if is_new:
                self._log_change(tenant, "over its quota", now_s)

    def _log_change(self, name: str, state: str, now_s: float) -> None:
        tenant, known = self._tenants.get(name), self._known.get(name)
        load = self._load_of_all(name)
        own = known.admission.rates(now_s) if known else NO_RATES
        logs.logger("gateway").info(
            "quota_state_changed",
            tenant=name,
            state=state,
            limit_per_s=tenant.rate_per_s if tenant else 0.0,
            offered_per_s=round(own.offered_per_s + load.others.offered_per_s, 1),
            sent_per_s=round(own.sent_per_s + load.others.sent_per_s, 1),
            coverage=round(load.coverage, 2),
            age_ms=round(load.age_s * 1000),
        )


def _caller(ex: Exchange) -> Caller:
    request = ex.request
    # A program begins with a turn that continues none.
    is_under_way = (
        ex.route.type is not RouteType.STREAMING
        or bool(request.previous_turn)
        or request.resume_after is not None
    )
    program = request.program.program if request.program else ""
    return Caller(request.tenant or "", program, is_under_way)
