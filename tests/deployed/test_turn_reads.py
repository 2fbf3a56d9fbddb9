"""Reads of stored turns by a process that doesn't have them, and turns that are missing."""

import contextlib
import time
import unittest.mock
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from endiveworks.turns import messages
from endiveworks.turns.disk import apply
from endiveworks.turns.records import Turn
from endiveworks.turns.view import Disk
from endiveworks_daemon.gateway import turn_cache as cache_module
from endiveworks_daemon.gateway.turn_store import TurnStore
from returns.result import Success
from structlog.testing import capture_logs

from tests.deployed.harness import LOCATION, Deployment, run, streams

TIMEOUT_S = 2.0


def stored(name: str, parent: str = "") -> Turn:
    """Returns a turn whose prompt is its name."""
    return Turn(name, parent, name.encode(), b"out\n", 60.0)


def reader_of(deployed: Deployment) -> TurnStore:
    """Returns the turn store of another process, with an empty cache."""
    reader = TurnStore(LOCATION)
    reader.adopt(deployed.view)
    return reader


@contextlib.contextmanager
def counted_fetches(reader: TurnStore) -> Iterator[list[str]]:
    """Collects the hosts whose disks a process asks for turns."""
    hosts: list[str] = []
    links = reader._quorum.links
    call = links.call

    async def counted_call(disk: Disk, method: str, *args: Any) -> Any:
        if method == messages.FETCH:
            hosts.append(disk.host)
        return await call(disk, method, *args)

    with unittest.mock.patch.object(links, "call", counted_call):
        yield hosts


class TestMissingTurns:
    @pytest.fixture
    def events(self) -> Iterator[list[Any]]:
        with capture_logs() as captured:
            yield captured

    def missing(self, events: list[Any]) -> list[Any]:
        return [event for event in events if event["event"] == "turn_missing"]

    def test_an_unknown_turn_is_logged_with_the_disks_that_replied(
        self, tmp_path: Path, events: list[Any]
    ) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                found = await reader_of(deployed).read_chain("acme\nt1", TIMEOUT_S)
                assert found.unwrap() is None
                (event,) = self.missing(events)
                assert (event["tenant"], event["previous_turn"]) == ("acme", "t1")
                assert (event["epoch"], len(event["copies"])) == (1, 2)
                assert event["reason"] == "unknown turn"

        run(scenario)

    def test_a_broken_chain_is_logged_with_the_missing_ancestor(
        self, tmp_path: Path, events: list[Any]
    ) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                for disk in deployed.disks:
                    apply(disk.disk_store.state, stored("t2", "t1"), 0.0)
                found = await reader_of(deployed).read_chain("t2", TIMEOUT_S)
                assert "is missing" in str(found.failure())
                (event,) = self.missing(events)
                assert (event["previous_turn"], event["reason"]) == ("t2", "broken chain")
                assert "'t1'" in event["detail"]

        run(scenario)


class TestFullCache:
    """Turns are pushed out of a reader's cache while their chain is read."""

    @pytest.mark.parametrize("length", [1, 3])
    def test_a_chain_larger_than_the_cache_is_read(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, length: int
    ) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                names = [f"t{number}" for number in range(1, length + 1)]
                for parent, name in zip(["", *names], names, strict=False):
                    turn = stored(name, parent)
                    assert isinstance(await deployed.turns.commit(turn, None, TIMEOUT_S), Success)
                monkeypatch.setattr(cache_module, "MAX_CACHE_BYTES", 3)
                chain = (await reader_of(deployed).read_chain(names[-1], TIMEOUT_S)).unwrap()
                assert chain is not None
                assert [turn.turn for turn in chain] == names

        run(scenario)


class TestShortTurns:
    def test_their_objects_count_for_the_cache(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A cache for 24 MB of prompts and outputs held a million turns of a few bytes."""
        monkeypatch.setattr(cache_module, "MAX_CACHE_BYTES", 10 * cache_module.TURN_OBJECT_BYTES)
        cache = cache_module.TurnCache()
        for number in range(100):
            cache.add(Turn(f"t{number}", "", b"", b"", 60.0))
        assert cache.known_ids() == [f"t{number}" for number in range(90, 100)]


class TestTurnsThatContinueEachOther:
    @pytest.mark.parametrize("length", [1, 3])
    def test_a_chain_without_an_end_is_refused(self, tmp_path: Path, length: int) -> None:
        """An entry followed it without end, until its memory was used up (review/10)."""

        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                names = [f"t{number}" for number in range(length)]
                for name, parent in zip(names, [names[-1], *names], strict=False):
                    for disk in deployed.disks:
                        apply(disk.disk_store.state, stored(name, parent), time.time())
                for reader in (reader_of(deployed), deployed.turns):
                    for _ in range(2):  # From the disks, and from the cache.
                        found = await reader.read_chain(names[-1], TIMEOUT_S)
                        assert "continue each other" in str(found.failure())
                refused = await deployed.send("/turns/x", b"x", Previous_Turn=names[-1])
                assert (refused.status, deployed.replicas["llm/a"].arrivals) == (503, [])

        run(scenario)


class TestReadsAfterARestart:
    """A process that has cached nothing yet, as after a loss of power of all processes."""

    def test_one_disk_sends_a_chain_that_it_holds(self, tmp_path: Path) -> None:
        """Copies from every disk of a quorum filled the link between regions (trouble-2)."""

        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                for disk in deployed.disks:
                    for name, parent in (("t1", ""), ("t2", "t1")):
                        apply(disk.disk_store.state, stored(name, parent), time.time())
                reader = reader_of(deployed)
                with counted_fetches(reader) as hosts:
                    assert (await reader.read_chain("t2", TIMEOUT_S)).unwrap() is not None
                assert len(hosts) == 1

        run(scenario)

    def test_other_disks_are_asked_for_a_turn_that_the_first_one_lacks(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                for disk in deployed.disks[1:]:
                    apply(disk.disk_store.state, stored("t1"), time.time())
                reader = reader_of(deployed)
                with counted_fetches(reader) as hosts:
                    assert await reader.read_chain("t0", TIMEOUT_S) == Success(None)
                assert len(hosts) == 2  # A read quorum.
                assert await reader.read_chain("t1", TIMEOUT_S) == Success((stored("t1"),))

        run(scenario)
