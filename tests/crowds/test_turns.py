"""Clients that send more turns than the disks and the entry can keep, beside ordinary ones."""

import asyncio
import contextlib
import itertools
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import pytest

from .senders import BODY_BYTES, CROWD_S
from .site import START_S, CrowdedSite
from .usage import watched

TURN = "/turns/x"
ENTRY_MB, DISK_PROCESS_MB, DISK_MB = 150, 110, 120
LINES, PAUSE_S, LINE_BYTES = 4, 0.05, 1_680
AFTER_S = 2.0
SHORT_SENDERS, SHORT_BYTES = 16, 1_000
BUDGET = {"Token_Budget": "1000000", "Token_Usage": "400,40"}
MIN_SHARE = 0.9  # Ordinary turns that are answered whole beside a client that isn't.

Client = Callable[[CrowdedSite, list[str]], Awaitable[None]]
_names = (f"turn-{number}" for number in itertools.count())


async def send_turn(
    site: CrowdedSite, program: str, previous: str, body: bytes
) -> tuple[str, int, float]:
    """Sends a turn; returns its id if it was answered whole, its status, and when to return."""
    name = next(_names)
    named = BUDGET | {"Request_Id": name, "Program_Id": program}
    if previous:
        named["Previous_Turn"] = previous
    reply = await site.send(TURN, body, **named)
    if reply is None:
        return "", 0, 0.0
    whole = reply.status == 200 and reply.complete
    return name if whole else "", reply.status, float(reply.headers.get("retry-after", 0.0))


@contextlib.asynccontextmanager
async def started(tmp_path: Path) -> AsyncIterator[CrowdedSite]:
    """Runs a deployment with small disks, from the moment at which turns are kept."""
    limits = {"memory_mb": DISK_PROCESS_MB, "disk_mb": DISK_MB}
    async with CrowdedSite(tmp_path / "site", memory_mb=ENTRY_MB, disk_limits=limits) as site:
        async with asyncio.timeout(START_S):
            while not (await send_turn(site, "first", "", b"first"))[0]:
                await asyncio.sleep(0.1)
        yield site


async def send_long_turns(site: CrowdedSite, answered: list[str]) -> None:
    """Sends first turns of the longest legal length; returns too early when refused."""
    while True:
        name, _, wait_s = await send_turn(site, next(_names), "", b"l" * BODY_BYTES)
        answered += [name] if name else []
        await asyncio.sleep(min(wait_s, 0.2))


async def send_long_chain(site: CrowdedSite, answered: list[str]) -> None:
    """Sends turns of a megabyte that continue each other."""
    while True:
        previous = answered[-1] if answered else ""
        name, _, wait_s = await send_turn(site, "chain", previous, b"c" * 1_000_000)
        answered += [name] if name else []
        await asyncio.sleep(min(wait_s, 0.2))


async def send_short_turns(site: CrowdedSite, answered: list[str]) -> None:
    """Sends short first turns as fast as they are answered, over several connections."""

    async def line() -> None:
        while True:
            name, _, _ = await send_turn(site, next(_names), "", b"s" * SHORT_BYTES)
            answered.extend([name] if name else [])

    await asyncio.gather(*(line() for _ in range(SHORT_SENDERS)))


async def send_ordinary(site: CrowdedSite, until_s: float) -> Counter[bool]:
    """Runs lines of ordinary turns until a time; returns whether their turns were whole."""
    found: Counter[bool] = Counter()

    async def line(program: str) -> None:
        previous = ""
        while time.monotonic() < until_s:
            name, _, _ = await send_turn(site, program, previous, b"o" * LINE_BYTES)
            found[bool(name)] += 1
            previous = name or previous
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(line(next(_names)) for _ in range(LINES)))
    return found


@contextlib.asynccontextmanager
async def running(client: Client, site: CrowdedSite, answered: list[str]) -> AsyncIterator[None]:
    """Lets a client send until the context ends."""
    task = asyncio.ensure_future(client(site, answered))
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


CLIENTS = {"long turns": send_long_turns, "a long chain": send_long_chain}
CLIENTS |= {"short turns": send_short_turns}


