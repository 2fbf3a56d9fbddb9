"""Manages the view of the disks in use: proposes changes and synchronizes a joining disk."""

import asyncio
import random
import time
from collections.abc import Callable, Mapping
from typing import NamedTuple

from endiveworks.errors import Failure
from endiveworks.gateway.cluster_state import ClusterState
from endiveworks.kvservice.kv import Kv, Swap, SwapResult
from endiveworks.members.member import Member
from endiveworks.telemetry import logs
from endiveworks.turns.view import (
    VIEW_KEY,
    Disk,
    View,
    all_disks,
    disks_to_sync,
    encode,
    full_size,
)
from endiveworks.turns.view_change import DiskStatus, first_view, is_emptied, next_view, undo_change
from returns.result import Result, Success

from ..supervised_task import run_supervised
from .catch_up import catch_up
from .disk_store import DiskStore
from .failure_detector import FailureDetector

DISK_ROLE = "disk"
POLL_PERIOD_S = 0.1  # Interval between checks of the hosts; a fraction of EVICT_AFTER_S.
# Hosts of a new deployment, including those in remote regions, register within this time.
FIRST_VIEW_SETTLE_S = 1.5
# After this time the first view is proposed without waiting for further hosts.
FIRST_VIEW_TIMEOUT_S = 4.0
# Upper bound of the random delay before a proposal. Several hosts detect the same change, and one
# proposal is enough.
PROPOSAL_JITTER_S = 0.3
# By this time the watch has delivered an accepted proposal; otherwise the proposal was lost.
PROPOSAL_TIMEOUT_S = 1.0
# A host that is absent for longer and not in the view is no longer tracked.
FORGET_AFTER_S = 60.0
# A host that has received no writes for this long may itself be partitioned, so it delays its
# proposals and lets other hosts propose first.
ISOLATED_AFTER_S = 0.5
ISOLATED_DELAY_S = 1.0  # Additional delay before a proposal of such a host.
# A joining disk that has read nothing for this long gives its place up. The others wait for it
# meanwhile, since they can't tell whether it is cut off or slow.
SYNC_STALLED_S = 5.0


class _SyncProgress(NamedTuple):
    """How far this disk had come in a view.

    Attributes:
        epoch: Epoch of the view.
        turns: Number of turns that it held.
        since_s: Monotonic time since which it has held so many.
    """

    epoch: int
    turns: int
    since_s: float


