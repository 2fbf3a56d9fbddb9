"""Keeps the view of the disks in use: proposes changes and reads what a new disk lacks."""

import asyncio
import random
import time
from collections.abc import Callable, Mapping

from endiveworks.errors import Failure
from endiveworks.gateway.picture import Picture
from endiveworks.kvservice.kv import Kv, Swap, Swapped
from endiveworks.members.member import Member
from endiveworks.telemetry import logs
from endiveworks.turns.change import Sighting, first_view, is_emptied, next_view
from endiveworks.turns.view import Disk, View, disks, encode, full_size, must_sync
from returns.result import Result, Success

from .catch_up import catch_up
from .host import DiskHost
from .pings import Pings

VIEW_KEY = "/endiveworks/turns/view"
DISK_ROLE = "disk"
PERIOD_S = 0.1  # Time between looks at the hosts; a fraction of the time to evict one.
# Time in which the hosts of a new deployment have registered, those of far regions as well.
FIRST_VIEW_SETTLE_S = 1.5
# Time after which no more hosts are waited for.
FIRST_VIEW_AFTER_S = 4.0
# Spreads proposals of several hosts, of which one is enough.
PROPOSAL_SPREAD_S = 0.3
# Time after which a proposal has come back by the watch, or was lost.
PROPOSAL_SHOWN_S = 1.0
# Hosts that have been away for so long are not looked for any more.
FORGET_AFTER_S = 60.0
# A host that no writer has asked for so long may be cut off itself, so it lets others go first.
UNASKED_S = 0.5
UNASKED_DELAY_S = 1.0  # Time by which such a host's proposal comes later.


