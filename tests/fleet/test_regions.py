"""Two regions that lose each other for longer than every timeout, and join again."""

import json
import time
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import pytest
from endiveworks.client.caller import Program
from endiveworks.ownership.record import PARTITIONS_PREFIX, PartitionRecord, decode_record
from endiveworks_standins.fleet import HostLocation

Until = Callable[..., None]
PLACES = {
    "east-a": HostLocation("east", "east-1"),
    "east-b": HostLocation("east", "east-2"),
    "west-a": HostLocation("west", "west-1"),
    "west-b": HostLocation("west", "west-2"),
}
UPSTREAMS = {"east": "up-east", "west": "up-west"}
SHOPS = {"east": "shop-1", "west": "shop-west"}
FLAGS = ("--lease_s=2", "--patience_s=60")
PARTITIONS = 64
# The longest timeout of a process that is cut off is the silence of its watch on the members.
CUT_S = 17.0


class Regions:
    """Two entries and an upstream process in each region, all reached through forwarders."""

    def __init__(self, cluster: Any) -> None:
        self.cluster = cluster
        cluster.start_plain("shop-west")
        self.kv_link = cluster.start_link("kv", cluster.kv_address)
        for region, name in UPSTREAMS.items():
            shop = cluster.procs[SHOPS[region]].wait_event("listening")["address"]
            place = HostLocation(region, f"{region}-1")
            cluster.start_upstream(name, place, "shop", shop, *self.flags(region, name))
            self.point_link(name)
        for name, place in PLACES.items():
            cluster.add_entry(name, place, *self.flags(place.region, name))
            self.point_link(name)

    def flags(self, region: str, name: str) -> Sequence[str]:
        link = f"--advertise={self.cluster.start_link(name)}"
        if region == "east":
            return link, *FLAGS
        return link, f"--kv={self.kv_link}", f"--host_list={self.kv_link}", *FLAGS

    def point_link(self, name: str) -> None:
        self.cluster.set_link_target(
            name, self.cluster.procs[name].wait_event("listening")["thrift"]
        )

    def hosts(self, region: str) -> list[str]:
        return [name for name, place in PLACES.items() if place.region == region] + [
            UPSTREAMS[region]
        ]

    def cut(self) -> None:
        """Makes every connection between the regions silent, and every new one."""
        silent = {"to_target": True, "to_caller": True}
        self.cluster.set_link_faults("kv", **silent)
        for here, there in (("east", "west"), ("west", "east")):
            for host in self.hosts(here):
                self.cluster.set_link_faults(host, **silent, senders=self.hosts(there))

    def join(self) -> None:
        """Lets new connections through; those that are silent stay so."""
        for name in ("kv", *self.hosts("east"), *self.hosts("west")):
            self.cluster.set_link_faults(name)

    def records(self) -> dict[int, PartitionRecord]:
        found = self.cluster.kv.read_prefix(PARTITIONS_PREFIX).unwrap().entries
        records = [decode_record(entry.key, entry.value).unwrap() for entry in found]
        return {record.partition: record for record in records}

    def is_settled(self) -> bool:
        """Tells whether each partition is kept in two failure domains of its owner's region."""
        records = self.records()
        settled = [
            len(record.copies) == 2
            and {PLACES[copy.host].region for copy in record.copies}
            == {PLACES[record.owner.host].region}
            for record in records.values()
        ]
        owners = {record.owner.host for record in records.values()}
        return len(records) == PARTITIONS and all(settled) and owners == set(PLACES)

    def ordered(self) -> list[str]:
        """Returns the items of all orders that were executed in either region."""
        lines = [line for shop in SHOPS.values() for line in self.cluster.executed(shop)]
        orders = [line for line in lines if line["operation"] == "order"]
        return sorted(json.loads(line["body"])["item"] for line in orders)

    def open_programs(self, region: str) -> list[Program]:
        """Opens programs that this region owns; an entry opens them in its own partitions."""
        entries = [name for name, place in PLACES.items() if place.region == region]
        return [self.cluster.open_program(entry) for entry in entries for _ in range(2)]


@pytest.fixture
def regions(cluster: Any) -> Iterator[Regions]:
    cluster.publish_slots(4, expected=0).unwrap()
    yield Regions(cluster)


def order(programs: Sequence[Program], step: str) -> list[str]:
    """Has each program send an order, and returns the items."""
    items = [f"{program.id}/{step}" for program in programs]
    for program, item in zip(programs, items, strict=True):
        assert program.call("shop", "order", {"item": item}, key=item).unwrap().status == 200
    return items


class TestPartedRegions:
    def test_go_on_apart_and_agree_after_the_join(
        self, regions: Regions, cluster: Any, until: Until
    ) -> None:
        until(regions.is_settled)
        east, west = regions.open_programs("east"), regions.open_programs("west")
        ordered = order(east + west, "before")
        regions.cut()
        parted_s = time.monotonic()
        for name in regions.hosts("west"):
            until(lambda name=name: _removed(cluster, "east-a", name))
        cluster.publish_slots(5, expected=1).unwrap()
        rounds = 0
        while time.monotonic() - parted_s < CUT_S:
            rounds += 1
            ordered += order(east + west, f"apart-{rounds}")
        assert cluster.versions(*regions.hosts("east")) == [2, 2, 2]
        assert cluster.versions(*regions.hosts("west")) == [1, 1, 1]
        regions.join()
        ordered += order(east + west, "joined")
        until(lambda: set(cluster.versions(*PLACES, *UPSTREAMS.values())) == {2})
        until(regions.is_settled)
        # Each owner that the table names acts, and no other host does.
        until(lambda: sum(cluster.status(name)["partitions"] for name in PLACES) == PARTITIONS)
        ordered += order(east + west, "settled")
        assert regions.ordered() == sorted(ordered)
        calls = 3 + rounds
        assert [program.status().unwrap()["next_call"] for program in east + west] == [
            calls + 1
        ] * len(east + west)
        assert set(cluster.versions(*PLACES, *UPSTREAMS.values())) == {2}


def _removed(cluster: Any, at: str, host: str) -> bool:
    return any(line["peer"] == host for line in cluster.events(at, "host_removed"))
