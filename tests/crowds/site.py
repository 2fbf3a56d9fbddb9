"""One entry and three disks as processes, with their store and replicas in the test's process."""

import asyncio
import json
import os
import time
from collections.abc import Mapping
from pathlib import Path

from endiveworks_standins.site_caller import (
    Response,
    read_response,
    write_chunked_request,
    write_request,
)
from endiveworks_standins.site_config import operator_config
from endiveworks_standins.site_replica import (
    Arrival,
    SiteReplica,
    buffered_response,
    chunk,
    event,
    stream_head,
)
from endiveworks_standins.site_store import SiteStore

from tests.soak.hosts import ZONES, Host

MEMORY_MB = 100
MAX_FDS = 600
TURNS_REPLICA, PLAIN_REPLICA = "llm-a", "shop-a"
SLOTS = 200
LARGE = "/lookups/large"
SMALL = "/lookups/small"
ORDER = "/orders/x"
LARGE_BYTES = 4 * 1024 * 1024
TIMEOUT_MS = 20_000
ANSWER_TIMEOUT_S = 60.0
MIN_PAUSE_S = 0.2
START_S = 60.0
BEAT_S = 0.5
_NETWORKS = 250


async def _answer(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
    is_large = arrival.line.split()[1] == LARGE
    body = b"x" * LARGE_BYTES if is_large else str(len(arrival.body)).encode()
    writer.write(buffered_response(arrival, body))
    await writer.drain()
    return True


async def _stream(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
    size = str(len(arrival.body))
    writer.write(stream_head(arrival) + chunk(event(1, size)) + chunk(b""))
    return True


class CrowdedSite:
    """A small deployment whose entry has little memory and few descriptors.

    Args:
        folder: Folder for settings, logs and data.
        contracts: Terms in force, as the settings name them.
        memory_mb: Memory of the entry, in megabytes.
        disk_limits: Limits of the processes with disks, by their names in the settings.

    Attributes:
        entry: The process that serves callers.
        disks: The processes that keep turns.
    """

    def __init__(
        self,
        folder: Path,
        contracts: tuple[str, ...] = (),
        memory_mb: int = MEMORY_MB,
        disk_limits: Mapping[str, int] | None = None,
    ) -> None:
        folder.mkdir(exist_ok=True)
        pid = os.getpid()
        net = f"127.{1 + pid % _NETWORKS}.{1 + pid // _NETWORKS % _NETWORKS}"
        self._store = SiteStore()
        self._replicas = {
            TURNS_REPLICA: SiteReplica(_stream),
            PLAIN_REPLICA: SiteReplica(_answer),
        }
        limits = {"memory_mb": memory_mb, "max_fds": MAX_FDS}
        self.entry = Host(
            "entry-0", f"{net}.1", folder, self._store.address, False, limits, contracts
        )
        self.disks = [
            Host(
                f"disk-{number}",
                f"{net}.{number + 2}",
                folder,
                self._store.address,
                True,
                disk_limits,
            )
            for number in range(3)
        ]
        self._beating: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "CrowdedSite":
        config = operator_config(1, SLOTS, {"timeout_ms": TIMEOUT_MS})
        self._store.put("op/config", json.dumps(config).encode())
        for replica in self._replicas.values():
            await replica.start()
        self._beating = asyncio.create_task(self._beat())
        for host in (self.entry, *self.disks):
            await host.start()
        assert await self.ask(SMALL, timeout_s=START_S) is not None
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._beating is not None:
            self._beating.cancel()
        for host in (self.entry, *self.disks):
            host.stop()
        for replica in self._replicas.values():
            replica.stop()
        self._store.stop()

    async def ask(
        self, target: str, body: bytes = b"", timeout_s: float = ANSWER_TIMEOUT_S
    ) -> Response | None:
        """Repeats a request as it is told to until it is served; returns None if it never is."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            reply = await self.send(target, body)
            if reply is not None and reply.status == 200:
                return reply
            wait_s = float(reply.headers.get("retry-after", 0)) if reply is not None else 0.0
            await asyncio.sleep(max(wait_s, MIN_PAUSE_S))
        return None

    async def send(
        self, target: str, body: bytes = b"", chunk_bytes: int = 0, **more: str
    ) -> Response | None:
        """Sends a request on a new connection; returns None if there was no response.

        Args:
            target: Its path.
            body: Its body.
            chunk_bytes: Size of the chunks in which the body is sent; 0 to send it with a length.
            more: Further headers, with underscores for dashes.
        """
        ip, _, port = self.entry.front.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                reader, writer = await asyncio.open_connection(ip, int(port))
                named = {"Deadline_Ms": str(TIMEOUT_MS)} | more
                if chunk_bytes:
                    write_chunked_request(writer, target, body, chunk_bytes, named)
                else:
                    write_request(writer, target, body, named)
                await writer.drain()
                return await read_response(reader)
        except (OSError, TimeoutError):
            return None
        finally:
            if writer is not None:
                writer.close()

    async def _beat(self) -> None:
        """Registers the replicas again and again, as they do themselves."""
        sequence = 0
        while True:
            sequence += 1
            for name, replica in self._replicas.items():
                entry = {
                    "backend": name.partition("-")[0],
                    "address": replica.address,
                    "zone": ZONES[0],
                    "version": "v1",
                    "slots": SLOTS,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "sequence": sequence,
                }
                self._store.put(f"servers/{name}", json.dumps(entry).encode())
            await asyncio.sleep(BEAT_S)
