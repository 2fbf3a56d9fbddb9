"""Expiry of chains whose turns are stored on different disks."""

import asyncio
import time
from pathlib import Path
from types import SimpleNamespace

import pytest
from endiveworks.turns.disk import DiskState, expire
from endiveworks.turns.records import Turn, encode
from endiveworks_daemon.disks import disk_store as disk_store_module
from endiveworks_daemon.gateway.turn_store import TurnStore

from tests.deployed.harness import LOCATION, Deployment, run, streams

TIMEOUT_S = 2.0
RETENTION_S = 60.0
STEP_S = 50.0  # Time between two turns; less than their retention time.


class TestChainsWithGaps:
    @pytest.mark.parametrize("lost", [None, 0, 1, 2])
    def test_no_ancestor_expires_while_a_chain_is_continued(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, lost: int | None
    ) -> None:
        """A disk that lacks a turn didn't extend the retention of those before it."""
        now_s = time.time()
        clock = SimpleNamespace(time=lambda: now_s, monotonic=time.monotonic)
        monkeypatch.setattr(disk_store_module, "time", clock)

        async def scenario() -> None:
            nonlocal now_s
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                pairs = [(0, 1), (1, 2), (0, 2), (0, 2), (0, 2), (0, 2)]
                for number, pair in enumerate(pairs):
                    if number:
                        chain = await self.read(deployed, number)
                        assert chain == [f"t{before}" for before in range(1, number + 1)]
                    parent = f"t{number}" if number else ""
                    turn = Turn(f"t{number + 1}", parent, b"in", b"out", RETENTION_S)
                    for index in pair:
                        await deployed.disks[index].disk_store.persist([encode(turn)])
                    now_s += STEP_S
                    for disk in deployed.disks:
                        expire(disk.disk_store.state, now_s)
                if lost is not None:
                    deployed.disks[lost].stop()
                assert len(await self.read(deployed, len(pairs))) == len(pairs)

        run(scenario)

    async def read(self, deployed: Deployment, number: int) -> list[str]:
        """Reads a chain as an entry that has cached nothing, until it has told the disks."""
        reader = TurnStore(LOCATION)
        reader.adopt(deployed.view)
        chain = (await reader.read_chain(f"t{number}", TIMEOUT_S)).unwrap()
        await asyncio.sleep(0.1)
        return [turn.turn for turn in chain or ()]


class TestRenewals:
    @pytest.fixture
    def renewals(self, monkeypatch: pytest.MonkeyPatch) -> list[list[str]]:
        """Returns the chains that disks are told to renew, once for each disk."""
        renewed: list[list[str]] = []

        def renew(_state: DiskState, turns: list[str], _now_s: float) -> None:
            if turns:
                renewed.append(turns)

        monkeypatch.setattr(disk_store_module, "renew", renew)
        return renewed

    def test_a_chain_is_renewed_once_within_the_period(
        self, tmp_path: Path, renewals: list[list[str]]
    ) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                turns = [
                    Turn(f"t{number}", parent, b"in", b"out", RETENTION_S)
                    for number, parent in enumerate(["", "t1", "t2"], 1)
                ]
                for turn in turns[:2]:
                    (await deployed.turns.commit(turn, None, TIMEOUT_S)).unwrap()
                reader = TurnStore(LOCATION)
                reader.adopt(deployed.view)
                for name in ("t2", "t2", "t3"):
                    if name == "t3":
                        (await reader.commit(turns[2], None, TIMEOUT_S)).unwrap()
                    assert (await reader.read_chain(name, TIMEOUT_S)).unwrap()
                    await asyncio.sleep(0.1)
                assert renewals == [["t1", "t2"]] * len(deployed.disks)

        run(scenario)

    def test_a_process_renews_no_chain_that_it_has_just_begun(
        self, tmp_path: Path, renewals: list[list[str]]
    ) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                turn = Turn("t1", "", b"in", b"out", RETENTION_S)
                (await deployed.turns.commit(turn, None, TIMEOUT_S)).unwrap()
                assert (await deployed.turns.read_chain("t1", TIMEOUT_S)).unwrap()
                await asyncio.sleep(0.1)
                assert renewals == []

        run(scenario)
