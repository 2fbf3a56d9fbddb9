"""Streams that their callers take up again after processes ended, with two versions in service."""

import asyncio
from pathlib import Path

import pytest
from endiveworks.gateway.service_versions import RETURN_S
from endiveworks.gateway.stream_origins import RETENTION_S, resumable_s
from endiveworks.turns.view import View
from endiveworks_daemon.gateway.origin_telling import RESEND_S
from endiveworks_daemon.gateway.replica_table import DELISTED_GRACE_S
from endiveworks_standins.site_caller import Response

from tests.deployed.harness import DRAFT, TURN, Deployment, Entry, run, write_request
from tests.deployed.test_software_versions import (
    NEW,
    OLD,
    VERSIONS,
    arrivals,
    hangs_after,
    two_versions,
    versions,
    writes,
)

AFTER = 2  # Event up to which callers read before their streams break off.


async def begin(entry: Entry, name: str, version: str, target: str = DRAFT) -> None:
    """Reads a stream up to an event of a version, and then breaks off its connection."""
    reader, writer = await entry.open()
    write_request(writer, target, b"p", {"Request_Id": name})
    try:
        async with asyncio.timeout(1.0):
            await reader.readuntil(f"{version}.{AFTER}".encode())
    finally:
        writer.transport.abort()


async def take_up(entry: Entry, target: str = DRAFT) -> Response:
    """Resumes a stream as callers do that name no attempt."""
    return await entry.send(target, b"p", Request_Id="again", Last_Event_Id=str(AFTER))


async def begin_at(deployed: Deployment, entry: Entry, name: str, version: str) -> None:
    """Begins a stream at a version, with both in service lately."""
    deployed.list_all_except(*(NEW if version == "v1" else OLD))
    try:
        await begin(entry, name, version)
    finally:
        deployed.list_all_except()


def cut(entry: Entry, *folders: str) -> None:
    """Loses all datagrams from an entry to the disks with these folders."""
    send = entry.origins._send

    def lose(datagram: object, disk: object) -> None:
        if disk.folder not in folders:  # type: ignore[attr-defined]
            send(datagram, disk)  # type: ignore[arg-type]

    entry.origins._send = lose  # type: ignore[method-assign]


def folders(deployed: Deployment) -> list[str]:
    """Returns the folders of the three disks."""
    return [disk.disk_store.folder for disk in deployed.disks]


def deployment(tmp_path: Path) -> Deployment:
    """Returns a deployment of two versions whose streams stop after some events."""
    scripts = two_versions(hangs_after(AFTER), hangs_after(AFTER, "v2"))
    return Deployment(tmp_path, scripts, VERSIONS)


async def assert_refused(deployed: Deployment, entry: Entry, target: str = DRAFT) -> None:
    """Checks that a resumption is refused and reaches no replica."""
    ran = len(arrivals(deployed, OLD + NEW))
    reply = await take_up(entry, target)
    assert (reply.status, "retry-after" in reply.headers) == (503, True)
    assert len(arrivals(deployed, OLD + NEW)) == ran


async def assert_goes_on(entry: Entry, version: bytes = b"v1") -> None:
    """Checks that a resumption is served to its end by a version."""
    reply = await take_up(entry)
    assert (reply.status, versions(reply), reply.complete) == (200, {version}, True)


