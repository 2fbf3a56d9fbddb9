"""The process that keeps turns and ledgers on the disk of its host."""

import asyncio
import random

from endiveworks.gateway.picture import Picture
from endiveworks.telemetry import logs
from endiveworks.telemetry.metrics import Metrics
from returns.result import Success

from .. import rpc
from ..feed import Feed
from ..identity import new_incarnation
from ..metrics_page import serve_metrics
from ..presence import Presence
from ..site import Site, SiteSettings, own_member
from .agreement import DISK_ROLE, Agreement
from .host import handlers, open_host

GATHER_S = 0.2  # Several changes of the view follow one another when a host is replaced.
LEASE_S = 2.0  # A replacement of a lost host has to hold everything a few seconds later.


async def serve_disk(site: Site, settings: SiteSettings, stop: asyncio.Event) -> None:
    """Keeps turns until asked to stop or until the disk fails.

    Raises:
        OSError: The disk can't be used.
    """
    if settings.data_dir is None:
        raise OSError("no data folder is configured")
    opened = open_host(settings.data_dir)
    if not isinstance(opened, Success):
        raise OSError(str(opened.failure()))
    host = opened.unwrap()
    logs.logger("turns").info("disk_opened", amount=len(host.state), path=str(settings.data_dir))
    kv = site.connect_kv()
    agreement = Agreement(
        kv,
        host,
        settings.host,
        settings.region,
        settings.tolerance,
        lambda name: site.report_emptied(kv, name),
    )

    def take(picture: Picture) -> None:
        agreement.take(picture)

    server = await rpc.serve(settings.peer_address, handlers(host))
    await serve_metrics(settings.metrics_address, Metrics("", settings.host))
    presence = Presence(kv, LEASE_S, stop.set, random.Random())
    Feed(kv, "", site.read_picture, take, GATHER_S).start()
    await asyncio.to_thread(
        presence.announce, own_member(settings, DISK_ROLE, new_incarnation(), host.folder)
    )
    tasks = [
        asyncio.create_task(work)
        for work in (agreement.run(), host.expire_forever(), stop.wait(), host.failed.wait())
    ]
    # The work never ends by itself, so what ends first is a stop or a defect.
    done, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    server.close()
    host.close()
    for task in done:
        task.result()
