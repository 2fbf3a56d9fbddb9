from pathlib import Path
from typing import Any, NamedTuple

import pytest
from endiveworks.journal.frames import Kind, LocatedFrame, scan
from endiveworks.members.registry import read_members
from endiveworks.ownership.record import PartitionRecord
from endiveworks_standins.fleet import wait_until
from pytest_bdd import scenarios, then, when

scenarios("damage.feature")

TORN_BYTES = 3


class Found(NamedTuple):
    """A record of a partition in a journal file."""

    path: Path
    placed: LocatedFrame


class Before(NamedTuple):
    """The partition's record in the table when its owner was killed."""

    record: PartitionRecord

    @property
    def folder(self) -> str:
        return next(copy.folder for copy in self.record.copies if copy.host == self.owner)

    @property
    def owner(self) -> str:
        return self.record.owner.host


@pytest.fixture
def before(deployment: Any, world: Any) -> Before:
    return Before(record_of(deployment, world.program))


def record_of(deployment: Any, program: str) -> PartitionRecord:
    partition = int(program[:4], 16)
    return next(rec for rec in deployment.records() if rec.partition == partition)


def records_in_journal(deployment: Any, before: Before) -> list[Found]:
    folder = deployment.folder / "data" / before.owner
    return [
        Found(path, item)
        for path in sorted(folder.glob("*.wal"))
        for item in scan(path.open("rb"))
        if isinstance(item, LocatedFrame)
        and item.frame.kind is Kind.RECORD
        and item.frame.partition == before.record.partition
    ]


@when("the last record of the program in the owner's journal is torn")
def _tear(deployment: Any, before: Before) -> None:
    last = records_in_journal(deployment, before)[-1]
    end = last.placed.offset + last.placed.size
    with last.path.open("r+b") as file:
        file.truncate(end - TORN_BYTES)


@when("the first record of the program in the owner's journal is damaged")
def _damage(deployment: Any, before: Before) -> None:
    first = records_in_journal(deployment, before)[0]
    at = first.placed.offset + first.placed.size - 1
    with first.path.open("r+b") as file:
        file.seek(at)
        (byte,) = file.read(1)
        file.seek(at)
        file.write(bytes([byte ^ 1]))


@when("the owner starts again with its data folder")
def _restart(deployment: Any, world: Any) -> None:
    deployment.add_entry(world.owner)


@when("the partition is open again with a copy at each entry")
def _open_again(deployment: Any, world: Any, before: Before) -> None:
    def is_open() -> bool:
        members = {member.host: member for member in read_members(deployment.kv).unwrap()}
        record = record_of(deployment, world.program)
        if record.epoch == before.record.epoch or len(record.copies) < len(deployment.entries):
            return False
        folders = {copy.host: copy.folder for copy in record.copies}
        if any(folder != members[host].folder for host, folder in folders.items()):
            return False
        return any(
            (line.get("event"), line.get("partition"), line.get("epoch"))
            == ("partition_opened", record.partition, record.epoch)
            for line in deployment.procs[record.owner.host].events
        )

    wait_until(is_open)


@when("the other entry is killed")
def _kill_other(deployment: Any, world: Any) -> None:
    deployment.procs[deployment.other_entry(world.owner)].kill()


@then("the owner has kept its data folder")
def _kept(deployment: Any, world: Any, before: Before) -> None:
    assert folder_of(deployment, world.owner) == before.folder


@then("the owner has set its data folder aside and begun another")
def _set_aside(deployment: Any, world: Any, before: Before) -> None:
    assert folder_of(deployment, world.owner) != before.folder
    assert list((deployment.folder / "data" / world.owner).glob("damaged-*/*.wal"))


def folder_of(deployment: Any, entry: str) -> str:
    return next(rec.folder for rec in read_members(deployment.kv).unwrap() if rec.host == entry)
