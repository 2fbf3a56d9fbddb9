"""Entries that reach callers, replicas and other entries, but not the disks."""

import asyncio
from collections.abc import Collection
from pathlib import Path
from typing import Any

from endiveworks.gateway.stream_origins import RETENTION_S, StreamOrigin
from endiveworks.turns.records import Reservation
from endiveworks.turns.view import Disk
from endiveworks_daemon.gateway.origin_paths import MAX_FORWARDED, OriginRelay
from endiveworks_daemon.origin_datagrams import (
    ASK,
    TELL,
    TOLD,
    Address,
    Datagram,
    Relayed,
    decode,
    encode,
    encode_relayed,
)
from endiveworks_standins.site_replica import Script
from returns.result import Success

from tests.deployed.harness import DRAFT, TURN, Deployment, Entry, run, streams
from tests.deployed.test_rejoined_streams import AFTER, begin, take_up
from tests.deployed.test_software_versions import hangs_after

ORIGIN = StreamOrigin("llm", "v1", "entry-1", "g")


class LossyTransport:
    """Sends datagrams except those to some addresses, which are lost.

    Attributes:
        sent: Addresses to which datagrams were sent, lost ones included.
    """

    def __init__(self, transport: Any, lost: Collection[str]) -> None:
        self._transport = transport
        self._lost = lost
        self.sent: list[str] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends or loses a datagram."""
        self.sent.append(f"{address[0]}:{address[1]}")
        if self.sent[-1] not in self._lost:
            self._transport.sendto(data, address)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


def lose_datagrams(entry: Entry, addresses: Collection[str]) -> LossyTransport:
    """Loses all datagrams from an entry to some addresses, and returns what records them."""
    transport = LossyTransport(entry.origins._transport, addresses)
    entry.origins._transport = transport  # type: ignore[assignment]
    return transport


def disk_addresses(deployed: Deployment) -> list[str]:
    """Returns the addresses of the three disks."""
    return [disk.address for disk in deployed.disks]


async def out_of_step(deployed: Deployment, others: int = 0) -> Entry:
    """Returns an entry that hears of no changes, after starting some others that do."""
    for _ in range(others):
        await deployed.add_entry()
    entry = await deployed.add_entry()
    entry.origins._versions._started_s -= RETENTION_S
    entry.list_age_s = None
    return entry


def deployment(folder: Path, script: Script | None = None) -> Deployment:
    """Returns a deployment whose streams stop after some events."""
    return Deployment(folder, {"llm/g": script or hangs_after(AFTER)})


class TestFirstEventAtAnEntryCutOffFromTheDisks:
    def test_it_is_not_held_until_its_caller_leaves(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                entry = await out_of_step(deployed)
                lose_datagrams(entry, disk_addresses(deployed))
                await begin(entry, "s0", "v1")

        run(scenario)

    def test_it_is_not_held_if_other_entries_are_cut_off_too(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                entry = await out_of_step(deployed, others=3)
                lost = disk_addresses(deployed)
                for other in [entry, *deployed._entries[1:4]]:
                    lose_datagrams(other, lost)
                await begin(entry, "s0", "v1")

        run(scenario)

    def test_the_way_that_worked_is_used_at_once_for_the_next_one(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                entry = await out_of_step(deployed)
                transport = lose_datagrams(entry, disk_addresses(deployed))
                await begin(entry, "s0", "v1")
                transport.sent.clear()
                entry.origins.tell("s1", "d1", ORIGIN)
                await asyncio.sleep(0)  # The task that tells it has run once then.
                assert deployed.peer_address in transport.sent

        run(scenario)

    def test_the_direct_way_is_used_again_after_the_cut(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                entry = await out_of_step(deployed)
                lost = disk_addresses(deployed)
                transport = lose_datagrams(entry, lost)
                await begin(entry, "s0", "v1")
                lost.clear()
                while deployed.peer_address in transport.sent:
                    transport.sent.clear()
                    entry.origins.tell("s1", "d1", ORIGIN)
                    await asyncio.sleep(0.02)
                    entry.origins.tell("s1", "d1", None)
                    await asyncio.sleep(0.02)
                assert set(transport.sent) <= set(disk_addresses(deployed))

        run(scenario)

    def test_its_stream_goes_on_at_another_entry(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                entry = await out_of_step(deployed)
                lose_datagrams(entry, disk_addresses(deployed))
                await begin(entry, "s0", "v1")
                reply = await take_up(deployed)
                assert (reply.status, reply.complete) == (200, True)

        run(scenario)


class TestViewThatAnEntryHasNotHeardOf:
    """Guards against first events that wait for disks in use whose view only a disk tells."""

    def test_one_that_a_disk_tells_counts_for_streams_too(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path, streams("a", "b")) as deployed:
                entry = await out_of_step(deployed)
                await deployed.wait_for_disks()
                assert deployed.view is not None
                for disk in deployed.disks:
                    disk.disk_store.adopt(deployed.view._replace(epoch=2))
                reservation = Reservation("p", "r", 1, 9.0)
                while not isinstance(await entry.turns.reserve(reservation, 9, 1.0), Success):
                    await asyncio.sleep(0.05)
                assert (await entry.send(DRAFT, b"p")).status == 200

        run(scenario)


class TestStartsThatNobodyConfirms:
    """Guards against datagrams that fill a full link further, which then stays full."""

    def test_they_are_sent_ever_less_often_and_over_no_relay(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                entry = await out_of_step(deployed)
                disks = disk_addresses(deployed)
                transport = lose_datagrams(entry, list(disks))
                entry.origins.tell("s1", "d1", ORIGIN)
                await asyncio.sleep(2.0)
                assert set(transport.sent) == set(disks)
                assert len(transport.sent) <= 6 * len(disks)

        run(scenario)

    def test_one_that_an_event_waits_for_is_sent_at_once(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                entry = await out_of_step(deployed)
                lost = disk_addresses(deployed)
                transport = lose_datagrams(entry, lost)
                entry.origins.tell("s1", "d1", ORIGIN)
                await asyncio.sleep(1.0)  # The pause is a second by now.
                transport.sent.clear()
                assert await entry.origins.wait_until_held("s1", 0.5)
                assert deployed.peer_address in transport.sent

        run(scenario)


class TestDatagramsPassedOnForOthers:
    DISK = Disk("d1", "folder", "127.0.0.1:1", "edin", "east")
    SENDER = ("127.0.0.1", 9)

    def relay(self) -> tuple[OriginRelay, list[tuple[bytes, Address]]]:
        """Returns a relay and what it sends."""
        sent: list[tuple[bytes, Address]] = []
        return OriginRelay(lambda data, address: sent.append((data, address))), sent

    def test_the_reply_goes_back_under_its_senders_number(self) -> None:
        relay, sent = self.relay()
        relay.forward(Datagram(TELL, 7, 1, b"k"), self.DISK, self.SENDER)
        forwarded = decode(sent[0][0])
        assert forwarded is not None and sent[0][1] == ("127.0.0.1", 1)
        reply = forwarded._replace(kind=TOLD, folder="folder")
        assert relay.return_reply(reply)
        assert sent[1:] == [(encode(reply._replace(number=7)), self.SENDER)]
        assert relay.return_reply(reply) and len(sent) == 2

    def test_replies_to_its_own_datagrams_are_left_to_it(self) -> None:
        relay, sent = self.relay()
        relay.forward(Datagram(TELL, 7, 1, b"k"), self.DISK, self.SENDER)
        assert not relay.return_reply(Datagram(TOLD, 7, 1, b"k"))

    def test_a_reply_of_another_kind_is_dropped(self) -> None:
        relay, sent = self.relay()
        relay.forward(Datagram(ASK, 7, 1, b"k"), self.DISK, self.SENDER)
        forwarded = decode(sent[0][0])
        assert forwarded is not None
        assert relay.return_reply(forwarded._replace(kind=TOLD))
        assert len(sent) == 1

    def test_those_that_bring_no_reply_are_forgotten(self) -> None:
        relay, _ = self.relay()
        for number in range(MAX_FORWARDED + 1):
            relay.forward(Datagram(TELL, number, 1, b"k"), self.DISK, self.SENDER)
        assert len(relay._forwarded) == MAX_FORWARDED

    def test_nothing_goes_to_an_address_that_is_no_disk_in_use(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                transport = lose_datagrams(deployed, ())
                tell = encode(Datagram(TELL, 7, 1, b"k"))
                assert tell is not None
                for relayed in (
                    encode_relayed(Relayed("127.0.0.1:1", tell)),
                    encode_relayed(Relayed("", tell)),
                    encode_relayed(Relayed(deployed.disks[0].address, b"\xc1")),
                    encode_relayed(Relayed(deployed.disks[0].address, b"")),
                    b"\x92\xa1x",
                    b"\x92",
                ):
                    deployed.origins.datagram_received(relayed, self.SENDER)
                assert transport.sent == []
                relayed = encode_relayed(Relayed(deployed.disks[0].address, tell))
                deployed.origins.datagram_received(relayed, self.SENDER)
                assert transport.sent == [deployed.disks[0].address]

        run(scenario)


class TestStreamTakenUpAtAnEntryCutOffFromTheDisks:
    def test_it_goes_on(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                entry = await out_of_step(deployed)
                await begin(deployed, "s0", "v1")
                lose_datagrams(entry, disk_addresses(deployed))
                reply = await take_up(entry)
                assert (reply.status, reply.complete) == (200, True)

        run(scenario)


class TestEntryThatReachesNeitherDisksNorEntries:
    def lose_all(self, deployed: Deployment, entry: Entry) -> None:
        """Loses all datagrams of an entry."""
        lose_datagrams(entry, [*disk_addresses(deployed), deployed.peer_address])

    def test_a_ready_stream_ends_before_its_deadline(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path, streams("a", "b")) as deployed:
                entry = await out_of_step(deployed)
                self.lose_all(deployed, entry)
                assert (await entry.send(DRAFT, b"p")).status == 502

        run(scenario)

    def test_the_next_stream_is_refused_and_does_not_run(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path, streams("a", "b")) as deployed:
                entry = await out_of_step(deployed)
                self.lose_all(deployed, entry)
                await entry.send(DRAFT, b"p")
                ran = len(deployed.replicas["llm/g"].arrivals)
                reply = await entry.send(DRAFT, b"q")
                assert (reply.status, "retry-after" in reply.headers) == (503, True)
                assert len(deployed.replicas["llm/g"].arrivals) == ran

        run(scenario)

    def test_streams_are_served_again_once_the_disks_are_reached(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path, streams("a", "b")) as deployed:
                entry = await out_of_step(deployed)
                before = entry.origins._transport
                self.lose_all(deployed, entry)
                await entry.send(DRAFT, b"p")
                assert (await entry.send(DRAFT, b"q")).status == 503
                entry.origins._transport = before
                while (await entry.send(DRAFT, b"r")).status != 200:
                    await asyncio.sleep(0.05)

        run(scenario)

    def test_routes_that_are_not_resumable_are_served(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path, streams("a", "b")) as deployed:
                entry = await out_of_step(deployed)
                self.lose_all(deployed, entry)
                await entry.send(DRAFT, b"p")
                await deployed.wait_for_disks()
                while not entry.turns.is_reachable():
                    await asyncio.sleep(0.01)
                assert (await entry.send(TURN, b"p")).status == 200

        run(scenario)

    def test_a_complete_list_with_one_version_suffices(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path, streams("a", "b")) as deployed:
                entry = await out_of_step(deployed)
                self.lose_all(deployed, entry)
                await entry.send(DRAFT, b"p")
                entry.list_age_s = 0.0
                assert (await entry.send(DRAFT, b"q")).status == 200

        run(scenario)
