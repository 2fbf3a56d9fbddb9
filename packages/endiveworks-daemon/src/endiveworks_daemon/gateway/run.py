"""Runs an entry: the process that serves callers."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence

from endiveworks.gateway.authentication import Freshness
from endiveworks.gateway.cluster_state import ClusterState
from endiveworks.gateway.explanation import EXPLAIN_PATH
from endiveworks.gateway.memory_budget import max_connections
from endiveworks.gateway.messages import Dialect
from endiveworks.gateway.placement import Location
from endiveworks.gateway.routes import Limits
from endiveworks.members.distribution_tree import roots_of_other_regions, sources_of_entry
from endiveworks.members.member import ENTRY_ROLE
from endiveworks.telemetry import logs
from endiveworks.telemetry.metrics import Metrics

from .. import rpc
from ..metrics_page import serve_metrics
from ..platform_adapter import PlatformAdapter, ProcessSettings, own_member
from ..state_watcher import StateWatcher
from ..supervised_task import run_supervised
from .app import Gateway
from .caller_connections import CallerConnections
from .callers import READ_BYTES, CallerConnection, RawRequest, RequestHandler, Responder
from .context import Context
from .explain import explain_page
from .fleet import Fleet
from .held_memory import CONNECTION_BYTES, HeldMemory
from .load_exchange import BeliefBook, Beliefs, LoadExchange, SharedLoad
from .origin_exchange import OriginExchange
from .overload_report import OverloadReport
from .parse_turns import ParseTurns
from .quarantine import Quarantine
from .quotas import Quotas
from .registration import register_in_background
from .request_reader import BOUNDED_READ_BYTES
from .socket_limit import CALLERS_SHARE, IDLE_UPSTREAM_SHARE, max_sockets
from .sockets import KERNEL_INPUT_BYTES, LISTEN_BACKLOG, listening_socket
from .stop_time import ANSWER_MARGIN_S, StopTime
from .transcripts import Transcripts
from .turn_store import TurnStore
from .upstreams import ConnectionPool

EXPIRY_PERIOD_S = 0.5  # Longest time that replicas and connections are kept after they expire.
# The platform stops sending new connections after two failed readiness checks a second apart.
SHUTDOWN_DELAY_S = 2.5
# Part of the stop timeout that is reserved for the last settlements and log lines.
STOP_MARGIN_S = 1.0
SETTLE_TIMEOUT_S = 0.5  # Settlements take a few milliseconds unless disks are unavailable.
# Few processes of a region watch the key-value service; the others wait for what they pass on.
COALESCE_S = 0.2
# Connections that are accepted before those that are open go on.
ACCEPTED_AT_ONCE = 16


async def serve_callers(
    platform: PlatformAdapter, settings: ProcessSettings, stop: asyncio.Event
) -> None:
    """Serves callers until stop is set, then finishes the requests in flight."""
    location = Location(settings.failure_domain, settings.region)
    metrics = Metrics("", settings.host)
    memory = HeldMemory(settings.memory_mb, metrics)
    fleet, pool, turns = (
        Fleet(location, memory.is_bounded and settings.slow_readers),
        ConnectionPool(memory.is_bounded, _max_idle_upstreams(settings)),
        TurnStore(location),
    )
    latest: list[ClusterState] = []

    def on_state(state: ClusterState) -> None:
        latest[:] = [state]
        gateway.apply_state(state)
        turns.update_relays(state.members.values(), settings.host)
        origins.apply_state(state)
        _number_entries(state, settings.host, loads, quotas, fleet)

    kv = platform.connect_kv()

    def find_sources(state: ClusterState) -> Sequence[str]:
        return sources_of_entry(settings.host, settings.region, state.members.values())

    watcher = StateWatcher(kv, "", platform.decode_state, on_state, COALESCE_S, find_sources)
    origins = OriginExchange(settings.host, watcher.age_s)
    turns.set_on_view(origins.adopt_view)
    quotas = Quotas(settings.quota_terms, metrics)
    context = Context(
        platform.dialect,
        fleet,
        pool,
        turns,
        Quarantine(),
        origins,
        Transcripts(settings.host),
        quotas,
        StopTime(),
    )
    gateway = Gateway(context, metrics, _freshness(watcher, settings.max_key_age_s))
    loads = _exchange_loads(settings, context, watcher.sources, latest, metrics)
    watcher.start()
    callers = _caller_connections(settings, memory)
    server = await listen(settings.callers_address, gateway.handle, gateway.limits, callers, memory)
    await listen(
        settings.readiness_address,
        _readiness_handler(platform.dialect, gateway, callers),
        gateway.limits,
        CallerConnections(),
    )
    await serve_metrics(
        settings.metrics_address, metrics, {EXPLAIN_PATH: explain_page(gateway.explain)}
    )

    handlers = {
        **turns.handlers(),
        **watcher.change_log.handlers(),
        **loads.handlers(),
        **context.transcripts.handlers(),
    }
    close_peers = await _serve_peers(settings.peer_address, handlers, origins)
    register_in_background(kv, own_member(settings, ENTRY_ROLE, 0))
    background = asyncio.gather(
        run_supervised("expiry", lambda: _expire_forever(gateway, fleet, pool, latest)),
        run_supervised("disk-probes", turns.probe_forever),
        run_supervised("loads", loads.run),
        run_supervised("memory", memory.run),
    )
    await stop.wait()
    background.cancel()
    await _shut_down(settings, gateway, callers, server, context.stop)
    try:
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            await turns.wait_settled()
    except TimeoutError:
        logs.logger("turns").warning("settlements_left")
    watcher.stop()
    await close_peers()


def _caller_connections(settings: ProcessSettings, memory: HeldMemory) -> CallerConnections:
    # The kernel takes in up to twice the size of its buffer.
    by_memory = max_connections(memory.bound, CONNECTION_BYTES + 2 * KERNEL_INPUT_BYTES)
    return CallerConnections(min(max_sockets(settings.max_fds) * CALLERS_SHARE, by_memory))


def _max_idle_upstreams(settings: ProcessSettings) -> int:
    return int(max_sockets(settings.max_fds) * IDLE_UPSTREAM_SHARE)


def _freshness(watcher: StateWatcher, max_key_age_s: float | None) -> Callable[[], Freshness]:
    return lambda: Freshness(watcher.is_connected(), watcher.age_s(), max_key_age_s)


def _exchange_loads(
    settings: ProcessSettings,
    context: Context,
    find_sources: Callable[[], Sequence[str]],
    latest: Sequence[ClusterState],
    metrics: Metrics,
) -> LoadExchange:
    """Connects the decisions to the load of other entries; latest holds the newest state."""
    fleet, quarantine, quotas = context.fleet, context.quarantine, context.quotas

    def find_roots() -> Sequence[str]:
        members = latest[0].members.values() if latest else ()
        return roots_of_other_regions(settings.region, members)

    def own_load() -> SharedLoad:
        return SharedLoad(
            fleet.demands(), fleet.limits.rates(), 1, quotas.rates(), fleet.rooms.loads()
        )

    def share() -> Beliefs:
        places = fleet.rooms.gate.places() if fleet.rooms.gate else {}
        return Beliefs(
            fleet.limits.sightings(), quarantine.share(), places, fleet.table.sightings()
        )

    def adopt(beliefs: Beliefs) -> None:
        fleet.table.adopt_limits(beliefs.limits)
        fleet.table.adopt_sightings(beliefs.sightings)
        quarantine.adopt(beliefs.suspicions)
        if fleet.rooms.gate:
            fleet.rooms.gate.adopt_places(beliefs.places)

    beliefs = BeliefBook(share, adopt)
    loads = LoadExchange(settings.host, own_load, find_sources, find_roots, beliefs)
    quarantine.on_crash = loads.hurry
    fleet.set_other_demand(loads.others, loads.age_s)
    fleet.programs.set_store_time(context.turns.store_time_s)
    fleet.limits.set_load(loads.limited_load)
    quotas.set_load(loads.tenant_load)
    if settings.load_shedding:
        fleet.rooms.shed_load(loads.service_load, loads.age_s, OverloadReport(metrics).on_decision)
    return loads


def _number_entries(
    state: ClusterState, host: str, loads: LoadExchange, quotas: Quotas, fleet: Fleet
) -> None:
    """Tells how many entries there are and, in an order on which all agree, which one this is."""
    entries = sorted(m.host for m in state.members.values() if m.role == ENTRY_ROLE)
    loads.expect_entries(len(entries))
    quotas.expect_entries(len(entries))
    if host in entries:
        fleet.rooms.set_entry(entries.index(host), len(entries))


async def _serve_peers(
    address: str, handlers: Mapping[str, rpc.Handler], origins: OriginExchange
) -> Callable[[], Awaitable[None]]:
    """Receives calls and datagrams of other processes, and returns a function that ends this."""
    rpc_server = await rpc.serve(address, handlers)
    await origins.start(address)

    async def close() -> None:
        # Calls to disks that this process relays for others are among them.
        await rpc_server.finish(SETTLE_TIMEOUT_S)
        origins.close()
        rpc_server.close()

    return close


async def listen(
    address: str,
    handle: RequestHandler,
    limits: Callable[[], Limits],
    callers: CallerConnections,
    memory: HeldMemory | None = None,
) -> asyncio.Server:
    """Accepts connections at "ip:port"; raises OSError when the address can't be bound."""
    turns = ParseTurns()

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = CallerConnection(
            reader, writer, handle, limits, lambda: callers.closing, memory, turns
        )
        if not callers.admit(conn):
            conn.refuse()
            return
        try:
            await conn.run()
        finally:
            callers.remove(conn)

    is_bounded = memory is not None and memory.is_bounded
    sock = listening_socket(address, KERNEL_INPUT_BYTES if is_bounded else None)
    # Twice this is buffered of a caller while nothing is read.
    limit = BOUNDED_READ_BYTES // 2 if is_bounded else READ_BYTES
    # asyncio accepts as many connections at once as its backlog has.
    server = await asyncio.start_server(
        on_connection, sock=sock, backlog=ACCEPTED_AT_ONCE, limit=limit
    )
    sock.listen(LISTEN_BACKLOG)
    return server