class Agreement:
    """What this host does for the view.

    Args:
        kv: The key-value service.
        host: The disk of this host.
        name: Name of this host.
        region: Its region, whose disks are read first.
        tolerance: Disks that may be lost at once.
        report_emptied: Tells the operator that nothing depends on the disk of a host any more.
    """

    def __init__(
        self,
        kv: Kv,
        host: DiskHost,
        name: str,
        region: str,
        tolerance: int,
        report_emptied: Callable[[str], bool],
    ) -> None:
        self._kv = kv
        self._host = host
        self._name = name
        self._region = region
        self._tolerance = tolerance
        self._report_emptied = report_emptied
        self._picture: Picture | None = None
        self._started_s = time.monotonic()
        self._absent_since: dict[str, float] = {}
        self._seen: dict[str, Disk] = {}
        self._synced_epoch = 0
        self._reported: set[str] = set()
        self._proposed_at = -1
        self._proposed_s = 0.0
        self._rng = random.Random()
        self._pings = Pings(name)

    def take(self, picture: Picture) -> None:
        """Takes what the key-value service says."""
        self._picture = picture
        self._host.adopt(picture.view)

    async def run(self) -> None:
        """Looks for changes to make, again and again."""
        pinging = asyncio.create_task(self._pings.run())
        try:
            while True:
                await asyncio.sleep(PERIOD_S)
                picture = self._picture
                if picture is not None:
                    await self._step(picture)
        finally:
            pinging.cancel()

    async def _step(self, picture: Picture) -> None:
        sightings = self._sightings(picture.members, picture.view)
        if picture.view is None:
            waited_s = time.monotonic() - self._started_s
            proposed = None
            if waited_s > FIRST_VIEW_SETTLE_S:
                complete = waited_s > FIRST_VIEW_AFTER_S
                proposed = first_view(self._tolerance, sightings, complete)
        else:
            await self._sync_if_due(picture.view)
            proposed = self._with_own_sync(picture.view) or next_view(
                picture.view, sightings, picture.leaving
            )
        if proposed is not None:
            if not self._waits_for_own(picture):
                await self._propose(picture, proposed)
        elif picture.view is not None:
            await self._report(picture.view, picture.leaving)

    def _sightings(self, members: Mapping[str, Member], view: View | None) -> dict[str, Sighting]:
        now_s = time.monotonic()
        present = {m.host: _disk(m) for m in members.values() if m.role == DISK_ROLE}
        self._seen |= {disk.host: disk for disk in view.members} if view else {}
        self._seen |= present
        for name in self._seen:
            if name in present:
                self._absent_since.pop(name, None)
            else:
                self._absent_since.setdefault(name, now_s)
        self._forget_gone(view, now_s)
        self._pings.follow(self._to_ping(view))
        return {
            name: Sighting(disk, self._absent_s(name, now_s), self._pings.is_silent(disk))
            for name, disk in self._seen.items()
        }

    def _forget_gone(self, view: View | None, now_s: float) -> None:
        used = {disk.host for disk in disks(view)} if view else set()
        for name, since_s in list(self._absent_since.items()):
            if now_s - since_s > FORGET_AFTER_S and name not in used:
                del self._seen[name], self._absent_since[name]

    def _to_ping(self, view: View | None) -> tuple[Disk, ...]:
        """Returns the hosts whose silence could change the view, if this one is in use."""
        if view is None:
            return ()
        used = disks(view)
        if all(disk.folder != self._host.folder for disk in used):
            return ()
        if len(view.members) < full_size(view.tolerance):
            return tuple({disk.host: disk for disk in (*used, *self._seen.values())}.values())
        return used

    def _absent_s(self, name: str, now_s: float) -> float:
        since_s = self._absent_since.get(name)
        return max(0.001, now_s - since_s) if since_s is not None else 0.0

    def _with_own_sync(self, view: View) -> View | None:
        folder = self._host.folder
        needed = any(disk.folder == folder for disk in must_sync(view))
        if not needed or folder in view.synced or self._synced_epoch != view.epoch:
            return None
        return view._replace(synced=(*view.synced, folder))

    async def _propose(self, picture: Picture, proposed: View) -> None:
        own = self._host.folder in proposed.synced
        if not own:
            delay_s = self._rng.random() * PROPOSAL_SPREAD_S
            if len(proposed.incoming) < len(proposed.members) and self._is_unasked():
                delay_s += UNASKED_DELAY_S
            await asyncio.sleep(delay_s)
            if self._picture is None or self._picture.view_revision != picture.view_revision:
                return
        self._proposed_at, self._proposed_s = picture.view_revision, time.monotonic()
        swap = Swap(VIEW_KEY, encode(proposed), picture.view_revision)
        done = await asyncio.to_thread(self._kv.swap, swap)
        logs.logger("turns").info(
            "view_proposed",
            epoch=proposed.epoch,
            copies=[disk.host for disk in proposed.members],
            owner=self._name,
            state=_swap_outcome(done),
            detail=", ".join(disk.host for disk in proposed.incoming),
        )

    def _waits_for_own(self, picture: Picture) -> bool:
        """Tells whether this host's last proposal may not have come back to it yet."""
        same = picture.view_revision == self._proposed_at
        return same and time.monotonic() - self._proposed_s < PROPOSAL_SHOWN_S

    def _is_unasked(self) -> bool:
        return time.monotonic() - self._host.asked_s > UNASKED_S

    async def _sync_if_due(self, view: View) -> None:
        folder = self._host.folder
        if self._synced_epoch == view.epoch or all(d.folder != folder for d in must_sync(view)):
            return
        if await catch_up(self._host, view, self._region):
            self._synced_epoch = view.epoch

    async def _report(self, view: View, leaving: frozenset[str]) -> None:
        for name in leaving - self._reported:
            if is_emptied(view, name) and await asyncio.to_thread(self._report_emptied, name):
                self._reported.add(name)
                logs.logger("turns").info("disk_emptied", peer=name, epoch=view.epoch)
        self._reported &= leaving


def _disk(member: Member) -> Disk:
    return Disk(member.host, member.folder, member.address, member.failure_domain, member.region)


def _swap_outcome(result: Result[Swapped, Failure]) -> str:
    if not isinstance(result, Success):
        return str(result.failure())
    return "done" if result.unwrap().done else "another host was first"
