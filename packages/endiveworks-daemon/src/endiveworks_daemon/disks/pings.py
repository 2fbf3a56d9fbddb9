"""Finds hosts with disks that don't answer, sooner than their registrations lapse."""

import asyncio
from collections.abc import Collection

from endiveworks.turns import messages
from endiveworks.turns.view import Disk
from returns.result import Success

from ..rpc import RpcClient

PERIOD_S = 0.15  # Time between rounds, of which two without an answer count.
TIMEOUT_S = 0.3  # Several times the way between regions and back.
# Rounds in a row without an answer; one may be lost to a pause of this process.
SILENT_ROUNDS = 2


class Pings:
    """Rounds of pings to other hosts, and who has not answered lately."""

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self._clients: dict[str, RpcClient] = {}
        self._missed: dict[str, int] = {}
        self._disks: tuple[Disk, ...] = ()

    def follow(self, disks: Collection[Disk]) -> None:
        """Sets the hosts that are asked."""
        self._disks = tuple(disk for disk in disks if disk.host != self._own_host)
        addresses = {disk.address for disk in self._disks}
        for address in [known for known in self._clients if known not in addresses]:
            self._clients.pop(address).close()
            self._missed.pop(address, None)

    def is_silent(self, disk: Disk) -> bool:
        """Tells whether a host has missed several rounds in a row."""
        return self._missed.get(disk.address, 0) >= SILENT_ROUNDS

    async def run(self) -> None:
        """Asks again and again."""
        while True:
            await asyncio.sleep(PERIOD_S)
            await asyncio.gather(*(self._ask(disk) for disk in self._disks))

    async def _ask(self, disk: Disk) -> None:
        client = self._clients.setdefault(disk.address, RpcClient(disk.address))
        ping = messages.Ping(self._own_host)
        answer = await client.call(messages.PING, ping, messages.Pong, TIMEOUT_S)
        if isinstance(answer, Success):
            self._missed.pop(disk.address, None)
        else:
            self._missed[disk.address] = self._missed.get(disk.address, 0) + 1
