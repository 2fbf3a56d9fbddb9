"""Relays of messages to disks that answer quickly and wrongly."""

import asyncio
from contextlib import AsyncExitStack

import msgspec
from endiveworks.turns.view import Disk
from endiveworks_daemon import rpc
from endiveworks_daemon.gateway.disk_links import RELAY, DiskLinks, RelayReply
from returns.result import Success

from tests.deployed.harness import run

DISK = Disk("d1", "folder", "127.0.0.1:1", "edin", "east")


async def start_relay(stack: AsyncExitStack, disk_reply: bytes) -> str:
    """Starts a relay that gives each message the same reply, and returns its address."""

    async def relay(message: bytes) -> bytes:
        return msgspec.msgpack.encode(RelayReply(disk_reply, ""))

    server = await rpc.serve("127.0.0.1:0", {RELAY: relay})
    stack.callback(server.close)
    return server.address


class TestRelayWithUnreadableReplies:
    def test_another_one_is_used(self) -> None:
        async def scenario() -> None:
            async with AsyncExitStack() as stack:
                wrong = await start_relay(stack, b"\xc1")
                sound = await start_relay(stack, msgspec.msgpack.encode(7))
                links = DiskLinks()
                stack.callback(links.retain_only, [])
                links.set_relays([wrong, sound])
                results = [
                    await links.call_via_relay(DISK, "turns.read", 1, int, 1.0) for _ in range(3)
                ]
                assert [isinstance(result, Success) for result in results] == [False, True, True]

        run(scenario)


class TestReplyOverARelayAfterADirectOne:
    """Guards against the way to a disk changing to and fro after a cut has ended."""

    def test_the_direct_way_stays_in_use(self) -> None:
        async def scenario() -> None:
            async with AsyncExitStack() as stack:
                proceed = asyncio.Event()

                async def relay(message: bytes) -> bytes:
                    await proceed.wait()
                    return msgspec.msgpack.encode(RelayReply(msgspec.msgpack.encode(7), ""))

                async def read(message: bytes) -> bytes:
                    return msgspec.msgpack.encode(7)

                server = await rpc.serve("127.0.0.1:0", {RELAY: relay, "turns.read": read})
                stack.callback(server.close)
                disk = DISK._replace(address=server.address)
                links = DiskLinks()
                stack.callback(links.retain_only, [])
                links.set_relays([server.address])
                relayed = asyncio.create_task(links.call_via_relay(disk, "turns.read", 1, int, 5.0))
                await asyncio.sleep(0)
                await links.call_direct(disk, "turns.read", 1, int, 5.0)
                proceed.set()
                assert isinstance(await relayed, Success)
                assert not links.is_relayed(disk)
                await links.call_via_relay(disk, "turns.read", 1, int, 5.0)
                assert links.is_relayed(disk)

        run(scenario)
