"""Chains of long turns, which one entry or one message can't hold whole."""

import contextlib
import unittest.mock
from collections.abc import Iterator
from pathlib import Path

from endiveworks.turns import messages
from endiveworks.turns.records import Turn
from endiveworks_daemon.disks.disk_store import DiskStore
from endiveworks_daemon.gateway.turn_store import TurnStore
from endiveworks_daemon.rpc import MAX_FRAME_BYTES, LongReply
from returns.result import Success

from tests.deployed.harness import LOCATION, TURN, Deployment, Entry, run, streams
from tests.deployed.test_memory_refusals import fill
from tests.deployed.test_streams import turn

MEMORY_MB = 128.0
LONG = b"l" * 1_000_000
TIMEOUT_S = 10.0


@contextlib.contextmanager
def reply_sizes() -> Iterator[list[int]]:
    """Collects the sizes of the disks' replies to reads of chains."""
    sizes: list[int] = []
    fetch = DiskStore.fetch

    async def counted(self: DiskStore, message: memoryview) -> bytes | LongReply:
        reply = await fetch(self, message)
        sizes.append(len(reply.build() if isinstance(reply, LongReply) else reply))
        return reply

    with unittest.mock.patch.object(DiskStore, "fetch", counted):
        yield sizes


async def send_chain(entry: Entry, length: int) -> int:
    """Sends long turns that continue each other; returns how many were answered."""
    for number in range(length):
        named = turn(f"t{number + 1}", f"t{number}" if number else "")
        reply = await entry.send(TURN, LONG, **named)
        if reply.status != 200:
            assert (reply.status, "retry-after" in reply.headers) == (503, True)
            return number
        assert reply.complete
    return length


class TestMemoryOfAnEntry:
    """Chains were read whole before memory was claimed for them, and entries were killed for it."""

    def test_a_chain_is_served_while_it_fits_and_refused_beyond(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            replicas = {"llm/a": streams("x")}
            async with Deployment(
                tmp_path, replicas, memory_mb=MEMORY_MB, timeout_ms=20_000
            ) as deployed:
                answered = await send_chain(deployed, 40)
                assert 4 <= answered < 40
                assert len(deployed.replicas["llm/a"].arrivals) == answered
                assert len(deployed.replicas["llm/a"].arrivals[-1].body) > answered * len(LONG)
                assert deployed.memory.peak <= deployed.memory.bound
                # A long chain that is refused isn't one that is unknown.
                previous = f"t{answered}"
                assert (await deployed.send(TURN, LONG, **turn("u", previous))).status == 503
                assert (await deployed.send(TURN, b"x", **turn("v", "t1"))).status == 200

        run(scenario)

    def test_a_chain_is_not_read_without_memory_for_it(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            with reply_sizes() as sizes:
                replicas = {"llm/a": streams("x")}
                async with Deployment(
                    tmp_path, replicas, memory_mb=MEMORY_MB, timeout_ms=20_000
                ) as deployed:
                    assert await send_chain(deployed, 8) == 8
                    deployed.turns = TurnStore(LOCATION)  # Has nothing in its cache.
                    deployed.gateway = deployed.new_gateway()
                    deployed.apply(deployed.view)
                    await deployed.listen(deployed._stack)
                    give_back = fill(deployed, 0.5)
                    sizes.clear()
                    refused = await deployed.send(TURN, b"x", **turn("u", "t8"))
                    assert refused.status == 503
                    assert sizes and max(sizes) <= messages.PAGE_BYTES
                    give_back()
                    assert (await deployed.send(TURN, b"x", **turn("v", "t8"))).status == 200

        run(scenario)

    def test_turns_of_a_long_chain_count_though_they_are_cached(self, tmp_path: Path) -> None:
        """The cache may evict them while the chain is held; an entry took 137 MB of 150."""

        async def scenario() -> None:
            replicas = {"llm/a": streams("x")}
            async with Deployment(
                tmp_path, replicas, memory_mb=MEMORY_MB, timeout_ms=20_000
            ) as deployed:
                assert await send_chain(deployed, 8) == 8
                give_back = fill(deployed, 0.5)
                assert (await deployed.send(TURN, b"x", **turn("u", "t8"))).status == 503
                assert (await deployed.send(TURN, b"x", **turn("v"))).status == 200
                give_back()
                assert (await deployed.send(TURN, b"x", **turn("w", "t8"))).status == 200

        run(scenario)


class TestMessages:
    def test_a_chain_longer_than_a_message_is_read_in_parts(self, tmp_path: Path) -> None:
        """The disk was taken for unreachable, by all requests of the entry."""

        async def scenario() -> None:
            with reply_sizes() as sizes:
                async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                    body = b"x" * (4 * 1024 * 1024)
                    length = MAX_FRAME_BYTES // len(body) + 1
                    for number in range(1, length + 1):
                        parent = f"t{number - 1}" if number > 1 else ""
                        record = Turn(f"t{number}", parent, body, b"", 60.0)
                        stored = await deployed.turns.commit(record, None, TIMEOUT_S)
                        assert isinstance(stored, Success)
                    reader = TurnStore(LOCATION)
                    reader.adopt(deployed.view)
                    sizes.clear()
                    chain = (await reader.read_chain(f"t{length}", TIMEOUT_S)).unwrap()
                    assert chain is not None
                    names = [f"t{number}" for number in range(1, length + 1)]
                    assert [found.turn for found in chain] == names
                    assert all(found.prompt == body for found in chain)
                    assert sizes and max(sizes) <= len(body) + messages.PAGE_BYTES

        run(scenario)
