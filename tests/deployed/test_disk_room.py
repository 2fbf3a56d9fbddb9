"""What callers get while the disks have too little room, and what a disk keeps."""

import asyncio
import errno
import random
from pathlib import Path
from typing import Any

import pytest
from endiveworks.gateway.names import MAX_NAME_CHARS
from endiveworks.journal import segments
from endiveworks.turns.disk import chain_of, expire, renew, spending_of
from endiveworks.turns.records import Settlement, Turn, decode, encode
from endiveworks.turns.room import MAX_WAIT_S, RoomRequest
from endiveworks_daemon import rpc
from endiveworks_daemon.disks import disk_records as records_module
from endiveworks_daemon.disks import disk_store as disk_store_module
from endiveworks_daemon.disks.catch_up import catch_up
from endiveworks_daemon.gateway import stream as stream_module
from endiveworks_daemon.gateway.turn_room import RETURN_SPREAD
from endiveworks_daemon.gateway.turn_store import AMPLE_SHARE, ROOM_TOLD_S

from tests.deployed.harness import TURN, Deployment, RunningDisk, run, streams
from tests.deployed.test_streams import PROGRAM, turn

DISK_MB = 20.0
SMALL_DISK_MB = 16.0
LONG = b"l" * 600_000
SHORT = b"s" * 1_000
RETENTION_S = 60.0


def deploy(tmp_path: Path) -> Deployment:
    return Deployment(tmp_path, {"llm/a": streams("x")}, disk_mb=DISK_MB, timeout_ms=10_000)


async def fill(deployed: Deployment, **named: str) -> list[str]:
    """Sends long first turns until one is refused; returns the ids of those that were answered."""
    answered: list[str] = []
    for number in range(100):
        reply = await deployed.send(TURN, LONG, **turn(f"l{number}"), **named)
        if reply.status != 200:
            assert reply.status == 503
            assert 0 < float(reply.headers["retry-after"]) <= MAX_WAIT_S * (1 + RETURN_SPREAD)
            return answered
        assert reply.complete
        answered.append(f"l{number}")
    raise AssertionError("no turn was refused")


