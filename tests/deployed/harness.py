"""Runs a gateway, disks and scripted replicas in one event loop, on loopback addresses."""

import asyncio
import errno
import gc
import json
from collections.abc import Awaitable, Callable, Collection, Mapping, Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from endiveworks.errors import Code, Failure
from endiveworks.gateway.authentication import Freshness
from endiveworks.gateway.cluster_state import ClusterState
from endiveworks.gateway.messages import Replica
from endiveworks.gateway.placement import Location
from endiveworks.gateway.routes import RoutingTable
from endiveworks.members.member import Member
from endiveworks.telemetry.metrics import Metrics
from endiveworks.turns.records import Reservation
from endiveworks.turns.view import Disk, View
from endiveworks_daemon import rpc
from endiveworks_daemon.disks.disk_store import DiskStore, handlers, open_disk_store
from endiveworks_daemon.disks.origin_holder import OriginHolder
from endiveworks_daemon.gateway.app import Gateway
from endiveworks_daemon.gateway.caller_connections import CallerConnections
from endiveworks_daemon.gateway.context import Context
from endiveworks_daemon.gateway.fleet import Fleet
from endiveworks_daemon.gateway.held_memory import HeldMemory
from endiveworks_daemon.gateway.origin_exchange import OriginExchange
from endiveworks_daemon.gateway.quarantine import Quarantine
from endiveworks_daemon.gateway.quotas import Quotas
from endiveworks_daemon.gateway.run import listen
from endiveworks_daemon.gateway.stop_time import StopTime
from endiveworks_daemon.gateway.transcripts import Transcripts
from endiveworks_daemon.gateway.turn_store import TurnStore
from endiveworks_daemon.gateway.upstreams import ConnectionPool
from endiveworks_site import config, headers
from endiveworks_standins.site_caller import Response, read_response, write_request
from endiveworks_standins.site_config import operator_config
from endiveworks_standins.site_replica import (
    Arrival,
    Script,
    SiteReplica,
    buffered_response,
    chunk,
    event,
    stream_head,
)
from endiveworks_standins.site_replica import reset as reset_connection
from returns.result import Failure as Err
from returns.result import Result, Success

LOCATION = Location("edin", "east")
TURN = "/turns/x"
DRAFT = "/drafts/x"
ORDER = "/orders/x"
LOOKUP = "/lookups/x"


async def serve_with_datagrams(
    address: str,
    call_handlers: Mapping[str, rpc.Handler],
    start_datagrams: Callable[[str], Awaitable[None]],
) -> rpc.RpcServer:
    """Serves calls by TCP and receives datagrams at the same port.

    Args:
        address: The address; empty for a port that is free for both, which the kernel picks for one
            of them only.
        call_handlers: Handlers of calls.
        start_datagrams: Binds an address for datagrams.
    """
    while True:
        server = await rpc.serve(address or "127.0.0.1:0", call_handlers)
        try:
            await start_datagrams(server.address)
        except OSError as exc:
            server.close()
            if address or exc.errno != errno.EADDRINUSE:
                raise
        else:
            return server


class RunningDisk:
    """A disk that a test can stop or erase while it runs.

    Args:
        name: Its name.
        folder: Its data folder.
        memory_mb: Memory of its process in megabytes; 0 for no limit.
        disk_mb: Its size in megabytes; 0 for no limit.
    """

    def __init__(
        self, name: str, folder: Path, memory_mb: float = 0.0, disk_mb: float = 0.0
    ) -> None:
        self.name = name
        self.path = folder
        self._limits = (memory_mb, disk_mb)
        self.disk_store: DiskStore = open_disk_store(folder, *self._limits).unwrap()
        self.address = ""
        self.server: rpc.RpcServer | None = None

    async def start(self) -> None:
        """Starts the RPC server, at the same address as before after a stop."""
        store = self.disk_store
        self.origins = OriginHolder(store.folder, store.is_new, lambda: store.view)
        self.server = await serve_with_datagrams(self.address, handlers(store), self.origins.start)
        self.address = self.server.address

    def stop(self) -> None:
        """Stops the server and closes the files."""
        if self.server is not None:
            self.server.close()
            self.origins.close()
            self.server = None
            self.disk_store.close()

    async def restart(self) -> None:
        """Ends the process with what it knows, and starts another one on its folder."""
        self.stop()
        self.disk_store = open_disk_store(self.path, *self._limits).unwrap()
        await self.start()

    def disk(self) -> Disk:
        """Returns the disk as a member of a view."""
        return Disk(self.name, self.disk_store.folder, self.address, self.name, "east")


