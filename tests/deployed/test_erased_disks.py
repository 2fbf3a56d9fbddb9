"""Disks in use that have come back without their data, before others have taken their places."""

import asyncio
import contextlib
import shutil
import unittest.mock
from collections.abc import Iterator
from pathlib import Path

from endiveworks.members.member import Member
from endiveworks.turns.records import Turn
from endiveworks.turns.view import View
from endiveworks_daemon import rpc
from endiveworks_daemon.disks import catch_up as catch_up_module
from endiveworks_daemon.disks.catch_up import catch_up
from endiveworks_daemon.disks.disk_store import DiskStore
from endiveworks_daemon.gateway.quorum import PROBE_PERIOD_S
from endiveworks_daemon.gateway.turn_store import TurnStore

from tests.deployed.harness import LOCATION, Deployment, RunningDisk, run, streams
from tests.deployed.test_streams import PROGRAM, TURN, turn

TURNS = 12
READ_TIMEOUT_S = 0.2
HEDGE_S = 0.2  # More than a disk takes until others are asked as well.


async def erase(disk: RunningDisk) -> None:
    """Restarts a disk at the same address with an empty folder."""
    disk.stop()
    shutil.rmtree(disk.path)
    disk.disk_store = RunningDisk(disk.name, disk.path).disk_store
    await disk.start()


@contextlib.contextmanager
def counted_messages(delay_s: float = 0.0) -> Iterator[list[str]]:
    """Collects the folder of each disk that is sent records or asked for turns.

    Args:
        delay_s: Time that each disk takes longer to store records.
    """
    folders: list[str] = []
    store, fetch = DiskStore.store, DiskStore.fetch

    async def counted_store(self: DiskStore, message: bytes) -> bytes:
        folders.append(self.folder)
        await asyncio.sleep(delay_s)
        return await store(self, message)

    async def counted_fetch(self: DiskStore, message: bytes) -> bytes:
        folders.append(self.folder)
        return await fetch(self, message)

    with (
        unittest.mock.patch.object(DiskStore, "store", counted_store),
        unittest.mock.patch.object(DiskStore, "fetch", counted_fetch),
    ):
        yield folders


class TestLoadOfErasedDisks:
    """Each record went to them twice, directly and over a relay, and filled the link of regions.

    Too little was served on tl-signdesk-grown, trouble-2.
    """

    def test_nothing_more_is_sent_to_a_disk_without_its_data(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            with counted_messages(delay_s=HEDGE_S) as folders:
                async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                    await deployed.add_entry()  # Relays messages if asked to.
                    erased = deployed.disks[0]
                    await erase(erased)
                    for number in range(TURNS):
                        named = turn(f"t{number}", **PROGRAM | {"Program_Id": str(number)})
                        assert (await deployed.send(TURN, b"one", **named)).complete
                    await asyncio.sleep(4 * PROBE_PERIOD_S)
                    to_erased = folders.count(erased.disk_store.folder)
            # The first turn's reservation and commit may both be under way.
            assert to_erased <= 2, f"{to_erased} of {len(folders)} messages"

        run(scenario)

    def test_an_erased_disk_is_used_again_with_its_new_folder(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                erased, *others = deployed.disks
                await erase(erased)
                assert (await deployed.send(TURN, b"one", **turn("t1"))).complete
                view = View(3, 1, tuple(disk.disk() for disk in (erased, *others)))
                assert await catch_up(erased.disk_store, deployed.view, "east")
                deployed.apply(view)
                others[0].stop()
                assert (await deployed.send(TURN, b"two", **turn("t2", "t1"))).complete
                assert len(erased.disk_store.state) == 2

        run(scenario)

    def test_turns_are_refused_while_too_few_disks_have_their_data(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}, timeout_ms=800) as deployed:
                await erase(deployed.disks[0])
                await erase(deployed.disks[1])
                replies = [await deployed.send(TURN, b"one", **turn(f"t{n}")) for n in range(3)]
                assert [reply.status for reply in replies][1:] == [503, 503]
                assert not deployed.turns.is_reachable()

        run(scenario)


class TestFullLinkBetweenRegions:
    def test_a_late_record_is_not_sent_over_it_once_more(self, tmp_path: Path) -> None:
        """Relays of the same region share the link, so that repetitions filled it further."""

        async def scenario() -> None:
            with counted_messages(delay_s=2 * HEDGE_S) as folders:
                async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                    far = [disk.disk()._replace(region="west") for disk in deployed.disks]
                    view = View(2, 1, tuple(far))
                    relay = TurnStore(LOCATION)
                    for store in (relay, deployed.turns):
                        store.adopt(view)
                    server = await rpc.serve("127.0.0.1:0", relay.handlers())
                    member = Member("entry-1", server.address, "entry", "", "east", "edin", 1)
                    deployed.turns.update_relays([member], "entry-0")
                    stored = Turn("t1", "", b"in", b"out", 60.0)
                    assert (await deployed.turns.commit(stored, None, 2.0)).unwrap() is None
                    await asyncio.sleep(HEDGE_S)
                    assert len(folders) <= len(far)
                    server.close()

        run(scenario)


class TestJoiningDisk:
    def test_it_is_asked_last(self, tmp_path: Path) -> None:
        """It lacks most turns, and is busy with reading them."""

        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                spare = RunningDisk("spare", tmp_path / "spare")
                await spare.start()
                members = tuple(disk.disk() for disk in deployed.disks)
                # Without this rule it would be the nearest one.
                near = spare.disk()._replace(failure_domain="edin")
                deployed.apply(View(2, 1, members, (*members[1:], near)))
                ranked = deployed.turns._quorum._ranked(deployed.turns._quorum.view)
                assert ranked[-1] == near
                spare.stop()

        run(scenario)

    def test_one_lost_reply_does_not_start_the_synchronization_anew(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            lost: list[str] = []
            read_turns = DiskStore.read_turns

            async def lose_first(self: DiskStore, message: bytes) -> bytes:
                if self.folder not in lost:
                    lost.append(self.folder)
                    await asyncio.sleep(2 * READ_TIMEOUT_S)
                return await read_turns(self, message)

            with (
                unittest.mock.patch.object(DiskStore, "read_turns", lose_first),
                unittest.mock.patch.object(catch_up_module, "READ_TIMEOUT_S", READ_TIMEOUT_S),
            ):
                async with Deployment(tmp_path, {"llm/a": streams("x")}) as deployed:
                    for number in range(TURNS):
                        stored = Turn(f"t{number}", "", b"in", b"out", 60.0)
                        assert (await deployed.turns.commit(stored, None, 2.0)).unwrap() is None
                    erased = deployed.disks[0]
                    await erase(erased)
                    assert await catch_up(erased.disk_store, deployed.view, "east")
                    assert len(erased.disk_store.state) == TURNS
            assert lost

        run(scenario)