class ViewManager:
    """Proposes view changes for this host and keeps its disk in sync with the view.

    Args:
        kv: The key-value service.
        disk_store: The store on this host's disk.
        name: Name of this host.
        region: Region of this host; disks in it are read first.
        tolerance: Disks that may be lost at once.
        report_emptied: Reports to the operator that a host's disk is no longer needed; returns
            whether the report was written.
    """

    def __init__(
        self,
        kv: Kv,
        disk_store: DiskStore,
        name: str,
        region: str,
        tolerance: int,
        report_emptied: Callable[[str], bool],
    ) -> None:
        self._kv = kv
        self._disk_store = disk_store
        self._name = name
        self._region = region
        self._tolerance = tolerance
        self._report_emptied = report_emptied
        self._state: ClusterState | None = None
        self._started_s = time.monotonic()
        self._absent_since_s: dict[str, float] = {}
        self._known_disks: dict[str, Disk] = {}
        self._synced_epoch = 0
        self._sync = _SyncProgress(0, 0, 0.0)
        self._given_up_epoch = 0
        self._reported_hosts: set[str] = set()
        self._proposed_revision = -1
        self._proposed_at_s = 0.0
        self._rng = random.Random()
        self._failure_detector = FailureDetector(name)

    def on_state(self, state: ClusterState) -> None:
        """Updates the view from a new cluster state."""
        self._state = state
        self._disk_store.adopt(state.view)

    async def run(self) -> None:
        """Checks periodically whether the view must change."""
        ping_task = asyncio.create_task(run_supervised("pings", self._failure_detector.run))
        try:
            while True:
                await asyncio.sleep(POLL_PERIOD_S)
                state = self._state
                if state is not None:
                    await self._step(state)
        finally:
            ping_task.cancel()

    async def _step(self, state: ClusterState) -> None:
        statuses = self._disk_statuses(state.members, state.view)
        if state.view is None and state.view_revision:
            return  # The view is there but unreadable; a first view would forget all turns.
        if state.view is None:
            waited_s = time.monotonic() - self._started_s
            proposed = None
            if waited_s > FIRST_VIEW_SETTLE_S:
                accept_fewer = waited_s > FIRST_VIEW_TIMEOUT_S
                proposed = first_view(self._tolerance, statuses, accept_fewer)
        else:
            await self._sync_if_needed(state.view)
            proposed = self._end_own_sync(state.view) or next_view(
                state.view, statuses, state.leaving
            )
        if proposed is not None:
            if not self._has_pending_proposal(state):
                await self._propose(state, proposed, _reason(statuses))
        elif state.view is not None:
            await self._report_emptied_hosts(state.view, state.leaving)

    def _disk_statuses(
        self, members: Mapping[str, Member], view: View | None
    ) -> dict[str, DiskStatus]:
        now_s = time.monotonic()
        present = {m.host: _to_disk(m) for m in members.values() if m.role == DISK_ROLE}
        self._known_disks |= {disk.host: disk for disk in view.members} if view else {}
        self._known_disks |= present
        for name in self._known_disks:
            if name in present:
                self._absent_since_s.pop(name, None)
            else:
                self._absent_since_s.setdefault(name, now_s)
        self._drop_absent_hosts(view, now_s)
        self._failure_detector.set_targets(self._ping_targets(view))
        return {
            name: DiskStatus(
                disk, self._absent_s(name, now_s), self._failure_detector.is_unresponsive(disk)
            )
            for name, disk in self._known_disks.items()
        }

    def _drop_absent_hosts(self, view: View | None, now_s: float) -> None:
        in_use = {disk.host for disk in all_disks(view)} if view else set()
        for name, since_s in list(self._absent_since_s.items()):
            if now_s - since_s > FORGET_AFTER_S and name not in in_use:
                del self._known_disks[name], self._absent_since_s[name]

    def _ping_targets(self, view: View | None) -> tuple[Disk, ...]:
        """Returns the disks whose failure could change the view, if this disk is in use."""
        if view is None:
            return ()
        in_use = all_disks(view)
        if all(disk.folder != self._disk_store.folder for disk in in_use):
            return ()
        if len(view.members) < full_size(view.tolerance):
            return tuple(
                {disk.host: disk for disk in (*in_use, *self._known_disks.values())}.values()
            )
        return in_use

    def _absent_s(self, name: str, now_s: float) -> float:
        """Returns how long a host has been absent; 0 means that it is present."""
        since_s = self._absent_since_s.get(name)
        return max(0.001, now_s - since_s) if since_s is not None else 0.0

    def _end_own_sync(self, view: View) -> View | None:
        """Returns the view in which this disk is synced, or has given up; None before that."""
        folder = self._disk_store.folder
        needed = any(disk.folder == folder for disk in disks_to_sync(view))
        if not needed or folder in view.synced:
            return None
        if self._synced_epoch == view.epoch:
            return view._replace(synced=(*view.synced, folder))
        if time.monotonic() - self._sync.since_s > SYNC_STALLED_S:
            if self._given_up_epoch != view.epoch:
                self._given_up_epoch = view.epoch
                logs.logger("turns").warning("sync_given_up", epoch=view.epoch)
            return undo_change(view)
        return None

    async def _propose(self, state: ClusterState, proposed: View, reason: str) -> None:
        is_own_sync = self._disk_store.folder in proposed.synced
        if not is_own_sync:
            delay_s = self._rng.random() * PROPOSAL_JITTER_S
            if len(proposed.incoming) < len(proposed.members) and self._may_be_isolated():
                delay_s += ISOLATED_DELAY_S
            await asyncio.sleep(delay_s)
            if self._state is None or self._state.view_revision != state.view_revision:
                return
        self._proposed_revision, self._proposed_at_s = state.view_revision, time.monotonic()
        swap = Swap(VIEW_KEY, encode(proposed), state.view_revision)
        swapped = await asyncio.to_thread(self._kv.swap, swap)
        logs.logger("turns").info(
            "view_proposed",
            epoch=proposed.epoch,
            copies=[disk.host for disk in proposed.members],
            owner=self._name,
            state=_swap_outcome(swapped),
            reason=reason,
            detail=", ".join(disk.host for disk in proposed.incoming),
        )

    def _has_pending_proposal(self, state: ClusterState) -> bool:
        """Returns whether the watch may still deliver this host's last proposal."""
        same = state.view_revision == self._proposed_revision
        return same and time.monotonic() - self._proposed_at_s < PROPOSAL_TIMEOUT_S

    def _may_be_isolated(self) -> bool:
        return time.monotonic() - self._disk_store.last_store_s > ISOLATED_AFTER_S

    async def _sync_if_needed(self, view: View) -> None:
        folder = self._disk_store.folder
        if self._synced_epoch == view.epoch or all(d.folder != folder for d in disks_to_sync(view)):
            return
        if self._sync.epoch != view.epoch:
            self._sync = _SyncProgress(view.epoch, len(self._disk_store.state), time.monotonic())
        if await catch_up(self._disk_store, view, self._region):
            self._synced_epoch = view.epoch
        if len(self._disk_store.state) != self._sync.turns:
            self._sync = _SyncProgress(view.epoch, len(self._disk_store.state), time.monotonic())

    async def _report_emptied_hosts(self, view: View, leaving: frozenset[str]) -> None:
        for name in leaving - self._reported_hosts:
            if is_emptied(view, name) and await asyncio.to_thread(self._report_emptied, name):
                self._reported_hosts.add(name)
                logs.logger("turns").info("disk_emptied", peer=name, epoch=view.epoch)
        self._reported_hosts &= leaving


def _to_disk(member: Member) -> Disk:
    return Disk(member.host, member.folder, member.address, member.failure_domain, member.region)


def _reason(statuses: Mapping[str, DiskStatus]) -> str:
    """Returns which hosts this one takes for unavailable, for the log."""
    absent = [name for name, status in statuses.items() if status.absent_s]
    unresponsive = [name for name, status in statuses.items() if status.unresponsive]
    return f"absent: {', '.join(absent) or '-'}; unresponsive: {', '.join(unresponsive) or '-'}"


def _swap_outcome(result: Result[SwapResult, Failure]) -> str:
    if not isinstance(result, Success):
        return str(result.failure())
    return "done" if result.unwrap().done else "another host changed the view first"
