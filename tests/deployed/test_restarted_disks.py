"""Disks whose processes end and start again during a view change."""

from pathlib import Path

import msgspec
import pytest
from endiveworks.turns import messages
from endiveworks.turns.records import Turn, encode
from endiveworks.turns.view import View

from tests.deployed.harness import RunningDisk, run


def view_of(*disks: RunningDisk, epoch: int) -> View:
    return View(epoch, 1, tuple(disk.disk() for disk in disks))


async def list_held(disk: RunningDisk, view: View) -> messages.Held:
    """Lists what a disk holds for a disk that joins in a view."""
    reply = await disk.disk_store.list_held(msgspec.msgpack.encode(messages.ListHeld(view)))
    return msgspec.msgpack.decode(reply, type=messages.Held)


async def store(disk: RunningDisk, epoch: int) -> messages.Stored:
    """Stores a turn for a writer that knows the view of an epoch."""
    record = encode(Turn("t1", "", b"in", b"out", 60.0))
    message = msgspec.msgpack.encode(messages.Store(epoch, [record]))
    return msgspec.msgpack.decode(await disk.disk_store.store(message), type=messages.Stored)


class TestViewAfterRestart:
    @pytest.mark.parametrize("is_notified_first", [False, True])
    def test_a_writer_with_a_view_that_a_reader_has_ended_is_refused(
        self, tmp_path: Path, is_notified_first: bool
    ) -> None:
        """Else what it stores would be missing at the disk that has read from this one."""

        async def scenario() -> None:
            disk = RunningDisk("a", tmp_path)
            await disk.start()
            view = view_of(disk, epoch=2)
            if is_notified_first:
                disk.disk_store.adopt(view)
            await list_held(disk, view)
            await disk.restart()
            stored = await store(disk, epoch=1)
            assert stored.newer_view == view
            assert len(disk.disk_store.state) == 0
            assert (await store(disk, epoch=2)).newer_view is None
            disk.stop()

        run(scenario)
