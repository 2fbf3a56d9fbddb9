"""Tells entries the load of all of them: turns in flight, and requests for limited replicas.

An entry that knows only its own turns can't tell an overloaded replica from an idle one; see
load_balance and rate_limit for what is decided from the numbers. Each entry reports the sum of its
part of the tree to its parent and learns the total in the reply, and the roots of the regions
report to each other. So the messages grow with the entries; see distribution_tree.
"""

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

import msgspec
from endiveworks.errors import Failure
from endiveworks.gateway.outcomes import Sighting
from endiveworks.gateway.rate_limit import NO_RATES, LimitedLoad, LimitSighting, Rates
from endiveworks.gateway.service_load import NO_SERVICE_LOAD, ServiceLoad
from endiveworks.telemetry import logs
from returns.result import Result, Success

from ..rpc import Handler, RpcClient
from .quarantine import SharedSuspicions

SHARE_LOADS = "loads.share"
PERIOD_S = 0.2  # Time between reports; about the duration of a short turn.
MIN_PERIOD_S = 0.05  # The same while there is news that can't wait.
TIMEOUT_S = 0.3  # Several round trips between regions.
# Counts that were not renewed for this time are dropped; turns rarely last longer.
EXPIRY_S = 1.0
# Tenants in the sum of several entries, which takes about 32 kB; the busiest ones.
MAX_SUMMED_TENANTS = 1_024


class SharedLoad(NamedTuple):
    """Load of one entry, or of several together.

    Attributes:
        turns: Turns in flight by preferred replica.
        rates: Requests for replicas that limit them, by replica.
        entries: Number of entries.
        tenants: Requests of tenants that have a quota, by tenant.
        services: Requests by service.
    """

    turns: dict[str, int]
    rates: dict[str, Rates]
    entries: int
    tenants: dict[str, Rates] = {}
    services: dict[str, ServiceLoad] = {}


class Beliefs(NamedTuple):
    """What a process knows from responses and passes on.

    Attributes:
        limits: Limits on requests by replica.
        suspicions: Requests that were running at replicas that ended.
        places: Places kept for refused callers, and the seconds until they expire.
        sightings: Replicas that fail requests, or no longer do.
    """

    limits: dict[str, LimitSighting]
    suspicions: SharedSuspicions
    places: dict[int, float] = {}
    sightings: dict[str, Sighting] = {}


class BeliefBook(NamedTuple):
    """Access to the beliefs of this process.

    Attributes:
        share: Returns what others should know.
        adopt: Takes over what others know.
    """

    share: Callable[[], Beliefs]
    adopt: Callable[[Beliefs], None]


class LoadReport(NamedTuple):
    """Load of the sender and those that report to it, and the sender's beliefs.

    Attributes:
        host: Name of the sender.
        load: The load.
        beliefs: The beliefs.
        is_region: Whether the sender is the root of another region.
    """

    host: str
    load: SharedLoad
    beliefs: Beliefs
    is_region: bool = False


class LoadTotals(NamedTuple):
    """Load of all entries, and the beliefs of the receiver of a report."""

    load: SharedLoad
    beliefs: Beliefs


class _Known(NamedTuple):
    load: SharedLoad
    at_s: float

    def is_fresh(self) -> bool:
        return time.monotonic() - self.at_s < EXPIRY_S


_NO_LOAD = SharedLoad({}, {}, 0)
_NONE = _Known(_NO_LOAD, float("-inf"))
_NO_BELIEFS = BeliefBook(lambda: Beliefs({}, SharedSuspicions({}, {})), lambda _: None)


