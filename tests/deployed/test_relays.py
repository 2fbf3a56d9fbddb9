"""Relays of messages to disks that answer quickly and wrongly."""

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
