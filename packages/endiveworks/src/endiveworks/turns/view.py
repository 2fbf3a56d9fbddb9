"""Which disks hold turns and ledgers, and how many of them make a quorum.

A record counts once `tolerance + 1` disks have synced it. Enough disks to hold everything between
them are a cover; each disk that takes a place reads from a cover, whose disks refuse older views
from then on. A read counts once so many disks have answered that one of them is in any cover. While
the disks change, writes and reads have to meet both sets.
"""

from collections.abc import Collection
from typing import NamedTuple

import msgspec


class Disk(NamedTuple):
    """A disk that can hold turns.

    Attributes:
        host: Host that the disk belongs to.
        folder: Random id of its data folder; a disk that was lost comes back with another.
        address: Address of the host's process for messages between hosts, as "ip:port".
        failure_domain: Failure domain of the host.
        region: Region of the failure domain.
    """

    host: str
    folder: str
    address: str
    failure_domain: str
    region: str


class View(NamedTuple):
    """The disks in use.

    Attributes:
        epoch: Number of changes to the view so far.
        tolerance: Disks that may be lost at once.
        members: Disks that answer reads.
        incoming: Disks that take the members' place once those of them that are new, or all when
            there are fewer than before, hold everything; empty when no change is under way.
        synced: Folders of the incoming disks that already hold everything.
    """

    epoch: int
    tolerance: int
    members: tuple[Disk, ...]
    incoming: tuple[Disk, ...] = ()
    synced: tuple[str, ...] = ()


def encode(view: View) -> bytes:
    """Returns the bytes of a view."""
    return msgspec.json.encode(view)


def decode(data: bytes) -> View:
    """Returns the view that bytes hold; raises ValueError when they hold none."""
    return msgspec.json.decode(data, type=View)


def full_size(tolerance: int) -> int:
    """Returns how many disks keep service going while as many as tolerated are away."""
    return 2 * tolerance + 1


def disks(view: View) -> tuple[Disk, ...]:
    """Returns every disk that takes writes, members first."""
    folders = {disk.folder for disk in view.members}
    return view.members + tuple(disk for disk in view.incoming if disk.folder not in folders)


def is_written(view: View, folders: Collection[str]) -> bool:
    """Tells whether a record that these disks have synced counts."""
    if not _enough(view.members, folders, _write_quorum(view.members, view.tolerance)):
        return False
    return not view.incoming or _enough(
        view.incoming, folders, _write_quorum(view.incoming, view.tolerance)
    )


def is_read(view: View, folders: Collection[str]) -> bool:
    """Tells whether the answers of these disks hold every record that counts.

    One of them would have refused if the disks in use had changed without the reader's knowledge;
    during a change they have to meet both sets, since it may have ended by now.
    """
    if not _enough(view.members, folders, _read_quorum(view.members, view.tolerance)):
        return False
    return not view.incoming or _enough(
        view.incoming, folders, _read_quorum(view.incoming, view.tolerance)
    )


def is_cover(view: View, folders: Collection[str]) -> bool:
    """Tells whether these disks hold every record that counts between them."""
    quorum = _write_quorum(view.members, view.tolerance)
    return _enough(view.members, folders, len(view.members) - quorum + 1)


def must_sync(view: View) -> tuple[Disk, ...]:
    """Returns the incoming disks that have to read a cover before they replace the members."""
    if len(view.incoming) < len(view.members):
        # Fewer disks make a smaller cover, so each of them has to hold everything.
        return view.incoming
    folders = {disk.folder for disk in view.members}
    return tuple(disk for disk in view.incoming if disk.folder not in folders)


def _write_quorum(members: Collection[Disk], tolerance: int) -> int:
    return min(tolerance + 1, len(members))


def _read_quorum(members: Collection[Disk], tolerance: int) -> int:
    quorum = _write_quorum(members, tolerance)
    return max(quorum, len(members) - quorum + 1)


def _enough(members: Collection[Disk], folders: Collection[str], needed: int) -> bool:
    return sum(disk.folder in folders for disk in members) >= needed