class TestRefusals:
    """Disks kept every turn in memory until their processes were killed for it (review/7)."""

    @pytest.mark.parametrize(
        "named",
        [{}, PROGRAM, PROGRAM | {"Token_Budget": "100000"}],
        ids=["without a budget", "with a short budget", "with an ample budget"],
    )
    def test_a_turn_without_room_is_refused_before_a_replica_runs_it(
        self, tmp_path: Path, named: dict[str, str]
    ) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployed:
                answered = await fill(deployed, **named)
                assert answered
                assert len(deployed.replicas["llm/a"].arrivals) == len(answered)

        run(scenario)

    def test_ordinary_turns_and_those_that_continue_kept_ones_are_served(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployed:
                for previous in await fill(deployed):
                    named = turn(f"after-{previous}", previous)
                    assert (await deployed.send(TURN, b"small", **named)).complete
                    arrival = deployed.replicas["llm/a"].arrivals[-1]
                    assert arrival.body == LONG + b"x\n" + b"small"
                assert (await deployed.send(TURN, b"first", **turn("s"))).complete

        run(scenario)

    def test_a_refused_turn_leaves_nothing_on_the_disks(self, tmp_path: Path) -> None:
        """Else clients that are refused fill the memory with ledgers."""

        async def scenario() -> None:
            async with deploy(tmp_path) as deployed:
                await fill(deployed)
                before = [disk.disk_store.state.memory_bytes for disk in deployed.disks]
                for number in range(5):
                    named = turn(f"r{number}") | PROGRAM | {"Program_Id": f"r{number}"}
                    assert (await deployed.send(TURN, LONG, **named)).status == 503
                await deployed.turns.wait_settled()
                after = [disk.disk_store.state.memory_bytes for disk in deployed.disks]
                assert after == before

        run(scenario)

    def test_turns_are_served_again_when_others_have_expired(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployed:
                assert await fill(deployed)
                assert (await deployed.send(TURN, LONG, **turn("refused"))).status == 503
                for disk in deployed.disks:
                    for stored in disk.disk_store.state.turns.values():
                        stored.expires_s = 0.0
                    expire(disk.disk_store.state, 1.0)
                    assert len(disk.disk_store.state) == 0
                for number in range(2):
                    again = turn(f"again{number}")
                    assert (await deployed.send(TURN, LONG, **again)).complete

        run(scenario)


class TestAmpleRoom:
    """While disks are lost or replaced, turns waited for a reservation that crossed regions."""

    def test_one_disk_that_has_told_of_its_room_is_enough(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployed:
                assert not deployed.turns.has_ample_room(len(SHORT))
                assert (await deployed.send(TURN, SHORT, **turn("t1"))).complete
                told = deployed.turns._told_rooms
                for folder in list(told)[1:]:
                    del told[folder]
                assert deployed.turns.has_ample_room(len(SHORT))
                assert not deployed.turns.has_ample_room(len(LONG))

        run(scenario)

    def test_none_may_be_short_of_room_and_none_counts_for_long(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployed:
                assert (await deployed.send(TURN, SHORT, **turn("t1"))).complete
                told = deployed.turns._told_rooms
                folder, known = next(iter(told.items()))
                told[folder] = known._replace(used_share=AMPLE_SHARE + 0.1)
                assert not deployed.turns.has_ample_room(len(SHORT))
                told[folder] = known
                assert deployed.turns.has_ample_room(len(SHORT))
                for folder, known in told.items():
                    told[folder] = known._replace(at_s=known.at_s - ROOM_TOLD_S)
                assert not deployed.turns.has_ample_room(len(SHORT))

        run(scenario)


class TestKeptTurns:
    def test_all_go_on_after_all_disks_were_killed(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path) as deployed:
                answered = await fill(deployed)
                for disk in deployed.disks:
                    await disk.restart()
                    disk.disk_store.adopt(deployed.view)
                await deployed.wait_for_disks()
                (entry,) = await deployed.replace_entries()
                for previous in answered:
                    reply = await entry.send(TURN, b"s", **turn(f"after-{previous}", previous))
                    assert reply.complete
                    assert deployed.replicas["llm/a"].arrivals[-1].body == LONG + b"x\ns"

        run(scenario)

    def test_a_disk_that_joins_has_room_for_all(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deploy(tmp_path / "site") as deployed:
                answered = await fill(deployed)
                joining = RunningDisk("d4", tmp_path / "d4", disk_mb=DISK_MB)
                assert deployed.view is not None
                assert await catch_up(joining.disk_store, deployed.view, "east")
                assert joining.disk_store.state.turns.keys() >= set(answered)
                joining.stop()

        run(scenario)

    def test_a_disk_does_not_join_with_more_than_it_can_keep(self, tmp_path: Path) -> None:
        """Else its process ends for want of memory, or its disk is full."""

        async def scenario() -> None:
            async with deploy(tmp_path / "site") as deployed:
                await fill(deployed)
                joining = RunningDisk("d4", tmp_path / "d4", disk_mb=2.0)
                assert not await catch_up(joining.disk_store, deployed.view, "east")
                assert joining.disk_store.state.log_bytes < 2_000_000
                joining.stop()

        run(scenario)


def record_of(number: int, size: int = 10) -> bytes:
    return encode(Turn(f"t{number}", "", f"{number}".encode() * size, b"out\n", RETENTION_S))


class TestLog:
    """What a disk's files hold beside what is needed."""

    @pytest.fixture(autouse=True)
    def _small(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(records_module, "SPARE_LOG_BYTES", 2_000)
        monkeypatch.setattr(records_module, "SPARE_RECORDS", 20)
        monkeypatch.setattr(records_module, "REWRITE_BYTES", 500)

    def test_old_records_are_written_again_and_survive_a_restart(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            disk = RunningDisk("d1", tmp_path)
            kept = [record_of(number) for number in range(5)]
            await disk.disk_store.persist([*kept, encode(Settlement("p", "t1", 7, RETENTION_S))])
            for number in range(100, 400):
                await disk.disk_store.persist([record_of(number)])
            state = disk.disk_store.state
            for name, stored in state.turns.items():
                stored.expires_s = 1e12 if len(name) == 2 else 0.0
            expire(state, 1.0)
            await disk.disk_store._records.discard_garbage()
            assert disk.disk_store._records.log.record_bytes() < 10_000
            for _ in range(2):
                state = disk.disk_store.state
                assert sorted(state.turns) == ["t0", "t1", "t2", "t3", "t4"]
                for data in kept:
                    expected = decode(data)
                    assert isinstance(expected, Turn)
                    (stored,) = chain_of(state, expected.turn)
                    assert stored.record is None
                    assert decode(bytes(disk.disk_store._records.read(stored))) == expected
                assert [s.tokens for s in spending_of(state, "p")] == [7]
                disk.disk_store.close()
                disk.disk_store = RunningDisk("d1", tmp_path).disk_store
            disk.disk_store.close()

        run(scenario)


class TestSize:
    @pytest.mark.parametrize("seed", range(3))
    def test_the_files_fit_on_the_disk_whatever_is_kept(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
    ) -> None:
        """Turns of all sizes come as fast as they are admitted; some chains are renewed."""
        rng = random.Random(seed)
        now = {"s": 1_000_000.0}
        monkeypatch.setattr(disk_store_module.time, "time", lambda: now["s"])

        async def scenario() -> None:
            disk = RunningDisk("d1", tmp_path, disk_mb=SMALL_DISK_MB)
            await disk.start()
            refused = 0
            for number in range(1500):
                now["s"] += 0.5
                store = disk.disk_store
                size = int(10 ** rng.uniform(2, 5.3))
                req = RoomRequest(f"t{number}", size, "", True, False, 5.0)
                if store.room.request(req, now["s"]):
                    refused += 1
                else:
                    body = rng.randbytes(size)
                    await store.persist([encode(Turn(req.turn, "", body, b"", RETENTION_S))])
                renew(store.state, [f"t{kept}" for kept in range(0, number, 7)], now["s"])
                expire(store.state, now["s"])
                await store._records.discard_garbage()
                assert store._records.log.used_bytes() <= SMALL_DISK_MB * 1e6
                if number % 400 == 399:
                    await disk.restart()
            assert refused
            disk.stop()

        run(scenario)


class TestFullDisk:
    def test_a_write_that_finds_no_room_does_not_end_the_process(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The process ended, and the others took over what it had kept."""
        write_all: Any = segments.write_all
        is_full = {"now": False}

        def write(*args: Any) -> None:
            if is_full["now"]:
                raise segments.WriteError(errno.ENOSPC, "No space left on device")
            write_all(*args)

        monkeypatch.setattr(segments, "write_all", write)

        async def scenario() -> None:
            disk = RunningDisk("d1", tmp_path)
            store = disk.disk_store
            await store.persist([record_of(1)])
            is_full["now"] = True
            failures = await asyncio.gather(
                *(store.persist([record_of(number)]) for number in (2, 3)), return_exceptions=True
            )
            assert all(isinstance(failure, OSError) for failure in failures)
            assert not store.failed.is_set()
            # A repeated record isn't on disk either.
            with pytest.raises(OSError):
                await store.persist([record_of(2)])
            (stored,) = chain_of(store.state, "t1")
            assert store._records.read(stored) == record_of(1)
            is_full["now"] = False
            await store._records.discard_garbage()
            await store.persist([record_of(2), record_of(4)])
            store.close()
            reopened = RunningDisk("d1", tmp_path).disk_store
            assert sorted(reopened.state.turns) == ["t1", "t2", "t3", "t4"]
            for number in (1, 2, 3, 4):
                (stored,) = chain_of(reopened.state, f"t{number}")
                assert reopened._records.read(stored) == record_of(number)
            reopened.close()

        run(scenario)

    def test_damaged_files_that_take_much_of_the_disk_are_removed(self, tmp_path: Path) -> None:
        """Each repair of a folder kept a copy of it on the same disk."""
        aside = tmp_path / "damaged-1"
        aside.mkdir(parents=True)
        (aside / "000000000001.wal").write_bytes(b"x" * 600_000)
        kept = RunningDisk("d1", tmp_path, disk_mb=20.0).disk_store
        limit = kept.room.limits.log_bytes
        kept.close()
        assert aside.exists()
        small = RunningDisk("d1", tmp_path, disk_mb=2.0).disk_store
        small.close()
        assert not aside.exists()
        assert RunningDisk("d1", tmp_path, disk_mb=20.0).disk_store.room.limits.log_bytes > limit


class TestLongestTurns:
    @pytest.mark.parametrize("is_output", [False, True], ids=["prompt", "output"])
    def test_a_turn_longer_than_a_message_closes_no_connection(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, is_output: bool
    ) -> None:
        """The disks closed the connection to the entry, at each attempt to store it."""
        monkeypatch.setattr(stream_module, "MAX_TURN_BYTES", 10_000)
        monkeypatch.setattr(rpc, "MAX_FRAME_BYTES", 12_000)
        long = "y" * 20_000

        async def scenario() -> None:
            output = long if is_output else "x"
            async with Deployment(tmp_path, {"llm/a": streams(output)}) as deployed:
                reply = await deployed.send(TURN, b"x" if is_output else long.encode())
                assert (reply.status, reply.complete) == (
                    (200, False) if is_output else (413, True)
                )
                assert len(deployed.replicas["llm/a"].arrivals) == int(is_output)
                assert deployed.turns.is_reachable()
                assert not deployed.turns._quorum._suspected_until_s

        run(scenario)


class TestLongNames:
    def test_a_turn_with_a_long_id_is_kept_under_a_short_one(self, tmp_path: Path) -> None:
        """Ids of up to 16 kB took memory on the disks for as long as their turns were kept."""

        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                long_id, program = "i" * 8_000, "p" * 6_000
                named = PROGRAM | {"Program_Id": program}
                reply = await deployed.send(TURN, b"one", **turn(long_id, **named))
                assert (reply.complete, reply.headers["request-id"]) == (True, long_id)
                assert deployed.replicas["llm/a"].arrivals[-1].headers["request-id"] == long_id
                reply = await deployed.send(TURN, b"two", **turn("t2", long_id, **named))
                assert reply.complete
                assert deployed.replicas["llm/a"].arrivals[-1].body == b"onex\ntwo"
                for disk in deployed.disks:
                    state = disk.disk_store.state
                    names = [*state.turns, *state.programs]
                    assert max(map(len, names), default=0) <= MAX_NAME_CHARS

        run(scenario)
