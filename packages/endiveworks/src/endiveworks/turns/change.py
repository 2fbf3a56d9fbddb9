"""The next change of the view: disks that are lost, leave or come; a pure function."""

from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from .view import Disk, View, full_size, is_cover, is_written, must_sync

# A host that lives registers again within about a second after its registration was lost.
EVICT_AFTER_S = 1.2


class Sighting(NamedTuple):
    """What the platform's list of disks says of one host.

    Attributes:
        disk: The disk as last registered.
        absent_s: Seconds for which its registration has been missing; 0 while it is there.
        silent: Whether the host has not answered this one several times in a row.
    """

    disk: Disk
    absent_s: float = 0.0
    silent: bool = False

    def is_usable(self) -> bool:
        """Tells whether the disk may take a place."""
        return not self.absent_s and not self.silent


def first_view(tolerance: int, sightings: Mapping[str, Sighting], complete: bool) -> View | None:
    """Returns the view of a new deployment, or None while too few disks are known.

    Args:
        tolerance: Disks that may be lost at once.
        sightings: Hosts with disks by name.
        complete: Whether no further disks are expected.
    """
    present = _spread([s.disk for s in sightings.values() if s.is_usable()])
    size = full_size(tolerance)
    if len(present) < size and not (complete and len(present) > tolerance):
        return None
    return View(1, tolerance, tuple(present[:size]))


def next_view(
    view: View, sightings: Mapping[str, Sighting], leaving: Collection[str]
) -> View | None:
    """Returns the view that should follow, or None when the view may stay.

    Args:
        view: The view in force.
        sightings: Hosts with disks by name; a member that is in none counts as present.
        leaving: Hosts whose disks are to be emptied.
    """
    if view.incoming:
        return _end_change(view, sightings)
    lost = next((disk for disk in view.members if _is_lost(disk, sightings)), None)
    emptied = next((disk for disk in view.members if disk.host in leaving), None)
    spare = _spare(view, sightings, leaving, lost or emptied)
    if lost is not None:
        back = sightings[lost.host].disk if lost.host in sightings else None
        if spare is None and back is not None and back.folder != lost.folder:
            spare = back
        if spare is not None:
            return _replace(view, lost, spare)
    shrunk = _shrunk(view, sightings)
    if shrunk is not None:
        return shrunk
    if emptied is not None and (spare is not None or len(view.members) > 1):
        return _replace(view, emptied, spare)
    if spare is not None and len(view.members) < full_size(view.tolerance):
        return _begin(view, (*view.members, spare))
    return None


def is_emptied(view: View, host: str) -> bool:
    """Tells whether nothing depends on the disk of a host any more."""
    return not view.incoming and all(disk.host != host for disk in view.members)


def _shrunk(view: View, sightings: Mapping[str, Sighting]) -> View | None:
    """Returns a view without the disks that are away if the others can't be written to otherwise.

    With as many disks as planned, the others are a quorum, and a host that is back soon needs to
    read little.
    """
    kept = tuple(disk for disk in view.members if not _is_away(disk, sightings))
    folders = [disk.folder for disk in kept]
    if is_written(view, folders) or not is_cover(view, folders):
        return None
    return _begin(view, kept)


def _end_change(view: View, sightings: Mapping[str, Sighting]) -> View | None:
    waiting = [disk for disk in must_sync(view) if disk.folder not in view.synced]
    if not waiting:
        return View(view.epoch + 1, view.tolerance, view.incoming)
    if any(_is_away(disk, sightings) for disk in waiting):
        # Every write since the change began is on a quorum of the members as well.
        return View(view.epoch + 1, view.tolerance, view.members)
    return None


def _replace(view: View, old: Disk, new: Disk | None) -> View:
    kept = tuple(disk for disk in view.members if disk.folder != old.folder)
    return _begin(view, kept if new is None else (*kept, new))


def _begin(view: View, incoming: tuple[Disk, ...]) -> View:
    return View(view.epoch + 1, view.tolerance, view.members, incoming)


def _is_lost(disk: Disk, sightings: Mapping[str, Sighting]) -> bool:
    seen = sightings.get(disk.host)
    if seen is None:
        return False
    return seen.disk.folder != disk.folder or seen.absent_s > EVICT_AFTER_S


def _is_away(disk: Disk, sightings: Mapping[str, Sighting]) -> bool:
    """Tells whether a disk does not answer, though its host may be back in a moment."""
    seen = sightings.get(disk.host)
    return _is_lost(disk, sightings) or (seen is not None and seen.silent)


def _spare(
    view: View,
    sightings: Mapping[str, Sighting],
    leaving: Collection[str],
    old: Disk | None,
) -> Disk | None:
    """Returns the disk that should take a place, where it makes regions and domains most even.

    Args:
        view: The view in force.
        sightings: Hosts with disks by name.
        leaving: Hosts whose disks are to be emptied.
        old: The member whose place it is; None for a further place.
    """
    members = {disk.host for disk in view.members}
    free = [
        seen.disk
        for name, seen in sorted(sightings.items())
        if name not in members and name not in leaving and seen.is_usable()
    ]
    staying = [disk for disk in view.members if disk != old]
    return min(free, key=_crowding(staying), default=None)


def _spread(found: Sequence[Disk]) -> list[Disk]:
    """Orders disks so that each run of them spans regions evenly, and many failure domains.

    Callers of a region with most of the disks wait for no other region, and those of the other
    one send a record there once.
    """
    left = sorted(found)
    ordered: list[Disk] = []
    while left:
        ordered.append(min(left, key=_crowding(ordered)))
        left.remove(ordered[-1])
    return ordered


def _crowding(chosen: Sequence[Disk]) -> Callable[[Disk], tuple[int, int]]:
    """Returns a function that counts the chosen disks in the region and the domain of another."""
    regions = Counter(disk.region for disk in chosen)
    domains = Counter(disk.failure_domain for disk in chosen)
    return lambda disk: (regions[disk.region], domains[disk.failure_domain])
