"""Entries that exchange their numbers of turns in flight."""

import asyncio
from collections.abc import Callable, Mapping, Sequence

from endiveworks.gateway.rate_limit import NO_RATES, LimitSighting, Rates
from endiveworks_daemon import rpc
from endiveworks_daemon.gateway.load_exchange import (
    EXPIRY_S,
    PERIOD_S,
    BeliefBook,
    Beliefs,
    LoadExchange,
    SharedLoad,
)
from endiveworks_daemon.gateway.quarantine import SharedSuspicions

from tests.deployed.harness import run

SETTLE_S = 6 * PERIOD_S  # Reports go up two levels, and the total comes down again.


class Entry:
    """An entry with a number of turns for each replica."""

    def __init__(self, host: str, turns: Mapping[str, int], sources: Sequence[str]) -> None:
        self.turns = dict(turns)
        self.sources = sources
        self.roots: Sequence[str] = ()
        self.limits: dict[str, LimitSighting] = {}
        self.rates: dict[str, Rates] = {}
        self.exchange = LoadExchange(
            host,
            lambda: SharedLoad(self.turns, self.rates, 1),
            lambda: self.sources,
            lambda: self.roots,
            BeliefBook(
                lambda: Beliefs(self.limits, SharedSuspicions({}, {})),
                lambda found: self.limits.update(found.limits),
            ),
        )
        self.address = ""

    async def start(self) -> "Entry":
        """Starts the server and the periodic reports."""
        self.server = await rpc.serve("127.0.0.1:0", self.exchange.handlers())
        self.address = self.server.address
        self.reports = asyncio.create_task(self.exchange.run())
        return self

    def stop(self) -> None:
        """Stops the server and the reports."""
        self.reports.cancel()
        self.server.close()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds."""
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.02)


class TestLoadExchange:
    def test_every_entry_learns_the_turns_of_all_others(self) -> None:
        async def scenario() -> None:
            root = await Entry("e1", {"a": 1}, ()).start()
            child = await Entry("e2", {"a": 2, "b": 1}, (root.address,)).start()
            leaf = await Entry("e3", {"a": 4}, (child.address, root.address)).start()
            await wait_until(lambda: root.exchange.others("a") == 6)
            await wait_until(lambda: child.exchange.others("a") == 5)
            await wait_until(lambda: leaf.exchange.others("a") == 3)
            assert (root.exchange.others("b"), child.exchange.others("b")) == (1, 0)
            assert leaf.exchange.others("unknown") == 0
            for entry in (root, child, leaf):
                entry.stop()

        run(scenario)

    def test_the_roots_of_regions_learn_the_turns_of_each_other_once(self) -> None:
        async def scenario() -> None:
            east = await Entry("e1", {"a": 1}, ()).start()
            west = await Entry("w1", {"a": 2, "b": 2}, ()).start()
            east.roots, west.roots = (west.address,), (east.address,)
            leaf = await Entry("w2", {"b": 3}, (west.address,)).start()
            await wait_until(lambda: east.exchange.others("b") == 5)
            await asyncio.sleep(SETTLE_S)
            assert (east.exchange.others("a"), east.exchange.others("b")) == (2, 5)
            assert (west.exchange.others("a"), west.exchange.others("b")) == (1, 3)
            assert (leaf.exchange.others("a"), leaf.exchange.others("b")) == (3, 2)
            for entry in (east, west, leaf):
                entry.stop()

        run(scenario)

    def test_the_turns_of_an_entry_that_is_gone_are_dropped(self) -> None:
        async def scenario() -> None:
            root = await Entry("e1", {}, ()).start()
            child = await Entry("e2", {"a": 3}, (root.address,)).start()
            await wait_until(lambda: root.exchange.others("a") == 3)
            child.stop()
            await asyncio.sleep(EXPIRY_S + PERIOD_S)
            assert root.exchange.others("a") == 0
            root.stop()

        run(scenario)

    def test_an_entry_without_its_parent_reports_to_the_root(self) -> None:
        async def scenario() -> None:
            root = await Entry("e1", {}, ()).start()
            gone = await Entry("e2", {}, (root.address,)).start()
            gone.stop()
            leaf = await Entry("e3", {"a": 4}, (gone.address, root.address)).start()
            await wait_until(lambda: root.exchange.others("a") == 4)
            root.turns["a"] = 5
            await wait_until(lambda: leaf.exchange.others("a") == 5)
            leaf.stop()
            root.stop()

        run(scenario)

    def test_without_a_root_an_entry_goes_by_its_own_turns(self) -> None:
        async def scenario() -> None:
            root = await Entry("e1", {"a": 5}, ()).start()
            leaf = await Entry("e2", {"a": 1}, (root.address,)).start()
            await wait_until(lambda: leaf.exchange.others("a") == 5)
            root.stop()
            await asyncio.sleep(EXPIRY_S + SETTLE_S)
            assert leaf.exchange.others("a") == 0
            leaf.stop()

        run(scenario)


class TestLimitedReplicas:
    def test_entries_learn_limits_and_the_requests_of_all_others(self) -> None:
        async def scenario() -> None:
            root = await Entry("e1", {}, ()).start()
            leaf = await Entry("e2", {}, (root.address,)).start()
            west = await Entry("w1", {}, ()).start()
            root.roots, west.roots = (west.address,), (root.address,)
            entries = (root, leaf, west)
            for number, entry in enumerate(entries, 1):
                entry.exchange.expect_entries(4)
                entry.rates = {"a": Rates(10.0 * number, 1.0 * number)}
            leaf.limits = {"a": LimitSighting(6.0, 0.5)}
            await wait_until(lambda: all(entry.limits for entry in entries))
            await wait_until(lambda: leaf.exchange.limited_load("a").others == Rates(40.0, 4.0))
            await wait_until(lambda: root.exchange.limited_load("a").others == Rates(50.0, 5.0))
            await wait_until(lambda: west.exchange.limited_load("a").others == Rates(30.0, 3.0))
            assert [entry.exchange.limited_load("a").coverage for entry in entries] == [0.75] * 3
            assert root.exchange.limited_load("unknown").others == NO_RATES
            for entry in entries:
                entry.stop()

        run(scenario)

    def test_an_entry_that_hears_of_no_other_counts_on_its_own_part(self) -> None:
        async def scenario() -> None:
            root = await Entry("e1", {}, ()).start()
            leaf = await Entry("e2", {}, (root.address,)).start()
            for entry in (root, leaf):
                entry.exchange.expect_entries(2)
            await wait_until(lambda: leaf.exchange.limited_load("a").coverage == 1.0)
            leaf.stop()
            await wait_until(lambda: root.exchange.limited_load("a").coverage == 0.5)
            root.stop()

        run(scenario)