class TestMemory:
    """Disks kept all turns in memory, and entries read chains whole (review/7)."""

    @pytest.mark.parametrize("client", CLIENTS.values(), ids=list(CLIENTS))
    def test_all_processes_stay_in_their_memory_and_serve_others(
        self, tmp_path: Path, client: Client
    ) -> None:
        async def scenario() -> None:
            async with started(tmp_path) as site:
                hosts = [site.entry, *site.disks]
                pids = [host.pid for host in hosts]
                answered: list[str] = []
                with contextlib.ExitStack() as stack:
                    usages = [
                        stack.enter_context(watched(lambda host=host: host.pid, f"{host.ip}:7380"))
                        for host in hosts
                    ]
                    async with running(client, site, answered):
                        beside = await send_ordinary(site, time.monotonic() + CROWD_S)
                    after = await send_ordinary(site, time.monotonic() + AFTER_S)
                    seen = f"{usages}; {len(answered)} answered; {beside} beside, {after} after"
                    assert [host.pid for host in hosts] == pids, seen
                    assert [host.unasked for host in hosts] == [[]] * len(hosts), seen
                assert answered, seen
                assert usages[0].memory_mb <= ENTRY_MB, seen
                assert max(usage.memory_mb for usage in usages[1:]) <= DISK_PROCESS_MB, seen
                assert beside[True] >= MIN_SHARE * beside.total(), seen
                assert after[True] == after.total(), seen
                await self.kill_all_disks(site, answered)

        asyncio.run(scenario())

    async def kill_all_disks(self, site: CrowdedSite, answered: list[str]) -> None:
        """Kills all disks; the turns that were answered go on when they are back."""
        for disk in site.disks:
            disk.send(signal.SIGKILL)
        with contextlib.ExitStack() as stack:
            usages = [
                stack.enter_context(watched(lambda disk=disk: disk.pid, f"{disk.ip}:7380"))
                for disk in site.disks
            ]
            await asyncio.sleep(1.0)
            for previous in (answered[0], answered[-1]):
                end_s = time.monotonic() + 20.0
                while not (await send_turn(site, next(_names), previous, b"more"))[0]:
                    assert time.monotonic() < end_s, previous
                    await asyncio.sleep(0.2)
        assert [disk.unasked for disk in site.disks] == [[]] * len(site.disks)
        assert max(usage.memory_mb for usage in usages) <= DISK_PROCESS_MB, usages


class TestLoss:
    def test_a_disk_is_replaced_while_all_are_full(self, tmp_path: Path) -> None:
        """The new disk reads all that the others have, beside the client that fills them."""

        async def scenario() -> None:
            async with started(tmp_path) as site:
                answered: list[str] = []
                with contextlib.ExitStack() as stack:
                    usages = [
                        stack.enter_context(watched(lambda disk=disk: disk.pid, f"{disk.ip}:7380"))
                        for disk in site.disks
                    ]
                    async with running(send_long_turns, site, answered):
                        await asyncio.sleep(CROWD_S / 2)
                        await site.disks[0].wipe()
                        await asyncio.sleep(CROWD_S)
                    for previous in (answered[0], answered[-1]):
                        end_s = time.monotonic() + 20.0
                        while not (await send_turn(site, next(_names), previous, b"more"))[0]:
                            assert time.monotonic() < end_s, previous
                            await asyncio.sleep(0.2)
                assert [disk.unasked for disk in site.disks] == [[]] * len(site.disks)
                assert max(usage.memory_mb for usage in usages) <= DISK_PROCESS_MB, usages
                for disk in site.disks:
                    assert disk.data is not None
                    size = sum(path.stat().st_size for path in disk.data.glob("*.wal"))
                    assert size <= DISK_MB * 1e6

        asyncio.run(scenario())


class TestCalm:
    def test_one_turn_of_the_longest_length_and_a_chain_of_some_are_served(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async with started(tmp_path) as site:
                previous = ""
                for _ in range(3):
                    name, status, _ = await send_turn(site, "p", previous, b"x" * BODY_BYTES)
                    assert name, status
                    previous = name

        asyncio.run(scenario())
