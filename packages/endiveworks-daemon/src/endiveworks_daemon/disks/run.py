"""The disk process: stores turns and ledgers on the disk of its host."""

import asyncio
import random
from collections.abc import Sequence

from endiveworks.gateway.cluster_state import ClusterState
from endiveworks.members.distribution_tree import sources_of_leaf
from endiveworks.telemetry import logs
from endiveworks.telemetry.metrics import Metrics
from returns.result import Success

from .. import rpc
from ..identity import new_incarnation
from ..metrics_page import serve_metrics
from ..platform_adapter import PlatformAdapter, ProcessSettings, own_member
from ..registrar import Registrar
from ..state_watcher import StateWatcher
from ..supervised_task import run_supervised
from .disk_store import handlers, open_disk_store
from .origin_holder import OriginHolder
from .view_manager import DISK_ROLE, ViewManager

COALESCE_S = 0.2  # Replacing a host changes the view several times in quick succession.
FINISH_TIMEOUT_S = 0.5  # A record is synced within milliseconds, or some tenths on a busy disk.
LEASE_S = 2.0  # The replacement of a lost host must be in sync within a few seconds.


async def serve_disk(
    platform: PlatformAdapter, settings: ProcessSettings, stop: asyncio.Event
) -> None:
    """Serves this host's disk until `stop` is set or the disk fails.

    Raises:
        OSError: The disk can't be used.
    """
    if settings.data_dir is None:
        raise OSError("data_dir is not configured")
    metrics = Metrics("", settings.host)
    opened = open_disk_store(
        settings.data_dir, settings.memory_mb, settings.disk_mb, settings.tolerance, metrics
    )
    if not isinstance(opened, Success):
        raise OSError(str(opened.failure()))
    disk_store = opened.unwrap()
    logs.logger("turns").info(
        "disk_opened", amount=len(disk_store.state), path=str(settings.data_dir)
    )
    kv = platform.connect_kv()
    view_manager = ViewManager(
        kv,
        disk_store,
        settings.host,
        settings.region,
        settings.tolerance,
        lambda name: platform.report_emptied(kv, name),
    )

    origins = OriginHolder(disk_store.folder, disk_store.is_new, lambda: disk_store.view)

    def on_state(state: ClusterState) -> None:
        view_manager.on_state(state)
        origins.on_view()

    def find_sources(state: ClusterState) -> Sequence[str]:
        return sources_of_leaf(settings.host, settings.region, state.members.values())

    server = await rpc.serve(settings.peer_address, handlers(disk_store))
    await origins.start(settings.peer_address)
    await serve_metrics(settings.metrics_address, metrics)
    registrar = Registrar(kv, LEASE_S, stop.set, random.Random())
    watcher = StateWatcher(kv, "", platform.decode_state, on_state, COALESCE_S, find_sources)
    watcher.start()
    await asyncio.to_thread(
        registrar.register, own_member(settings, DISK_ROLE, new_incarnation(), disk_store.folder)
    )
    tasks = [
        asyncio.create_task(coro)
        for coro in (
            run_supervised("view", view_manager.run),
            run_supervised("expiry", disk_store.expire_forever),
            stop.wait(),
            disk_store.failed.wait(),
        )
    ]
    # Only a stop request or a disk failure finishes one of these tasks.
    done, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    watcher.stop()
    await server.finish(FINISH_TIMEOUT_S)
    await asyncio.sleep(0)  # Lets the last replies be sent.
    server.close()
    origins.close()
    disk_store.close()
    for task in done:
        task.result()