class TestTurnSentAgainFromItsStart:
    def test_an_own_copy_of_the_failed_stream_does_not_decide(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                other = await deployed.add_entry()
                await begin_at(deployed, deployed, "s0", "v1")
                cut(other, folders(deployed)[0])
                await begin_at(deployed, other, "s1", "v2")
                await assert_refused(deployed, deployed)

        run(scenario)

    def test_a_disk_that_missed_the_newer_stream_does_not_decide(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                other, third = await deployed.add_entry(), await deployed.add_entry()
                await begin_at(deployed, deployed, "s0", "v1")
                cut(other, folders(deployed)[0])
                await begin_at(deployed, other, "s1", "v2")
                for stopped in deployed.disks[1:]:
                    stopped.stop()
                    await assert_refused(deployed, third)

        run(scenario)

    def test_a_disk_that_was_started_again_is_not_taken_to_know(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                other, third = await deployed.add_entry(), await deployed.add_entry()
                await begin_at(deployed, deployed, "s0", "v1")
                cut(other, folders(deployed)[0])
                await begin_at(deployed, other, "s1", "v2")
                deployed.disks[1].stop()
                await deployed.disks[2].restart()
                deployed.apply(deployed.view)
                await assert_refused(deployed, third)

        run(scenario)

    def test_a_stream_that_no_disk_knows_sends_no_event(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                other = await deployed.add_entry()
                await begin_at(deployed, deployed, "s0", "v1")
                cut(other, *folders(deployed)[:2])
                with pytest.raises(TimeoutError):
                    await begin_at(deployed, other, "s1", "v2")

        run(scenario)

    def test_disks_with_another_view_do_not_confirm_a_stream(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                assert deployed.view is not None
                newer = View(2, 1, deployed.view.members)
                for disk in deployed.disks:
                    disk.disk_store.adopt(newer)
                with pytest.raises(TimeoutError):
                    await begin_at(deployed, deployed, "s0", "v1")
                deployed.view = newer
                await begin_at(deployed, deployed, "s1", "v1")

        run(scenario)

    def test_an_attempt_without_an_event_is_no_beginning(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            scripts = two_versions(hangs_after(0), hangs_after(AFTER, "v2"))
            async with Deployment(tmp_path, scripts, VERSIONS) as deployed:
                other = await deployed.add_entry()
                with pytest.raises(TimeoutError):
                    await begin_at(deployed, deployed, "s0", "v1")
                await begin_at(deployed, other, "s1", "v2")
                await assert_goes_on(deployed, b"v2")

        run(scenario)

    def test_with_one_version_listed_for_long_no_disk_is_needed(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/g": hangs_after(AFTER)}) as deployed:
                deployed.origins._versions._started_s -= RETENTION_S
                cut(deployed, *folders(deployed))
                await begin(deployed, "s0", "v1")
                (entry,) = await deployed.replace_entries()
                assert (await take_up(entry)).status == 503

        run(scenario)


class TestLossOfAllEntries:
    def test_streams_go_on_at_their_version(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                await deployed.add_entry()
                for number in range(4):
                    await begin_at(deployed, deployed, f"s{number}", "v1")
                for entry in await deployed.replace_entries():
                    await assert_goes_on(entry)

        run(scenario)

    def test_each_of_three_versions_goes_on(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            labels = {"g": "v1", "a": "v2", "c": "v3"}
            scripts = {f"llm/{name}": hangs_after(AFTER, v) for name, v in labels.items()}
            async with Deployment(tmp_path, scripts, labels) as deployed:
                for name, version in labels.items():
                    deployed.list_all_except(*(set(labels) - {name}))
                    await begin(deployed, name, version, f"{DRAFT}{name}")
                deployed.list_all_except()
                (entry,) = await deployed.replace_entries()
                for name, version in labels.items():
                    reply = await take_up(entry, f"{DRAFT}{name}")
                    assert (reply.status, reply.complete) == (200, True)
                    assert versions(reply) == {version.encode()}

        run(scenario)

    def test_they_go_on_without_one_disk_and_again_after_a_second_loss(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                await begin_at(deployed, deployed, "s0", "v2")
                (entry,) = await deployed.replace_entries()
                deployed.disks[0].stop()
                await assert_goes_on(entry, b"v2")
                (entry,) = await deployed.replace_entries()
                await assert_goes_on(entry, b"v2")

        run(scenario)

    def test_a_stream_whose_version_left_is_refused(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                await begin_at(deployed, deployed, "s0", "v1")
                deployed.list_all_except(*OLD)
                (entry,) = await deployed.replace_entries()
                await assert_refused(deployed, entry)
                await asyncio.sleep(RETURN_S)
                reply = await take_up(entry)  # Coming back would not help.
                assert (reply.status, "retry-after" in reply.headers) == (503, False)

        run(scenario)

    def test_an_entry_without_a_list_refuses_until_it_has_one(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                await begin_at(deployed, deployed, "s0", "v1")
                (entry,) = await deployed.replace_entries(listed=False)
                await assert_refused(deployed, entry)
                deployed.apply(deployed.view)
                await assert_goes_on(entry)

        run(scenario)

    def test_an_entry_with_an_old_list_does_not_join(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                deployed.list_all_except(*OLD)
                await begin(deployed, "s0", "v2")
                (entry,) = await deployed.replace_entries(listed=False)
                deployed.list_all_except(*NEW)  # What it lists is from before the release.
                await assert_refused(deployed, entry)

        run(scenario)

    def test_an_entry_with_an_old_view_of_the_disks_refuses(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                await begin_at(deployed, deployed, "s0", "v1")
                (entry,) = await deployed.replace_entries()
                assert deployed.view is not None
                newer = View(2, 1, deployed.view.members)
                for disk in deployed.disks:
                    disk.disk_store.adopt(newer)
                await assert_refused(deployed, entry)
                deployed.apply(newer, 2)
                await assert_goes_on(entry)

        run(scenario)

    def test_a_replica_that_changed_its_version_under_its_id(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            scripts = {"llm/g": hangs_after(AFTER, "v2"), "llm/h": writes("v1")}
            async with Deployment(tmp_path, scripts, {"g": "v1", "h": "v1"}) as deployed:
                deployed.list_all_except("h")
                await begin(deployed, "s0", "v2")  # The entry has not heard of g's new start.
                deployed.versions["g"] = "v2"
                deployed.list_all_except()
                (entry,) = await deployed.replace_entries()
                reply = await take_up(entry)
                assert reply.status == 503
                assert deployed.replicas["llm/h"].arrivals == []

        run(scenario)

    def test_an_entry_that_ends_during_the_lookup(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                await begin_at(deployed, deployed, "s0", "v1")
                (entry,) = await deployed.replace_entries()
                cut(entry, *folders(deployed)[:2])
                ended = asyncio.create_task(take_up(entry))
                await asyncio.sleep(RESEND_S)
                (entry,) = await deployed.replace_entries()
                await assert_goes_on(entry)
                assert (await ended).status == 503

        run(scenario)

    def test_the_store_is_away_meanwhile(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with deployment(tmp_path) as deployed:
                await begin_at(deployed, deployed, "s0", "v1")
                (entry,) = await deployed.replace_entries()
                entry.kv_reachable = False
                await assert_goes_on(entry)

        run(scenario)

    def test_a_retained_turn_is_refused_since_its_events_are_lost(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            scripts = two_versions(hangs_after(AFTER), hangs_after(AFTER, "v2"))
            async with Deployment(tmp_path, scripts, VERSIONS, resumable=True) as deployed:
                await deployed.wait_for_disks()
                deployed.list_all_except(*NEW)
                await begin(deployed, "s0", "v1", TURN)
                (entry,) = await deployed.replace_entries()
                while not entry.turns.is_reachable():
                    await asyncio.sleep(0.01)
                await assert_refused(deployed, entry, TURN)

        run(scenario)

    def test_starts_are_kept_for_as_long_as_callers_resume(self) -> None:
        assert resumable_s(1.0) == 3.0
        assert resumable_s(300.0) == RETENTION_S


class TestEntryOutOfStep:
    """Guards against streams joined at or after an entry that missed a new version."""

    TIMEOUT_MS = 600

    async def miss_the_new_version(self, deployed: Deployment, is_cut: bool) -> Entry:
        """Returns an entry that knows one version only, as a second one comes into service.

        Args:
            deployed: The deployment.
            is_cut: Whether it reaches no disk either.
        """
        missing = await deployed.add_entry()
        deployed.list_all_except(*NEW)
        # What was listed before the start of the entry might have been another version.
        await asyncio.sleep(max(resumable_s(self.TIMEOUT_MS / 1000), DELISTED_GRACE_S) + 0.1)
        deployed.apply(deployed.view)
        assert not missing.origins.may_be_mistaken("llm", resumable_s(self.TIMEOUT_MS / 1000))
        missing.is_out_of_step, missing.list_age_s = True, 2.0
        if is_cut:
            cut(missing, *folders(deployed))
        return missing

    def deployment(self, tmp_path: Path) -> Deployment:
        """Returns a deployment of two versions whose routes time out soon."""
        scripts = two_versions(hangs_after(AFTER), hangs_after(AFTER, "v2"))
        return Deployment(tmp_path, scripts, VERSIONS, timeout_ms=self.TIMEOUT_MS)

    def test_a_stream_that_it_begins_is_not_taken_for_one_of_the_new_version(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async with self.deployment(tmp_path) as deployed:
                missing = await self.miss_the_new_version(deployed, is_cut=True)
                await begin_at(deployed, deployed, "s0", "v2")
                try:
                    await begin(missing, "s1", "v1")
                except (TimeoutError, asyncio.IncompleteReadError):
                    return  # Its caller has no event that another stream could follow.
                await assert_refused(deployed, deployed)

        run(scenario)

    def test_a_stream_that_it_begins_is_served_if_it_reaches_the_disks(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async with self.deployment(tmp_path) as deployed:
                missing = await self.miss_the_new_version(deployed, is_cut=False)
                await begin(missing, "s1", "v1")

        run(scenario)

    def test_a_stream_is_served_if_only_the_disks_are_cut_off(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with self.deployment(tmp_path) as deployed:
                missing = await self.miss_the_new_version(deployed, is_cut=True)
                missing.list_age_s = 0.0
                await begin(missing, "s1", "v1")

        run(scenario)

    def test_an_entry_whose_list_was_never_complete_begins_no_stream(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with self.deployment(tmp_path) as deployed:
                missing = await self.miss_the_new_version(deployed, is_cut=True)
                missing.list_age_s = None
                with pytest.raises((TimeoutError, asyncio.IncompleteReadError)):
                    await begin(missing, "s1", "v1")

        run(scenario)

    @pytest.mark.parametrize("is_cut", [False, True], ids=["from entries", "from disks as well"])
    def test_it_takes_up_no_stream_of_a_version_that_it_does_not_know(
        self, tmp_path: Path, is_cut: bool
    ) -> None:
        async def scenario() -> None:
            async with self.deployment(tmp_path) as deployed:
                missing = await self.miss_the_new_version(deployed, is_cut=is_cut)
                await begin_at(deployed, deployed, "s0", "v2")
                ran = len(arrivals(deployed, OLD + NEW))
                assert (await take_up(missing)).status == 503
                assert len(arrivals(deployed, OLD + NEW)) == ran

        run(scenario)
