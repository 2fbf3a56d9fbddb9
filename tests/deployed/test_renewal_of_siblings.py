"""Renewal of a turn whose previous turn was renewed for another one that continues it."""

import asyncio
import time
from pathlib import Path
from types import SimpleNamespace

import pytest
from endiveworks.turns.disk import expire
from endiveworks.turns.records import Turn, encode
from endiveworks_daemon.disks import disk_store as disk_store_module
from endiveworks_daemon.gateway import chain_renewal
from endiveworks_daemon.gateway.turn_store import TurnStore
from returns.result import Success

from tests.deployed.harness import LOCATION, Deployment, run, streams

TIMEOUT_S = 2.0
RETENTION_S = 120.0


class TestSiblings:
    @pytest.mark.parametrize("lost", [None, 1])
    def test_a_turn_is_renewed_though_its_parent_was_for_a_sibling(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, lost: int | None
    ) -> None:
        now_s = time.time()
        clock = SimpleNamespace(time=lambda: now_s, monotonic=lambda: now_s)
        monkeypatch.setattr(disk_store_module, "time", clock)
        monkeypatch.setattr(chain_renewal, "time", clock)

        async def scenario() -> None:
            nonlocal now_s
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:

                async def persist(name: str, parent: str, *disks: int) -> None:
                    turn = Turn(name, parent, b"in", b"out", RETENTION_S)
                    for index in disks:
                        await deployed.disks[index].disk_store.persist([encode(turn)])

                async def read(entry: TurnStore, name: str) -> None:
                    found = await entry.read_chain(name, TIMEOUT_S)
                    assert isinstance(found, Success), found
                    assert found.unwrap(), name
                    await asyncio.sleep(0.1)

                entry = TurnStore(LOCATION)
                entry.adopt(deployed.view)
                await persist("root", "", 0, 1)
                await persist("child", "root", 0, 1)
                now_s += 115.0
                await read(entry, "root")  # A sibling continues the root and renews it.
                now_s += 3.0
                await read(entry, "child")
                await persist("grandchild", "child", 1, 2)
                now_s += 110.0
                for disk in deployed.disks:
                    expire(disk.disk_store.state, now_s)
                if lost is not None:
                    deployed.disks[lost].stop()
                other = TurnStore(LOCATION)
                other.adopt(deployed.view)
                await read(other, "grandchild")

        run(scenario)