class Entry:
    """A process that serves callers, with knowledge of its own.

    Args:
        host: Its name.
        memory_mb: Its memory in megabytes; 0 for no limit.
        slow_readers: Whether the memory of replicas is bounded as well.

    Attributes:
        is_out_of_step: Whether it hears of no changes.
        list_age_s: Time since its list of replicas was known to be complete; None if it never was.
    """

    def __init__(self, host: str, memory_mb: float = 0.0, slow_readers: bool = True) -> None:
        self.host = host
        self.metrics = Metrics("", "test")
        self.memory = HeldMemory(memory_mb, self.metrics)
        self.turns = TurnStore(LOCATION)
        self.pool = ConnectionPool(self.memory.is_bounded)
        self.fleet = Fleet(LOCATION, self.memory.is_bounded and slow_readers)
        self.quarantine = Quarantine()
        self.list_age_s: float | None = 0.0
        self.origins = OriginExchange(host, lambda: self.list_age_s)
        self.turns.set_on_view(self.origins.adopt_view)
        self.transcripts = Transcripts(host)
        self.quotas = Quotas()
        self.stop_time = StopTime()
        self.peer_address = ""
        self.kv_reachable = True
        self.is_out_of_step = False
        self.config_age_s: float | None = None
        self.max_key_age_s: float | None = None
        self.gateway = self.new_gateway()
        self.callers = CallerConnections()
        self.address = ""

    def freshness(self) -> Freshness:
        """Returns what the entry takes its copy of the configuration for."""
        return Freshness(self.kv_reachable, self.config_age_s, self.max_key_age_s)

    def new_gateway(self) -> Gateway:
        """Returns a gateway that has not read the key-value service yet."""
        context = Context(
            headers.dialect(),
            self.fleet,
            self.pool,
            self.turns,
            self.quarantine,
            self.origins,
            self.transcripts,
            self.quotas,
            self.stop_time,
        )
        return Gateway(context, self.metrics, self.freshness)

    async def listen(self, stack: AsyncExitStack) -> None:
        """Serves callers and other entries until the stack is closed."""
        server = await listen(
            "127.0.0.1:0", self.gateway.handle, self.gateway.limits, self.callers, self.memory
        )
        stack.callback(server.close)
        sweeps = asyncio.create_task(self.memory.run())
        stack.callback(sweeps.cancel)
        ip, port = server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"
        peer_server = await serve_with_datagrams(
            "", self.transcripts.handlers(), self.origins.start
        )
        self.peer_address, self.stop_calls = peer_server.address, peer_server.close
        stack.callback(self.stop_calls)
        stack.callback(self.origins.close)

    def member(self) -> Member:
        """Returns the entry as a process of the deployment."""
        return Member(self.host, self.peer_address, "entry", "", "east", "edin", 1)

    async def send(self, target: str, body: bytes = b"", **named: str) -> Response:
        """Sends a request on a new connection and returns the response."""
        reader, writer = await self.open()
        try:
            write_request(writer, target, body, named)
            return await read_response(reader)
        finally:
            writer.close()

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection to the gateway."""
        ip, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(ip, int(port))


class Deployment(Entry):
    """An entry with three disks and scripted replicas; more entries can be added.

    Args:
        folder: Parent of the disks' data folders.
        replicas: Scripts of the replicas by service and name, such as "llm/a".
        versions: Software versions of replicas by name; "v1" for the others.
        memory_mb: Memory of the entry in megabytes; 0 for no limit.
        slow_readers: Whether the memory of replicas is bounded as well.
        disk_mb: Size of each disk in megabytes; 0 for no limit.
        route: Settings that replace those of the default routes.

    Attributes:
        unlisted: Names of replicas that are not in service discovery.
        draining: Names of replicas that service discovery lists as draining.
        tenants: Fields of the configuration's tenants; None for no such field.
        slots: Requests that one replica runs concurrently.
    """

    def __init__(
        self,
        folder: Path,
        replicas: dict[str, Script],
        versions: Mapping[str, str] | None = None,
        memory_mb: float = 0.0,
        slow_readers: bool = True,
        disk_mb: float = 0.0,
        **route: Any,
    ) -> None:
        super().__init__("entry-0", memory_mb, slow_readers)
        self._folder = folder
        self._disk_mb = disk_mb
        self.replicas = {name: SiteReplica(script) for name, script in replicas.items()}
        self.versions = dict(versions or {})
        self.unlisted: Collection[str] = ()
        self.draining: Collection[str] = ()
        self.tenants: Sequence[Mapping[str, Any]] | None = None
        self.slots = 4
        self.route_changes = route
        self.disks: list[RunningDisk] = []
        self.view: View | None = None
        self._entries: list[Entry] = [self]

    async def __aenter__(self) -> "Deployment":
        self._stack = AsyncExitStack()
        for name in ("d1", "d2", "d3"):
            disk = RunningDisk(name, self._folder / name, disk_mb=self._disk_mb)
            await disk.start()
            self._stack.callback(disk.stop)
            self.disks.append(disk)
        for replica in self.replicas.values():
            await replica.start()
            self._stack.callback(replica.stop)
        self.view = View(1, 1, tuple(disk.disk() for disk in self.disks))
        await self.listen(self._stack)
        self.apply(self.view)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.turns.wait_settled()
        for entry in self._entries:
            entry.pool.close_expired(frozenset())
        await self._stack.aclose()

    async def restart_entry(self) -> None:
        """Serves callers from a new process, which has not read the key-value service yet."""
        self.gateway = self.new_gateway()
        self.origins.close()
        await self.listen(self._stack)

    async def add_entry(self) -> Entry:
        """Starts a further entry with the same replicas and disks."""
        entry = Entry(f"entry-{len(self._entries)}")
        self._entries.append(entry)
        await entry.listen(self._stack)
        self.apply(self.view)
        return entry

    async def replace_entries(self, listed: bool = True) -> list[Entry]:
        """Ends all entries with what they know, and returns new ones under the same names.

        Args:
            listed: Whether the new ones read the key-value service at once.
        """
        ended, self._entries = self._entries, []
        for entry in ended:
            entry.stop_calls()
            entry.origins.close()
            entry.pool.close_expired(frozenset())
        for entry in ended:
            replacement = Entry(entry.host)
            self._entries.append(replacement)
            await replacement.listen(self._stack)
        if listed:
            self.apply(self.view)
        return list(self._entries)

    def apply(self, view: View | None, version: int = 1) -> None:
        """Applies a cluster state with the replicas, a view and a version of the configuration."""
        replicas = {}
        for name, replica in self.replicas.items():
            service, _, label = name.partition("/")
            if label in self.unlisted:
                continue
            draining = label in self.draining
            found = Replica(label, service, replica.address, "edin", "east", self.slots, draining)
            replicas[label] = found._replace(version=self.versions.get(label, "v1"))
        table = routing_table(version, self.route_changes, self.tenants)
        members = {entry.host: entry.member() for entry in self._entries}
        state = ClusterState(version, table, replicas, members, view, 1, frozenset())
        for entry in self._entries:
            if entry.is_out_of_step:
                continue
            entry.gateway.apply_state(state)
            entry.origins.apply_state(state)
        for disk in self.disks:
            disk.disk_store.adopt(view)

    def list_all_except(self, *unlisted: str) -> None:
        """Removes replicas from service discovery, and returns all others to it."""
        self.unlisted = unlisted
        self.apply(self.view)

    async def wait_for_disks(self) -> None:
        """Waits until the disks respond within a second, which takes longer on a busy machine."""
        reservation = Reservation("warm-up", "warm-up", 0, 1.0)
        while not isinstance(await self.turns.reserve(reservation, 1, 1.0), Success):
            await asyncio.sleep(0.1)

    def cut_disks(self) -> None:
        """Makes the gateway's direct calls to disks time out."""
        links = self.turns._quorum.links

        async def time_out(disk: Disk, method: str, *args: Any) -> Result[Any, Failure]:
            await asyncio.sleep(args[-1])
            return Err(Failure(Code.TIMEOUT, method, disk.host, "cut off"))

        links.call_direct = time_out  # type: ignore[method-assign]

    def reconnect_disks(self) -> None:
        """Restores direct calls to disks."""
        del self.turns._quorum.links.call_direct


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Runs a scenario in a new event loop, with a timeout of a minute."""
    try:
        asyncio.run(asyncio.wait_for(scenario(), 60))
    finally:
        # What a test left open would be collected, with an error, while a later one parses sources.
        gc.collect()


def routing_table(
    version: int, changes: dict[str, Any], tenants: Sequence[Mapping[str, Any]] | None = None
) -> RoutingTable:
    """Returns a configuration with one route of each kind."""
    return config.decode(json.dumps(operator_config(version, 4, changes, tenants)).encode())


def responds(body: bytes, status: str = "200 OK", *more: str) -> Script:
    """Returns a script that sends a complete response."""

    async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        writer.write(buffered_response(arrival, body, status, more))
        return True

    return script


def streams(*pieces: str, cut_after: int | None = None) -> Script:
    """Returns a script that streams events, from the one after the request's Last-Event-Id.

    Args:
        pieces: Data of the events, which are numbered from 1.
        cut_after: Number of events after which the first run resets the connection.
    """
    runs = []

    async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        runs.append(arrival)
        after = int(arrival.headers.get("last-event-id", 0))
        writer.write(stream_head(arrival))
        for number, piece in enumerate(pieces, 1):
            if number <= after:
                continue
            if len(runs) == 1 and cut_after is not None and number > cut_after:
                await writer.drain()
                await asyncio.sleep(0.02)
                reset_connection(writer)
                return False
            writer.write(chunk(event(number, piece)))
        writer.write(chunk(b""))
        return True

    return script
