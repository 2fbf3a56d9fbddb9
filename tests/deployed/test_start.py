"""Start of the process that serves callers."""

import asyncio
import contextlib
import json
from typing import Any

import pytest
from endiveworks_daemon.gateway import run as run_module
from endiveworks_daemon.platform_adapter import PlatformAdapter, ProcessSettings
from endiveworks_site import cluster_state, headers, store
from endiveworks_standins.site_store import running_store

from tests.deployed.harness import run

ANY = "127.0.0.1:0"


class TestStateDuringTheStart:
    def test_a_state_that_arrives_before_all_servers_listen_is_applied(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def slow_metrics(*_: object) -> None:
            await asyncio.sleep(0.5)

        async def scenario() -> None:
            errors: list[dict[str, Any]] = []
            asyncio.get_running_loop().set_exception_handler(lambda _, found: errors.append(found))
            with running_store() as site:
                config = {"version": 1, "routes": [], "services": []}
                site.put("op/config", json.dumps(config).encode())
                platform = PlatformAdapter(
                    lambda: settings,
                    headers.dialect(),
                    lambda: store.connect(site.address),
                    cluster_state.decoder({}),
                    lambda *_: True,
                )
                settings = ProcessSettings(
                    "e1", "east", "edin", ANY, ANY, ANY, ANY, ANY, None, 1, 1.0
                )
                serving = run_module.serve_callers(platform, settings, asyncio.Event())
                task = asyncio.create_task(serving)
                await asyncio.sleep(1.5)
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
            assert errors == []

        monkeypatch.setattr(run_module, "serve_metrics", slow_metrics)
        run(scenario)
