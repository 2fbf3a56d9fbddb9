"""Detects unresponsive hosts with disks before their registrations expire."""

import asyncio
import time
from collections.abc import Collection

from endiveworks.telemetry import logs
from endiveworks.turns import messages
from endiveworks.turns.view import Disk
from returns.result import Success

from ..rpc import RpcClient

PING_PERIOD_S = 0.15  # Interval between rounds; UNRESPONSIVE_ROUNDS missed ones mean unresponsive.
PING_TIMEOUT_S = 0.3  # Several times the round trip between regions.
# Consecutive rounds without a reply; a pause of this process can cause one such round.
UNRESPONSIVE_ROUNDS = 2


class FailureDetector:
    """Pings other hosts in rounds and counts the consecutive rounds that each has missed."""

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self._clients: dict[str, RpcClient] = {}
        self._missed_rounds: dict[str, int] = {}
        self._targets: tuple[Disk, ...] = ()
        self._late_s = 0.0  # How late the last round began, which shows a busy event loop.

    def set_targets(self, disks: Collection[Disk]) -> None:
        """Sets the disks whose hosts are pinged."""
        self._targets = tuple(disk for disk in disks if disk.host != self._own_host)
        addresses = {disk.address for disk in self._targets}
        for address in [old for old in self._clients if old not in addresses]:
            self._clients.pop(address).close()
            self._missed_rounds.pop(address, None)

    def is_unresponsive(self, disk: Disk) -> bool:
        """Returns whether a host has missed at least UNRESPONSIVE_ROUNDS consecutive rounds."""
        return self._missed_rounds.get(disk.address, 0) >= UNRESPONSIVE_ROUNDS

    async def run(self) -> None:
        """Pings all targets periodically."""
        while True:
            due_s = time.monotonic() + PING_PERIOD_S
            await asyncio.sleep(PING_PERIOD_S)
            self._late_s = time.monotonic() - due_s
            await asyncio.gather(*(self._ping(disk) for disk in self._targets))

    async def _ping(self, disk: Disk) -> None:
        client = self._clients.setdefault(disk.address, RpcClient(disk.address))
        ping = messages.Ping(self._own_host)
        reply = await client.call(messages.PING, ping, messages.Pong, PING_TIMEOUT_S)
        if isinstance(reply, Success):
            if self._missed_rounds.pop(disk.address, 0) >= UNRESPONSIVE_ROUNDS:
                logs.logger("turns").info("disk_responsive", peer=disk.host)
            return
        self._missed_rounds[disk.address] = self._missed_rounds.get(disk.address, 0) + 1
        if self._missed_rounds[disk.address] == UNRESPONSIVE_ROUNDS:
            logs.logger("turns").warning(
                "disk_unresponsive",
                peer=disk.host,
                late_ms=round(self._late_s * 1000),
                detail=str(reply.failure()),
            )
