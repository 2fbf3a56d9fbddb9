"""A joining disk that can't read from the others, though its host reaches the key-value service."""

from types import SimpleNamespace
from typing import Any

import pytest
from endiveworks.errors import Code, Failure
from endiveworks.gateway.cluster_state import ClusterState
from endiveworks.kvservice.kv import Swap
from endiveworks.members.member import Member
from endiveworks.turns.view import Disk, View, decode
from endiveworks_daemon.disks import view_manager as manager_module
from endiveworks_daemon.disks.view_manager import SYNC_STALLED_S, ViewManager
from returns.result import Failure as Err
from returns.result import Result

from tests.deployed.harness import run

DISKS = tuple(Disk(f"h{n}", f"f{n}", f"127.0.0.1:{n + 1}", "a", "east") for n in range(4))
JOINT = View(2, 1, DISKS[:3], (*DISKS[1:3], DISKS[3]))


class FakeDiskStore:
    """The disk of the host that joins; its number of turns tells how far it has come."""

    folder = "f3"
    last_store_s = 0.0

    def __init__(self) -> None:
        self.state: list[str] = []

    def adopt(self, view: View | None) -> None:
        """Ignores the view."""


class FakeKv:
    """Collects proposals."""

    def __init__(self) -> None:
        self.swaps: list[Swap] = []

    def swap(self, swap: Swap) -> Result[Any, Failure]:
        self.swaps.append(swap)
        return Err(Failure(Code.UNREACHABLE, "kv.swap", "", "not connected"))


class TestStalledSync:
    @pytest.fixture
    def clock(self, monkeypatch: pytest.MonkeyPatch) -> list[float]:
        now_s = [1000.0]
        monkeypatch.setattr(manager_module, "time", SimpleNamespace(monotonic=lambda: now_s[0]))
        return now_s

    def manager(self, monkeypatch: pytest.MonkeyPatch, reads_turns: bool) -> ViewManager:
        store: Any = FakeDiskStore()

        async def catch_up(*_: object) -> bool:
            store.state += ["t"] * reads_turns
            return False

        monkeypatch.setattr(manager_module, "catch_up", catch_up)
        self.kv: Any = FakeKv()
        return ViewManager(self.kv, store, "h3", "east", 1, lambda _: True)

    def proposals(self, manager: ViewManager, clock: list[float], times: int) -> list[View]:
        """Returns what is proposed while a second passes some times."""
        members = {
            d.host: Member(d.host, d.address, "disk", "", "east", "a", 1, folder=d.folder)
            for d in DISKS
        }
        state = ClusterState(9, None, {}, members, JOINT, 8, frozenset())

        async def scenario() -> None:
            manager.on_state(state)
            for _ in range(times):
                await manager._step(state)
                clock[0] += 1.0

        run(scenario)
        return [decode(swap.value) for swap in self.kv.swaps]

    def test_the_change_is_undone_so_that_another_disk_can_join(
        self, monkeypatch: pytest.MonkeyPatch, clock: list[float]
    ) -> None:
        manager = self.manager(monkeypatch, reads_turns=False)
        assert self.proposals(manager, clock, int(SYNC_STALLED_S) - 1) == []
        undone, *_ = self.proposals(manager, clock, 3)
        assert undone == View(3, 1, DISKS[:3])

    def test_a_slow_synchronization_is_not_given_up(
        self, monkeypatch: pytest.MonkeyPatch, clock: list[float]
    ) -> None:
        manager = self.manager(monkeypatch, reads_turns=True)
        assert self.proposals(manager, clock, 4 * int(SYNC_STALLED_S)) == []
