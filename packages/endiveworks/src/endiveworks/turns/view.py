"""Views: which disks store turns and ledgers, and which of them form a quorum.

A record is committed once a write quorum of `tolerance + 1` disks has synced it. A recovery quorum
is a set of disks that intersects every write quorum, so that together they hold every committed
record. Each disk that joins the view reads from a recovery quorum, whose disks refuse older views
from then on. A read quorum intersects every write quorum and every recovery quorum. During a view
change, writes and reads need a quorum of both the members and the incoming disks.
"""

from collections.abc import Collection
from typing import NamedTuple

import msgspec

from ..decoding import checked_address, checked_integer

MAX_TOLERANCE = 1_000  # Disks that may be lost at once; far above any deployment.
VIEW_KEY = "/endiveworks/turns/view"  # Key of the key-value service that holds the view.


class Disk(NamedTuple):
    """A disk that can store turns.

    Attributes:
        host: Host that the disk belongs to.
        folder: Random id of its data folder; a lost disk returns with a new id.
        address: Address at which the host's process takes messages of other hosts, as "ip:port".
        failure_domain: Failure domain of the host.
        region: Region of the failure domain.
    """

    host: str
    folder: str
    address: str
    failure_domain: str
    region: str


class View(NamedTuple):
    """The set of disks in use.

    Attributes:
        epoch: Number of changes to the view so far.
        tolerance: Number of disks that may be lost at the same time.
        members: Disks that serve reads.
        incoming: Disks that replace the members once the new ones among them (all of them, when
            there are fewer than members) hold every committed record; empty when no change is in
            progress.
        synced: Folders of the incoming disks that already hold every committed record.
    """

    epoch: int
    tolerance: int
    members: tuple[Disk, ...]
    incoming: tuple[Disk, ...] = ()
    synced: tuple[str, ...] = ()


def encode(view: View) -> bytes:
    """Encodes a view."""
    return msgspec.json.encode(view)


def decode(data: bytes) -> View:
    """Decodes a view.

    Raises:
        ValueError: The bytes are not a valid view.
    """
    try:
        view = msgspec.json.decode(data, type=View)
    except RecursionError as exc:
        raise ValueError(f"the view is nested too deeply: {exc}") from exc
    checked_integer(view.epoch, 1)
    checked_integer(view.tolerance, 0, MAX_TOLERANCE)
    if not view.members:
        raise ValueError("the view has no members")
    for disks in (view.members, view.incoming):
        if len({disk.folder for disk in disks}) != len(disks):
            raise ValueError("the view has the same disk twice")
        for disk in disks:
            checked_address(disk.address)
    return view


def full_size(tolerance: int) -> int:
    """Returns how many disks a view needs to stay available while `tolerance` disks are down."""
    return 2 * tolerance + 1


def all_disks(view: View) -> tuple[Disk, ...]:
    """Returns every disk that receives writes, members first."""
    folders = {disk.folder for disk in view.members}
    return view.members + tuple(disk for disk in view.incoming if disk.folder not in folders)


def is_write_quorum(view: View, folders: Collection[str]) -> bool:
    """Returns whether a record synced by these disks is committed."""
    if not _has_at_least(view.members, folders, _write_quorum(view.members, view.tolerance)):
        return False
    return not view.incoming or _has_at_least(
        view.incoming, folders, _write_quorum(view.incoming, view.tolerance)
    )


def is_read_quorum(view: View, folders: Collection[str]) -> bool:
    """Returns whether replies from these disks include every committed record.

    If the view had changed without the reader's knowledge, at least one of them would have refused.
    During a change both sets need a quorum, since the change may have ended by now.
    """
    if not _has_at_least(view.members, folders, _read_quorum(view.members, view.tolerance)):
        return False
    return not view.incoming or _has_at_least(
        view.incoming, folders, _read_quorum(view.incoming, view.tolerance)
    )


def is_recovery_quorum(view: View, folders: Collection[str]) -> bool:
    """Returns whether these disks together hold every committed record."""
    quorum = _write_quorum(view.members, view.tolerance)
    return _has_at_least(view.members, folders, len(view.members) - quorum + 1)


def disks_to_sync(view: View) -> tuple[Disk, ...]:
    """Returns the incoming disks that must read from a recovery quorum before the change ends."""
    if len(view.incoming) < len(view.members):
        # With fewer disks a recovery quorum is smaller, so each disk must hold every record.
        return view.incoming
    folders = {disk.folder for disk in view.members}
    return tuple(disk for disk in view.incoming if disk.folder not in folders)


def _write_quorum(members: Collection[Disk], tolerance: int) -> int:
    return min(tolerance + 1, len(members))


def _read_quorum(members: Collection[Disk], tolerance: int) -> int:
    quorum = _write_quorum(members, tolerance)
    return max(quorum, len(members) - quorum + 1)


def _has_at_least(members: Collection[Disk], folders: Collection[str], needed: int) -> bool:
    return sum(disk.folder in folders for disk in members) >= needed