def _readiness_handler(
    dialect: Dialect, gateway: Gateway, callers: CallerConnections
) -> RequestHandler:
    state = {"ready": False}

    async def handle(received: RawRequest, responder: Responder) -> None:
        ready = gateway.is_ready() and not callers.closing
        if ready is not state["ready"]:
            logs.logger("gateway").info("readiness_changed", state="ready" if ready else "not")
            state["ready"] = ready
        is_readiness = received.target.partition("?")[0] == dialect.readiness_path
        await responder.respond(404 if not is_readiness else 200 if ready else 503, [], b"")

    return handle


async def _expire_forever(
    gateway: Gateway, fleet: Fleet, pool: ConnectionPool, latest: list[ClusterState]
) -> None:
    """Removes replicas that have left and idle connections that are too old."""
    while True:
        await asyncio.sleep(EXPIRY_PERIOD_S)
        if latest:
            gateway.apply_state(latest[0])
        pool.close_expired(fleet.table.ids())


async def _shut_down(
    settings: ProcessSettings,
    gateway: Gateway,
    callers: CallerConnections,
    server: asyncio.Server,
    stop_time: StopTime,
) -> None:
    """Accepts connections until the platform sends no more, then finishes requests in flight."""
    callers.closing = True
    left_s = settings.stop_timeout_s - STOP_MARGIN_S
    end_s = time.monotonic() + left_s
    stop_time.begin(left_s)
    await asyncio.sleep(SHUTDOWN_DELAY_S)
    server.close()
    while time.monotonic() < end_s:
        if time.monotonic() >= end_s - ANSWER_MARGIN_S:
            for conn in list(callers.open):
                conn.stop_receiving()
        for conn in list(callers.open):
            conn.close_if_idle()
        if not gateway.in_flight and not callers.open:
            return
        await asyncio.sleep(0.02)
    logs.logger("gateway").warning("requests_cut", running=gateway.in_flight)
