"""What a process knows of the key-value service while watches fail."""

import asyncio
import json
from typing import Any

from endiveworks.gateway.picture import Picture
from endiveworks_daemon.feed import Feed
from endiveworks_site import picture, store
from endiveworks_standins.site_store import Faults, SiteStore, running_store

from tests.deployed.harness import run

PATIENCE_S = 5.0


def put_config(site: SiteStore, version: int) -> None:
    fields: dict[str, Any] = {"version": version, "routes": [], "services": []}
    site.put("op/config", json.dumps(fields).encode())


class TestCutWatches:
    def test_a_watch_that_hears_nothing_after_a_cut_hides_no_change(self) -> None:
        """Found by hunts: one process of many had the old configuration for 5 s."""

        async def scenario() -> None:
            with running_store() as site:
                put_config(site, 1)
                pictures: list[Picture] = []
                Feed(
                    store.connect(site.address), "", picture.reader({}), pictures.append, 0.1
                ).start()
                await _wait_for_version(pictures, 1)
                await asyncio.sleep(0.5)
                site.faults = Faults(deaf=True)
                site.cut_watches()
                put_config(site, 2)
                await _wait_for_version(pictures, 2)

        run(scenario)


async def _wait_for_version(pictures: list[Picture], version: int) -> None:
    async with asyncio.timeout(PATIENCE_S):
        while not any(p.table and p.table.version == version for p in pictures):
            await asyncio.sleep(0.02)
