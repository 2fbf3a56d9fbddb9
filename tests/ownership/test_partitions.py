"""Partitions stay available while their owners and journal hosts are killed, wiped or stopped."""

import json
import shutil
from collections.abc import Iterator
from pathlib import Path

import pytest
from endiveworks.client.caller import Program, connect, open_program
from endiveworks.kvservice.etcd import connect as connect_kv
from endiveworks.ownership.record import PARTITIONS_PREFIX, PartitionRecord, decode_record
from endiveworks_standins.fleet import OBSERVER_TIMEOUT_S, Fleet, HostLocation, wait_until
from returns.result import Success

SERVICES = Path(__file__).parents[2] / "examples" / "services"
PLACES = {
    "entry-1": HostLocation("east", "east-1"),
    "entry-2": HostLocation("east", "east-2"),
    "entry-3": HostLocation("east", "east-1"),
    "entry-4": HostLocation("east", "east-2"),
}
INITIAL_ENTRIES = ("entry-1", "entry-2", "entry-3")
WITHOUT_DISK = "entry-3"
FLAGS = ("--lease_s=2", "--patience_s=40")


class Deployment(Fleet):
    """Starts with three entries, the last without a disk, and a plain service."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.start_kv()
        self.kv = connect_kv(self.kv_address, OBSERVER_TIMEOUT_S)
        self.publish(SERVICES)
        self.start_upstream("up-shop-1", PLACES["entry-1"], "shop", self.start_plain("shop-1"))
        self.addresses = {name: self.add_entry(name) for name in INITIAL_ENTRIES}

    def add_entry(self, name: str) -> str:
        return self.start_entry(name, PLACES[name], *FLAGS, disk=name != WITHOUT_DISK)

    def restart_entry(self, name: str) -> None:
        """Starts an entry; an earlier process of that name is killed first."""
        if name in self.procs:
            self.procs[name].kill()
        self.addresses[name] = self.add_entry(name)

    def records(self) -> list[PartitionRecord]:
        # A busy stand-in has reset a connection; only processes of the project are judged here.
        found = self.kv.read_prefix(PARTITIONS_PREFIX).lash(
            lambda _: self.kv.read_prefix(PARTITIONS_PREFIX)
        )
        entries = found.unwrap().entries
        return [decode_record(entry.key, entry.value).unwrap() for entry in entries]

    def wait_settled(self, hosts: set[str], copies: int) -> None:
        """Waits until hosts own all partitions and each has the given number of copies."""

        def settled() -> bool:
            records = self.records()
            owners = {record.owner.host for record in records}
            counts = {len(record.copies) for record in records}
            return len(records) == 64 and owners <= hosts and counts == {copies}

        wait_until(settled, 60.0)

    def programs(self, count: int) -> list[Program]:
        client = connect(list(self.addresses.values()), "signs", 60.0, 10.0)
        opened = []

        def try_open() -> bool:
            outcome = open_program(client, "shop", "", 1000)
            opened.extend([outcome.unwrap()] if isinstance(outcome, Success) else [])
            return len(opened) >= count

        wait_until(try_open, 60.0)
        return opened

    def send_orders(self, programs: list[Program], key: str) -> None:
        """Sends one order from each program; none may be lost or executed twice."""
        for number, program in enumerate(programs):
            reply = program.call("shop", "order", {"item": f"{key}-{number}"}, key=key).unwrap()
            assert reply.status == 200

    def executed_orders(self) -> list[str]:
        lines = [line for line in self.executed("shop-1") if line["operation"] == "order"]
        return sorted(json.loads(line["body"])["item"] for line in lines)


@pytest.fixture(scope="class")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("fleet")) as started:
        yield started


def expected(count: int, *keys: str) -> list[str]:
    return sorted(f"{key}-{number}" for key in keys for number in range(count))


class TestHostsGone:
    COUNT = 12

    def test_programs_survive_killed_owners_and_lost_disks(self, deployment: Deployment) -> None:
        deployment.wait_settled(set(INITIAL_ENTRIES), copies=2)
        programs = deployment.programs(self.COUNT)
        deployment.send_orders(programs, "first")

        deployment.procs["entry-1"].kill()
        deployment.send_orders(programs, "owner-killed")
        deployment.wait_settled({"entry-2", "entry-3"}, copies=1)

        shutil.rmtree(deployment.folder / "data" / "entry-1")
        deployment.restart_entry("entry-1")
        deployment.wait_settled(set(PLACES), copies=2)

        # All copies on entry-1 were rebuilt from those on entry-2, which is now killed.
        deployment.procs["entry-2"].kill()
        deployment.send_orders(programs, "other-copy-killed")

        assert [program.status().unwrap()["next_call"] for program in programs] == [4] * self.COUNT
        keys = ("first", "owner-killed", "other-copy-killed")
        assert deployment.executed_orders() == expected(self.COUNT, *keys)

    def test_planned_stop_hands_over(self, deployment: Deployment) -> None:
        for name in ("entry-2", "entry-4"):
            deployment.restart_entry(name)
        deployment.wait_settled(set(PLACES), copies=2)
        programs = deployment.programs(self.COUNT)
        assert deployment.procs["entry-2"].terminate() == 0
        records = deployment.records()
        assert "entry-2" not in {record.owner.host for record in records}
        copies = {copy.host for record in records for copy in record.copies}
        assert copies == {"entry-1", "entry-4"}
        deployment.send_orders(programs, "after-stop")
        executed = [item for item in deployment.executed_orders() if item.startswith("after-stop")]
        assert executed == expected(self.COUNT, "after-stop")
