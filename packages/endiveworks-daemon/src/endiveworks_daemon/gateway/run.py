"""The process that serves callers."""

import asyncio
import time
from collections.abc import Callable

from endiveworks.gateway.messages import Dialect
from endiveworks.gateway.picture import Picture
from endiveworks.gateway.placement import Place
from endiveworks.gateway.routes import Limits
from endiveworks.telemetry import logs
from endiveworks.telemetry.metrics import Metrics

from .. import rpc
from ..feed import Feed
from ..metrics_page import serve_metrics
from ..site import Site, SiteSettings, own_member
from .app import Gateway
from .callers import CallerConnection, Handle, Received, Responder
from .exchange import Context
from .fleet import Fleet
from .listing import list_in_background
from .sockets import ACCEPT_QUEUE
from .turn_store import ENTRY_ROLE, TurnStore
from .upstreams import ConnectionPool

SWEEP_PERIOD_S = 0.5  # Replicas and connections are let go of so much later at most.
# The platform sends no new connections once it has asked twice, a second apart.
LINGER_S = 2.5
# Part of the time for a stop that is left for the last settlements and logs.
STOP_MARGIN_S = 1.0
SETTLE_S = 0.5  # Settlements take a few milliseconds unless disks are away.
GATHER_S = 0.8  # A third of the time in which a configuration has to be in force.


class Callers:
    """Open connections of callers, and whether the process is leaving."""

    def __init__(self) -> None:
        self.open: set[CallerConnection] = set()
        self.closing = False


async def serve_callers(site: Site, settings: SiteSettings, stop: asyncio.Event) -> None:
    """Serves callers until asked to stop, then ends what is under way."""
    place = Place(settings.failure_domain, settings.region)
    fleet, pool, turns = Fleet(place), ConnectionPool(), TurnStore(place)
    metrics = Metrics("", settings.host)
    pictures: list[Picture] = []

    def take(picture: Picture) -> None:
        pictures[:] = [picture]
        gateway.take(picture)
        turns.follow(picture.members.values(), settings.host)

    kv = site.connect_kv()
    feed = Feed(kv, "", site.read_picture, take, GATHER_S)
    context = Context(site.dialect, fleet, pool, turns)
    gateway = Gateway(context, metrics, feed.is_in_touch)
    feed.start()
    callers = Callers()
    front = await listen(settings.callers_address, gateway.handle, gateway.limits, callers)
    probes = Callers()
    readiness = _readiness(site.dialect, gateway, callers)
    await listen(settings.readiness_address, readiness, gateway.limits, probes)
    await serve_metrics(settings.metrics_address, metrics)
    peers = await rpc.serve(settings.peer_address, turns.handlers())
    list_in_background(kv, own_member(settings, ENTRY_ROLE, 0))
    sweeping = asyncio.create_task(_sweep(gateway, fleet, pool, pictures))
    probing = asyncio.create_task(turns.probe_forever())
    await stop.wait()
    sweeping.cancel()
    probing.cancel()
    await _leave(settings, gateway, callers, front)
    try:
        async with asyncio.timeout(SETTLE_S):
            await turns.settled()
    except TimeoutError:
        logs.logger("turns").warning("settlements_left")
    peers.close()


async def listen(
    address: str, handle: Handle, limits: Callable[[], Limits], callers: Callers
) -> asyncio.Server:
    """Accepts callers at "ip:port"; raises OSError when the address can't be bound."""

    async def accepted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = CallerConnection(reader, writer, handle, limits, lambda: callers.closing)
        callers.open.add(conn)
        try:
            await conn.run()
        finally:
            callers.open.discard(conn)

    ip, _, port = address.rpartition(":")
    return await asyncio.start_server(accepted, ip, int(port), backlog=ACCEPT_QUEUE)


def _readiness(dialect: Dialect, gateway: Gateway, callers: Callers) -> Handle:
    state = {"ready": False}

    async def handle(received: Received, responder: Responder) -> None:
        ready = gateway.is_ready() and not callers.closing
        if ready is not state["ready"]:
            logs.logger("gateway").info("readiness_changed", state="ready" if ready else "not")
            state["ready"] = ready
        known = received.target.partition("?")[0] == dialect.readiness_path
        await responder.answer(404 if not known else 200 if ready else 503, [], b"")

    return handle


async def _sweep(
    gateway: Gateway, fleet: Fleet, pool: ConnectionPool, pictures: list[Picture]
) -> None:
    """Lets go of replicas that left and of connections that are too old."""
    while True:
        await asyncio.sleep(SWEEP_PERIOD_S)
        if pictures:
            gateway.take(pictures[0])
        pool.sweep(fleet.ids())


async def _leave(
    settings: SiteSettings, gateway: Gateway, callers: Callers, front: asyncio.Server
) -> None:
    """Takes new connections until the platform has noticed, then finishes what is under way."""
    callers.closing = True
    end_s = time.monotonic() + settings.stop_s - STOP_MARGIN_S
    await asyncio.sleep(LINGER_S)
    front.close()
    while time.monotonic() < end_s:
        for conn in list(callers.open):
            conn.close_if_idle()
        if not gateway.under_way and not callers.open:
            return
        await asyncio.sleep(0.02)
    logs.logger("gateway").warning("requests_cut", running=gateway.under_way)
