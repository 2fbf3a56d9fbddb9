"""Pure functions that compute view changes when disks are lost, retired or added."""

from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from .view import (
    Disk,
    View,
    all_disks,
    disks_to_sync,
    full_size,
    is_recovery_quorum,
    is_write_quorum,
)

# A live host registers again within about a second after its registration was lost.
EVICT_AFTER_S = 1.2


class DiskStatus(NamedTuple):
    """Registration and responsiveness of one host's disk.

    Attributes:
        disk: The disk, as last registered.
        absent_s: Time for which its registration has been missing; 0 while it is registered.
        unresponsive: Whether the host has not responded to several consecutive pings of this host.
    """

    disk: Disk
    absent_s: float = 0.0
    unresponsive: bool = False

    def is_usable(self) -> bool:
        """Returns whether the disk may join a view."""
        return not self.absent_s and not self.unresponsive


def first_view(
    tolerance: int, statuses: Mapping[str, DiskStatus], accept_fewer: bool
) -> View | None:
    """Returns the view of a new deployment, or None while too few disks are registered.

    Args:
        tolerance: Disks that may be lost at once.
        statuses: Status of the hosts with disks, by host name.
        accept_fewer: Whether fewer disks than a full view needs suffice, since no more are
            expected to register.
    """
    available = _order_by_spread([s.disk for s in statuses.values() if s.is_usable()])
    size = full_size(tolerance)
    if len(available) < size and not (accept_fewer and len(available) > tolerance):
        return None
    return View(1, tolerance, tuple(available[:size]))


def next_view(
    view: View, statuses: Mapping[str, DiskStatus], leaving: Collection[str]
) -> View | None:
    """Returns the view that should replace the current one, or None when no change is needed.

    Args:
        view: The current view.
        statuses: Status of the hosts with disks, by host name; a member that is missing here
            counts as present.
        leaving: Hosts whose disks are to be emptied before they are retired.
    """
    if view.incoming:
        return _end_change(view, statuses)
    lost = next((disk for disk in view.members if _is_lost(disk, statuses)), None)
    retiring = next((disk for disk in view.members if disk.host in leaving), None)
    spare = _choose_spare(view, statuses, leaving, lost or retiring)
    if lost is not None:
        returned = statuses[lost.host].disk if lost.host in statuses else None
        if spare is None and returned is not None and returned.folder != lost.folder:
            spare = returned
        if spare is not None:
            return _replace_disk(view, lost, spare)
    reduced = _reduced_view(view, statuses)
    if reduced is not None:
        return reduced
    if retiring is not None and (spare is not None or len(view.members) > 1):
        return _replace_disk(view, retiring, spare)
    if spare is not None and len(view.members) < full_size(view.tolerance):
        return _begin_change(view, (*view.members, spare))
    return None


def is_emptied(view: View, host: str) -> bool:
    """Returns whether the disk of a host is no longer used, with no view change in progress."""
    return not view.incoming and all(disk.host != host for disk in view.members)


def _reduced_view(view: View, statuses: Mapping[str, DiskStatus]) -> View | None:
    """Returns a view of the available disks if they are a recovery but no write quorum, or None.

    In a view of full size the other disks still form a write quorum. Unavailable disks then stay
    members, and a host that returns soon has little to catch up on.
    """
    kept = tuple(disk for disk in view.members if not _is_unavailable(disk, statuses))
    folders = [disk.folder for disk in kept]
    if is_write_quorum(view, folders) or not is_recovery_quorum(view, folders):
        return None
    return _begin_change(view, kept)


def _end_change(view: View, statuses: Mapping[str, DiskStatus]) -> View | None:
    unsynced = [disk for disk in disks_to_sync(view) if disk.folder not in view.synced]
    if not unsynced:
        return View(view.epoch + 1, view.tolerance, view.incoming)
    if any(_is_lost(disk, statuses) for disk in unsynced) or _blocks_writes(view, statuses):
        return undo_change(view)
    return None


def undo_change(view: View) -> View:
    """Returns the view without the change in progress.

    Nothing is lost: every write after the change began is also on a write quorum of the members.
    """
    return View(view.epoch + 1, view.tolerance, view.members)


def _blocks_writes(view: View, statuses: Mapping[str, DiskStatus]) -> bool:
    """Returns whether records could be written if the change in progress were undone, but not now.

    A host that only doesn't respond is waited for otherwise: the change would begin anew with it
    or with a disk that has to read everything from the start.
    """
    available = [d.folder for d in all_disks(view) if not _is_unavailable(d, statuses)]
    return not is_write_quorum(view, available) and is_write_quorum(undo_change(view), available)


def _replace_disk(view: View, old: Disk, new: Disk | None) -> View:
    kept = tuple(disk for disk in view.members if disk.folder != old.folder)
    return _begin_change(view, kept if new is None else (*kept, new))


def _begin_change(view: View, incoming: tuple[Disk, ...]) -> View:
    return View(view.epoch + 1, view.tolerance, view.members, incoming)


def _is_lost(disk: Disk, statuses: Mapping[str, DiskStatus]) -> bool:
    status = statuses.get(disk.host)
    if status is None:
        return False
    return status.disk.folder != disk.folder or status.absent_s > EVICT_AFTER_S


def _is_unavailable(disk: Disk, statuses: Mapping[str, DiskStatus]) -> bool:
    """Returns whether a disk is lost or doesn't respond, perhaps only for a moment."""
    status = statuses.get(disk.host)
    return _is_lost(disk, statuses) or (status is not None and status.unresponsive)


def _choose_spare(
    view: View,
    statuses: Mapping[str, DiskStatus],
    leaving: Collection[str],
    old: Disk | None,
) -> Disk | None:
    """Returns the disk that should join the view; prefers the most even spread over regions.

    Args:
        view: The current view.
        statuses: Status of the hosts with disks, by host name.
        leaving: Hosts whose disks are to be emptied before they are retired.
        old: The member to replace; None to add a disk.
    """
    members = {disk.host for disk in view.members}
    free = [
        status.disk
        for name, status in sorted(statuses.items())
        if name not in members and name not in leaving and status.is_usable()
    ]
    staying = [disk for disk in view.members if disk != old]
    return min(free, key=_colocation_key(staying), default=None)


def _order_by_spread(candidates: Sequence[Disk]) -> list[Disk]:
    """Orders disks so that any first n of them span regions evenly, and many failure domains.

    Callers in the region with most of the disks don't wait for another region, and callers in
    the other region send each record across regions once.
    """
    remaining = sorted(candidates)
    ordered: list[Disk] = []
    while remaining:
        ordered.append(min(remaining, key=_colocation_key(ordered)))
        remaining.remove(ordered[-1])
    return ordered


def _colocation_key(chosen: Sequence[Disk]) -> Callable[[Disk], tuple[int, int]]:
    """Returns a sort key: how many chosen disks share a disk's region, then its failure domain."""
    regions = Counter(disk.region for disk in chosen)
    domains = Counter(disk.failure_domain for disk in chosen)
    return lambda disk: (regions[disk.region], domains[disk.failure_domain])
