from types import SimpleNamespace
from typing import Any

import pytest
from endiveworks.errors import Code, Failure
from endiveworks.kvservice.kv import KeyValue, Kv, Snapshot, SwapResult
from endiveworks.members.member import Member
from endiveworks.ownership.deployment_info import ensure_deployment_info
from endiveworks.ownership.record import (
    OwnerId,
    PartitionRecord,
    decode_record,
    encode_record,
    partition_key,
)
from endiveworks_daemon import partition_timers
from endiveworks_daemon.partitions import PartitionDeps, Partitions
from endiveworks_daemon.suspects import Suspects
from endiveworks_standins.fleet import wait_until
from returns.result import Failure as Err
from returns.result import Success

ME = Member("me", "", "entry", "", "r", "d", 1)
DEAD = OwnerId("dead", 2)
PARTITIONS = 8
ROUNDS = 20


class UnavailableKv:
    """A key-value service that is down, with a table that was read before the outage."""

    def __init__(self) -> None:
        self.calls = 0
        self.entries: dict[str, KeyValue] = {}
        ensure_deployment_info(self.kv(is_down=False), PARTITIONS).unwrap()
        for partition in range(PARTITIONS):
            key = partition_key(partition)
            record = PartitionRecord(partition, DEAD, 1, (), 1)
            self.entries[key] = KeyValue(key, encode_record(record), 1)

    def kv(self, is_down: bool = True) -> Kv:
        def swap(wanted: Any) -> Any:
            if is_down:
                return self.fail()
            self.entries[wanted.key] = KeyValue(wanted.key, wanted.value, 1)
            return Success(None)

        def read(key: str) -> Any:
            if is_down and key.startswith("/endiveworks/partitions/"):
                return self.fail()
            return Success(self.entries.get(key))

        def read_prefix(prefix: str) -> Any:
            found = [entry for key, entry in self.entries.items() if key.startswith(prefix)]
            return Success(Snapshot(1, tuple(found)))

        return Kv(read, read_prefix, swap, None, None, lambda *args: self.fail())  # type: ignore[arg-type]

    def fail(self) -> Any:
        self.calls += 1
        return Err(Failure(Code.UNREACHABLE, "kv", "", "down"))


class TableKv:
    """A table in which a partition has just been assigned to a process that is draining."""

    def __init__(self, assigned: PartitionRecord) -> None:
        self.entries: dict[str, KeyValue] = {}
        self._revision = 1
        self.put(partition_key(assigned.partition), encode_record(assigned))
        ensure_deployment_info(self.kv(), 1).unwrap()

    def put(self, key: str, value: bytes) -> None:
        self._revision += 1
        self.entries[key] = KeyValue(key, value, self._revision)

    def kv(self) -> Kv:
        def swap(wanted: Any) -> Any:
            self.put(wanted.key, wanted.value)
            return Success(SwapResult(True, self._revision, None))

        def read_prefix(prefix: str) -> Any:
            found = [entry for key, entry in self.entries.items() if key.startswith(prefix)]
            return Success(Snapshot(self._revision, tuple(found)))

        failed = Err(Failure(Code.UNREACHABLE, "kv", "", "down"))
        read = lambda key: Success(self.entries.get(key))  # noqa: E731
        return Kv(read, read_prefix, swap, None, None, lambda *args: failed)  # type: ignore[arg-type]


class Clock:
    """A manually advanced clock, with backoffs of full length."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now_s = 100.0
        monkeypatch.setattr(partition_timers, "time", SimpleNamespace(monotonic=lambda: self.now_s))
        monkeypatch.setattr(partition_timers, "random", SimpleNamespace(random=lambda: 1.0))


class TestOutage:
    @pytest.fixture(autouse=True)
    def _running(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = Clock(monkeypatch)
        self.kv_service = UnavailableKv()
        self.rounds = 0
        deps: Any = PartitionDeps(
            kv=self.kv_service.kv()._replace(watch=self.refuse_watch),
            owner=None,
            store=None,
            links=None,
            members=self.members,
            notify=None,
            suspects=Suspects(lambda member: False),
            region="r",
        )
        self.partitions = Partitions(deps)
        self.partitions.start(ME)

    def refuse_watch(self, *args: object) -> Any:
        return Err(Failure(Code.UNREACHABLE, "kv", "", "down"))

    def members(self) -> dict[str, Member]:
        self.rounds += 1
        return {ME.host: ME}

    def run_rounds(self) -> None:
        for _ in range(ROUNDS):
            before = self.rounds
            self.partitions.refresh(0)
            wait_until(lambda before=before: self.rounds > before)

    def test_reads_of_the_table_back_off(self) -> None:
        wait_until(lambda: self.kv_service.calls)
        self.run_rounds()
        calls = self.kv_service.calls
        self.run_rounds()
        assert self.kv_service.calls == calls
        self.clock.now_s += 10.0
        wait_until(lambda: self.kv_service.calls > calls)


class TestHandOver:
    def test_includes_partitions_that_were_assigned_but_never_opened(self) -> None:
        draining = ME._replace(draining=True)
        successor = Member("heir", "", "entry", "", "r", "d2", 3)
        assigned = PartitionRecord(0, OwnerId(ME.host, ME.incarnation), 4, (), 1)
        table = TableKv(assigned)
        deps: Any = PartitionDeps(
            kv=table.kv(),
            owner=SimpleNamespace(remove_partition=lambda partition: None),
            store=None,
            links=None,
            members=lambda: {ME.host: draining, successor.host: successor},
            notify=lambda member, partition: None,
            suspects=Suspects(lambda member: False),
            region="r",
        )
        partitions = Partitions(deps)
        partitions.start(draining)
        assert partitions.hand_over_all(30.0)
        record = decode_record(partition_key(0), table.entries[partition_key(0)].value).unwrap()
        assert record.owner == OwnerId(successor.host, successor.incarnation)
