"""A whole deployment for a soak: store, replicas, entries, disks and the operator."""

import asyncio
import json
import os
import random
from collections.abc import Mapping
from pathlib import Path

from endiveworks_standins.site_caller import read_response, write_request
from endiveworks_standins.site_config import operator_config
from endiveworks_standins.site_store import SiteStore

from .hosts import ZONES, Host
from .keys import add_tenants
from .record import Record
from .replicas import VERSIONS, Replicas

ENTRIES = ("entry-0", "entry-1", "entry-2")
DISKS = ("disk-0", "disk-1", "disk-2", "disk-3")
START_S = 60.0
BEAT_S = 0.5
READY_TIMEOUT_S = 1.0
SLOTS = 8
# Limits of the processes in every second run, as on the smallest machines of the users.
ENTRY_LIMITS = {"memory_mb": 150, "max_fds": 4100}
DISK_LIMITS = {"memory_mb": 170, "max_fds": 8200, "disk_mb": 330}
# Loopback networks of runs beside one another; each run takes that of its process id.
_NETWORKS = 250


class Site:
    """A running deployment.

    Attributes:
        record: What callers and replicas saw.
        store: The key-value service.
        replicas: The replicas.
        entries: Processes that serve callers.
        disks: Processes that keep turns.
        version: Version of the configuration.
    """

    def __init__(self, folder: Path, seed: int) -> None:
        self.record = Record()
        self.store = SiteStore()
        self.replicas = Replicas(self.record, random.Random(seed))
        pid = os.getpid()
        net = f"127.{1 + pid % _NETWORKS}.{1 + pid // _NETWORKS % _NETWORKS}"
        names = enumerate([*ENTRIES, *DISKS], 1)
        hosts = [
            Host(
                name,
                f"{net}.{number}",
                folder,
                self.store.address,
                name in DISKS,
                _limits(name) if seed % 2 else None,
            )
            for number, name in names
        ]
        self.entries = [host for host in hosts if host.name in ENTRIES]
        self.disks = [host for host in hosts if host.name in DISKS]
        self.version = 0
        self._beating: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts everything and waits until all entries are ready."""
        self.configure()
        await self.replicas.start()
        self._beating = asyncio.create_task(self._beat())
        for host in self.hosts():
            await host.start()
        await self.wait_ready(START_S)

    def stop(self) -> None:
        """Ends everything."""
        if self._beating is not None:
            self._beating.cancel()
        for host in self.hosts():
            host.stop()
        self.replicas.stop()
        self.store.stop()

    def hosts(self) -> list[Host]:
        """Returns all processes."""
        return [*self.entries, *self.disks]

    def configure(self) -> None:
        """Writes the next version of the configuration."""
        self.version += 1
        fields = add_tenants(operator_config(self.version, SLOTS), self.version)
        self.store.put("op/config", json.dumps(fields).encode())

    async def wait_ready(self, timeout_s: float) -> None:
        """Waits until all entries are ready; raises TimeoutError."""
        async with asyncio.timeout(timeout_s):
            while not all([await self._is_ready(host) for host in self.entries]):
                await asyncio.sleep(0.1)

    async def _is_ready(self, host: Host) -> bool:
        ip, _, port = host.readiness.rpartition(":")
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, int(port))
                write_request(writer, "/endiveworks/readyz", b"", {})
                reply = await read_response(reader)
                writer.close()
                return reply.status == 200
        except (OSError, TimeoutError):
            return False

    async def _beat(self) -> None:
        """Registers the replicas again and again, as they do themselves."""
        sequence = 0
        while True:
            sequence += 1
            for number, (name, address) in enumerate(self.replicas.addresses().items()):
                entry = {
                    "backend": name.partition("-")[0],
                    "address": address,
                    "zone": ZONES[number % 2],
                    "version": VERSIONS[name],
                    "slots": SLOTS,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "sequence": sequence,
                }
                self.store.put(f"servers/{name}", json.dumps(entry).encode())
            await asyncio.sleep(BEAT_S)


def _limits(name: str) -> Mapping[str, int]:
    return DISK_LIMITS if name in DISKS else ENTRY_LIMITS