class LoadExchange:
    """Exchanges loads and beliefs with the other entries.

    Args:
        host: Name of this process.
        own_load: Returns the load of this process.
        find_sources: Returns the addresses of the parent and the root; empty if this is the root.
        find_roots: Returns the addresses of the roots of the other regions.
        beliefs: Beliefs of this process.
    """

    def __init__(
        self,
        host: str,
        own_load: Callable[[], SharedLoad],
        find_sources: Callable[[], Sequence[str]],
        find_roots: Callable[[], Sequence[str]] = lambda: (),
        beliefs: BeliefBook = _NO_BELIEFS,
    ) -> None:
        self._host = host
        self._own_load = own_load
        self._find_sources = find_sources
        self._find_roots = find_roots
        self._beliefs = beliefs
        self._children: dict[str, _Known] = {}
        self._regions: dict[str, _Known] = {}
        self._totals = _NONE
        self._reported = _NO_LOAD
        self._clients: dict[str, RpcClient] = {}
        self._reaches_source: bool | None = None
        self._expected_entries = 1
        self._started_s = time.monotonic()
        self._hurry = asyncio.Event()

    def hurry(self) -> None:
        """Lets the next report go at once, or shortly after the last one."""
        self._hurry.set()

    def expect_entries(self, count: int) -> None:
        """Sets the number of entries of the deployment, whether they report or not."""
        self._expected_entries = max(1, count)

    def others(self, replica: str) -> int:
        """Returns the turns of other entries that prefer a replica, as far as known."""
        if self._totals.is_fresh():
            total = self._totals.load.turns.get(replica, 0)
            return max(0, total - self._reported.turns.get(replica, 0))
        return sum(load.turns.get(replica, 0) for load in self._reports())

    def limited_load(self, replica: str) -> LimitedLoad:
        """Returns what is known of the requests of all entries for a limited replica."""
        return self._known_rates(lambda load: load.rates, replica)

    def tenant_load(self, tenant: str) -> LimitedLoad:
        """Returns what is known of the requests of all entries from a tenant."""
        found = self._known_rates(lambda load: load.tenants, tenant)
        totals = self._totals.load.tenants if self._totals.is_fresh() else {}
        if len(totals) >= MAX_SUMMED_TENANTS and tenant not in totals:
            # The tenant may have been left out of the sum.
            return found._replace(coverage=1 / self._expected_entries)
        return found

    def service_load(self, service: str) -> ServiceLoad:
        """Returns the requests of other entries for a service, as far as known."""
        if not self._totals.is_fresh():
            reports = (load.services.get(service, NO_SERVICE_LOAD) for load in self._reports())
            return sum(reports, NO_SERVICE_LOAD)
        total = self._totals.load.services.get(service, NO_SERVICE_LOAD)
        reported = self._reported.services.get(service, NO_SERVICE_LOAD)
        return ServiceLoad(*(max(0, a - b) for a, b in zip(total, reported, strict=True)))

    def age_s(self) -> float:
        """Returns the age of what is known of other entries; infinite if nothing is."""
        if self._totals.is_fresh():
            return time.monotonic() - self._totals.at_s
        known = (*self._children.values(), *self._regions.values())
        ages_s = [time.monotonic() - report.at_s for report in known if report.is_fresh()]
        return max(ages_s, default=float("inf"))

    def _known_rates(
        self, rates_of: Callable[[SharedLoad], Mapping[str, Rates]], key: str
    ) -> LimitedLoad:
        heard_s = self._totals.at_s
        if self._totals.is_fresh():
            load = self._totals.load
            total = rates_of(load).get(key, NO_RATES)
            reported = rates_of(self._reported).get(key, NO_RATES)
            others = Rates(*(max(0.0, a - b) for a, b in zip(total, reported, strict=True)))
            entries = load.entries
        else:
            reports = self._reports()
            others = sum((rates_of(load).get(key, NO_RATES) for load in reports), NO_RATES)
            entries = 1 + sum(load.entries for load in reports)
            known = (*self._children.values(), *self._regions.values())
            heard_s = max((report.at_s for report in known), default=self._started_s)
        coverage = min(1.0, entries / self._expected_entries)
        return LimitedLoad(others, coverage, time.monotonic() - heard_s)

    def handlers(self) -> dict[str, Handler]:
        """Returns the RPC handlers by method name."""

        async def share(message: memoryview) -> bytes:
            report = msgspec.msgpack.decode(message, type=LoadReport)
            reports = self._regions if report.is_region else self._children
            reports[report.host] = _Known(report.load, time.monotonic())
            self._beliefs.adopt(report.beliefs)
            return msgspec.msgpack.encode(LoadTotals(self._total(), self._beliefs.share()))

        return {SHARE_LOADS: share}

    async def run(self) -> None:
        """Reports to the parent periodically, or to the root while the parent does not reply."""
        while True:
            await asyncio.sleep(MIN_PERIOD_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PERIOD_S - MIN_PERIOD_S):
                    await self._hurry.wait()
            self._hurry.clear()
            self._children = _fresh(self._children)
            self._regions = _fresh(self._regions)
            sources = self._find_sources()
            roots = () if sources else self._find_roots()
            self._close_other_clients((*sources, *roots))
            if sources:
                self._record_source(await self._report_to_first(sources))
            await asyncio.gather(*(self._report_region(address) for address in roots))

    async def _report_to_first(self, sources: Sequence[str]) -> str:
        """Reports to the first source that replies, and returns its address; empty for none."""
        for address in sources:
            own = self._own_load()
            reply = await self._send(address, is_region=False)
            if isinstance(reply, Success):
                self._reported = own
                self._totals = _Known(reply.unwrap().load, time.monotonic())
                return address
        return ""

    async def _report_region(self, address: str) -> None:
        """Tells the root of another region the load of this one; only its beliefs are used."""
        await self._send(address, is_region=True)

    async def _send(self, address: str, is_region: bool) -> Result[LoadTotals, Failure]:
        client = self._clients.setdefault(address, RpcClient(address))
        report = LoadReport(self._host, self._subtree(), self._beliefs.share(), is_region)
        reply = await client.call(SHARE_LOADS, report, LoadTotals, TIMEOUT_S)
        if isinstance(reply, Success):
            self._beliefs.adopt(reply.unwrap().beliefs)
        return reply

    def _close_other_clients(self, addresses: Sequence[str]) -> None:
        for address in [known for known in self._clients if known not in addresses]:
            self._clients.pop(address).close()

    def _total(self) -> SharedLoad:
        if self._totals.is_fresh():
            return self._totals.load
        regions = (known.load for known in _fresh(self._regions).values())
        return _sum(self._subtree(), *regions)

    def _subtree(self) -> SharedLoad:
        children = (known.load for known in _fresh(self._children).values())
        return _sum(self._own_load(), *children)

    def _reports(self) -> list[SharedLoad]:
        known = (*self._children.values(), *self._regions.values())
        return [report.load for report in known if report.is_fresh()]

    def _record_source(self, address: str) -> None:
        if bool(address) is not self._reaches_source:
            self._reaches_source = bool(address)
            event = "loads_shared" if address else "loads_not_shared"
            logs.logger("gateway").info(event, address=address)


def _sum(*loads: SharedLoad) -> SharedLoad:
    turns: Counter[str] = Counter()
    rates: dict[str, Rates] = {}
    tenants: dict[str, Rates] = {}
    services: dict[str, ServiceLoad] = {}
    for load in loads:
        turns.update(load.turns)
        for replica, found in load.rates.items():
            rates[replica] = rates.get(replica, NO_RATES) + found
        for tenant, found in load.tenants.items():
            tenants[tenant] = tenants.get(tenant, NO_RATES) + found
        for service, requests in load.services.items():
            services[service] = services.get(service, NO_SERVICE_LOAD) + requests
    if len(tenants) > MAX_SUMMED_TENANTS:
        busiest = sorted(tenants.items(), key=lambda item: item[1].sent_per_s, reverse=True)
        tenants = dict(busiest[:MAX_SUMMED_TENANTS])
    entries = sum(load.entries for load in loads)
    return SharedLoad(dict(turns), rates, entries, tenants, services)


def _fresh(reports: Mapping[str, _Known]) -> dict[str, _Known]:
    return {host: known for host, known in reports.items() if known.is_fresh()}
