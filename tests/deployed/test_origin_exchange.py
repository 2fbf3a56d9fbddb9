"""Entries that tell each other in datagrams where streams began."""

import asyncio
import time

from endiveworks.gateway.stream_origins import StreamOrigin, attempt_key
from endiveworks.members.member import Member
from endiveworks_daemon.gateway.origin_exchange import QUERY_TIMEOUT_S, OriginExchange

from tests.deployed.harness import run


class Peers:
    """Entries on loopback ports."""

    def __init__(self, count: int) -> None:
        self.exchanges = [OriginExchange(f"entry-{number}") for number in range(count)]
        self.members: list[Member] = []

    async def __aenter__(self) -> list[OriginExchange]:
        for number, exchange in enumerate(self.exchanges):
            await exchange.start("127.0.0.1:0")
            assert exchange._transport is not None
            ip, port = exchange._transport.get_extra_info("sockname")
            member = Member(f"entry-{number}", f"{ip}:{port}", "entry", "", "east", "edin", 1)
            self.members.append(member)
        for exchange in self.exchanges:
            exchange.update_members(self.members)
        return self.exchanges

    async def __aexit__(self, *_: object) -> None:
        for exchange in self.exchanges:
            exchange.close()


class TestOriginExchange:
    def test_every_entry_finds_an_origin(self) -> None:
        async def scenario() -> None:
            async with Peers(12) as peers:
                peers[0].record("r1", "d1", "llm", "v1")
                await asyncio.sleep(0.05)
                expected = StreamOrigin("llm", "v1", "entry-0")
                for peer in peers:
                    assert await peer.find("r1", "") == expected
                    assert await peer.find("", "d1") == expected
                assert sum(len(peer._origins) for peer in peers) <= 2 * 4

        run(scenario)

    def test_the_loss_of_two_holders_is_tolerated(self) -> None:
        async def scenario() -> None:
            async with Peers(12) as peers:
                peers[0].record("r1", "d1", "llm", "v1")
                await asyncio.sleep(0.05)
                lost = {"entry-0", *peers[0]._holders.select(attempt_key("r1"))[:2]}
                for peer in peers:
                    if peer._host in lost:
                        peer.close()
                other = next(peer for peer in peers if not len(peer._origins))
                assert await other.find("r1", "") is not None

        run(scenario)

    def test_an_unknown_origin_is_reported_as_soon_as_all_have_replied(self) -> None:
        async def scenario() -> None:
            async with Peers(12) as peers:
                started_s = time.monotonic()
                assert await peers[0].find("r1", "") is None
                assert time.monotonic() - started_s < QUERY_TIMEOUT_S / 2

        run(scenario)

    def test_a_lost_query_is_sent_again(self) -> None:
        async def scenario() -> None:
            async with Peers(2) as (first, second):
                second.record("r1", "d1", "llm", "v1")
                await asyncio.sleep(0.05)
                first._origins = type(first._origins)()
                sent, send = [], first._send

                def lose_first(*args: object) -> None:
                    sent.append(args)
                    if len(sent) > 1:
                        send(*args)  # type: ignore[arg-type]

                first._send = lose_first  # type: ignore[method-assign]
                assert await first.find("r1", "") == StreamOrigin("llm", "v1", "entry-1")

        run(scenario)

    def test_two_queries_for_one_stream_at_once(self) -> None:
        async def scenario() -> None:
            async with Peers(6) as peers:
                peers[0].record("r1", "d1", "llm", "v1")
                await asyncio.sleep(0.05)
                other = next(peer for peer in peers if not len(peer._origins))
                one = asyncio.create_task(other.find("r1", ""))
                two = asyncio.create_task(other.find("r1", ""))
                await asyncio.sleep(0)
                one.cancel()
                assert await two == StreamOrigin("llm", "v1", "entry-0")
                assert not other._queries

        run(scenario)

    def test_bytes_that_are_no_message_are_ignored(self) -> None:
        async def scenario() -> None:
            async with Peers(2) as (first, second):
                assert second._transport is not None
                for data in (b"", b"\xc1", b"\x93\xa5query", b"\x91\xa1x", b"\xff" * 2_000):
                    second._transport.sendto(data, first._addresses["entry-0"])
                await asyncio.sleep(0.05)
                first.record("r1", "d1", "llm", "v1")
                assert await second.find("r1", "") is not None

        run(scenario)

    def test_an_oversized_origin_is_not_sent(self) -> None:
        async def scenario() -> None:
            async with Peers(2) as (first, second):
                first.record("r1", "d1", "llm", "v" * 5_000)
                await asyncio.sleep(0.05)
                assert (await second.find("r1", "")) is None

        run(scenario)
