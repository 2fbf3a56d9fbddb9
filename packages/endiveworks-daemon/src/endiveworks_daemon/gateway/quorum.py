"""Quorum calls to the disks that hold turns: near disks first, with hedging when they are late."""

import asyncio
import time
from collections.abc import Callable, Collection, Coroutine, Mapping, Sequence
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

import msgspec
from endiveworks.errors import Code, Failure
from endiveworks.gateway.placement import Location
from endiveworks.telemetry import logs
from endiveworks.turns import messages
from endiveworks.turns.view import Disk, View, all_disks, is_read_quorum, is_write_quorum
from returns.result import Failure as Err
from returns.result import Result, Success

from .disk_links import DiskLinks

RPC_TIMEOUT_S = 0.7  # Several times the latency between regions plus a sync.
PROBE_PERIOD_S = 0.25  # Disks that are reachable again are detected within this time.
# Another disk is called if the pending ones have not replied within this time: the usual time of a
# sync plus network latency. HEDGE_FAR_S applies if one of them is in another region.
HEDGE_NEAR_S = 0.06
HEDGE_FAR_S = 0.12  # As HEDGE_NEAR_S, plus the round trip between regions.
# Time without a reply after which the link to a disk may be down; about twice the longest hedge.
LINK_LOST_AFTER_S = 0.25
SUSPECT_S = 1.5  # Time for which a disk that was late or failed is called last.


class Reply(Protocol):
    """Fields that every reply of a disk has."""

    @property
    def folder(self) -> str:
        """Id of the data folder that replies."""

    @property
    def newer_view(self) -> View | None:
        """The newer view because of which the call was refused; None if it was not refused."""


_R = TypeVar("_R", bound=Reply)

# Sends a message to a disk: disk, method, message, type of the reply, timeout in seconds.
DiskCall = Callable[..., Coroutine[Any, Any, Result[Any, Failure]]]


class QuorumCall(NamedTuple, Generic[_R]):
    """A call to several disks, and which replies complete it.

    Attributes:
        method: Method name of the message.
        reply_type: Type of the reply.
        build_message: Returns the message for a view.
        has_quorum: Tells whether replies of these folders suffice.
        is_sufficient: Tells whether one reply suffices alone; None if none does. Otherwise one disk
            is asked first, and more only if its reply doesn't suffice or is late.
        refused_s: Returns the time after which a disk that refused may accept; 0 if it accepted.
        is_final: Whether a disk's refusal ends the call. Otherwise other disks are called instead.
        preferred: Folders of the disks that are called first.
        on_reply: Called with each reply of a disk of the view.
    """

    method: str
    reply_type: type[_R]
    build_message: Callable[[View], object]
    has_quorum: Callable[[View, Collection[str]], bool]
    is_sufficient: Callable[[_R], bool] | None = None
    refused_s: Callable[[_R], float] = lambda _: 0.0
    is_final: bool = False
    preferred: Collection[str] = ()
    on_reply: Callable[[_R], None] = lambda _: None

    def suffices(self, reply: _R) -> bool:
        """Tells whether a reply suffices alone."""
        return self.is_sufficient is not None and self.is_sufficient(reply)


class Path(NamedTuple):
    """A disk and the function that sends it a message, directly or via a relay."""

    disk: Disk
    call: DiskCall
    via_relay: bool


class QuorumClient:
    """Calls the disks of the newest known view and tracks which of them are reachable.

    Attributes:
        on_view: Called with each newer view.
    """

    def __init__(self, here: Location) -> None:
        self._here = here
        self.view: View | None = None
        self.links = DiskLinks()
        self._suspected_until_s: dict[str, float] = {}
        self._unreachable: set[str] = set()
        # Folders whose address belongs to another folder now; they don't come back.
        self._erased: set[str] = set()
        self._last_reply_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self.on_view: Callable[[View], None] = lambda _: None

    def adopt(self, view: View | None) -> None:
        """Switches to a view if it is newer than the current one."""
        if view is None or (self.view is not None and view.epoch <= self.view.epoch):
            return
        self.view = view
        in_use = all_disks(view)
        logs.logger("turns").info(
            "view_adopted", epoch=view.epoch, copies=[disk.host for disk in in_use]
        )
        self.links.retain_only(in_use)
        self._unreachable &= {disk.address for disk in in_use}
        self._erased &= {disk.folder for disk in in_use}
        self.on_view(view)

    def is_reachable(self) -> bool:
        """Tells whether the disks that replied to their latest call suffice to write and read."""
        view = self.view
        if view is None:
            return False
        folders = [d.folder for d in self.present(view) if d.address not in self._unreachable]
        return is_write_quorum(view, folders) and is_read_quorum(view, folders)

    def is_in_use(self, address: str) -> bool:
        """Tells whether an address belongs to a disk of the current view."""
        return self.view is not None and any(d.address == address for d in all_disks(self.view))

    def present(self, view: View) -> list[Disk]:
        """Returns the disks of a view, except those that are known to have lost their data."""
        return [disk for disk in all_disks(view) if disk.folder not in self._erased]

    async def probe_forever(self) -> None:
        """Probes unreachable and relayed disks, so that no request has to detect their recovery."""
        while True:
            await asyncio.sleep(PROBE_PERIOD_S)
            view = self.view
            if view is None:
                continue
            present = self.present(view)
            unreachable = [d for d in present if d.address in self._unreachable]
            relayed = [d for d in present if self.links.is_relayed(d)]
            await asyncio.gather(
                *(
                    self._probe(view, disk, self.links.call_direct)
                    for disk in (*unreachable, *relayed)
                ),
                *(self._probe(view, disk, self.links.call_via_relay) for disk in unreachable),
            )

    async def _probe(self, view: View, disk: Disk, disk_call: DiskCall) -> None:
        message = messages.Fetch(view.epoch, "", [])
        result = await disk_call(disk, messages.FETCH, message, messages.Fetched, RPC_TIMEOUT_S)
        if isinstance(result, Success):
            self.adopt(result.unwrap().newer_view)
            if result.unwrap().folder == disk.folder:
                self._mark_reachable(disk)
            else:
                self._mark_erased(disk)

    async def call(self, call: QuorumCall[_R], timeout_s: float) -> Result[list[_R], Failure]:
        """Calls disks until the replies suffice, again if the view changes; returns the replies."""
        deadline_s = time.monotonic() + timeout_s
        while (view := self.view) is not None:
            outcome = await self._call(view, call, deadline_s)
            if not isinstance(outcome, View):
                return outcome
            self.adopt(outcome)
        detail = "no view of the disks is known yet"
        return Err(Failure(Code.UNREACHABLE, call.method, "", detail, not_run=True))

    async def _call(
        self, view: View, call: QuorumCall[_R], deadline_s: float
    ) -> Result[list[_R], Failure] | View:
        replies: dict[str, _R] = {}
        refusals: dict[str, float] = {}
        paths = self._paths(view, call.preferred)
        message = msgspec.msgpack.encode(call.build_message(view))  # All disks get the same bytes.
        pending: dict[asyncio.Task[Result[_R, Failure]], Disk] = {}
        while not call.has_quorum(view, replies):
            for path in _needed_paths(view, call, paths, replies, pending.values()):
                paths.remove(path)
                self._start_call(pending, path, call, message, deadline_s)
            remaining_s = deadline_s - time.monotonic()
            if not pending or remaining_s <= 0:
                break
            done, _ = await asyncio.wait(
                pending,
                timeout=min(remaining_s, self._hedge_s(pending.values())),
                return_when=asyncio.FIRST_COMPLETED,
            )
            hedge = None if done else self._path_to_hedge(paths, pending.values())
            if hedge is not None:
                paths.remove(hedge)
                self._start_call(pending, hedge, call, message, deadline_s)
            for task in done:
                disk = pending.pop(task)
                reply = self._accept_reply(disk, task.result())
                if reply is None:
                    continue
                if reply.newer_view is not None:
                    return reply.newer_view
                if call.suffices(reply):
                    return Success([reply])
                paths = [path for path in paths if path.disk.folder != disk.folder]
                _record_reply(call, disk, reply, replies, refusals)
            if refusals and call.is_final:
                break
        else:
            return Success(list(replies.values()))
        return Err(_failure(call.method, view, replies, refusals))

    def _start_call(
        self,
        pending: dict[asyncio.Task[Result[_R, Failure]], Disk],
        path: Path,
        call: QuorumCall[_R],
        message: bytes,
        deadline_s: float,
    ) -> None:
        timeout_s = min(RPC_TIMEOUT_S, max(0.0, deadline_s - time.monotonic()))
        task: asyncio.Task[Result[_R, Failure]] = asyncio.create_task(
            path.call(path.disk, call.method, message, call.reply_type, timeout_s)
        )
        # A reply that is no longer needed must still be received, so the task is kept until then.
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        pending[task] = path.disk

    def _accept_reply(self, disk: Disk, result: Result[_R, Failure]) -> _R | None:
        """Updates the state of a disk; returns its reply, or None if it doesn't count."""
        if not isinstance(result, Success):
            self._suspect([disk], str(result.failure()))
            if not self.links.is_relayed(disk):
                self._unreachable.add(disk.address)
            return None
        reply = result.unwrap()
        if reply.folder != disk.folder:
            self._mark_erased(disk)
            return reply if reply.newer_view is not None else None
        self._last_reply_s[disk.address] = time.monotonic()
        self._mark_reachable(disk)
        return reply

    def _mark_reachable(self, disk: Disk) -> None:
        self._unreachable.discard(disk.address)
        if self._suspected_until_s.pop(disk.address, None) is not None:
            logs.logger("turns").info("disk_regained", peer=disk.host)

    def _mark_erased(self, disk: Disk) -> None:
        """Records that a disk has lost its data, so that nothing more is sent to it."""
        if disk.folder not in self._erased:
            self._erased.add(disk.folder)
            logs.logger("turns").warning("disk_erased", peer=disk.host)

    def _paths(self, view: View, preferred: Collection[str]) -> list[Path]:
        """Returns the paths in the order to try: each disk once, then each again via a relay."""
        ranked = self._ranked(view, preferred)
        paths = [Path(disk, self.links.call, False) for disk in ranked]
        if self.links.has_relays():
            paths += [Path(disk, self.links.call_via_relay, True) for disk in ranked]
        return paths

    def _path_to_hedge(self, paths: Sequence[Path], late: Collection[Disk]) -> Path | None:
        """Returns the path on which to repeat a call whose replies are late; None for none."""
        self._suspect(late, "no reply within the usual time")
        return next((path for path in paths if self._may_hedge(path)), None)

    def _may_hedge(self, path: Path) -> bool:
        """Tells whether a late call may be repeated on a path.

        A disk that replied recently is slow, or its link is saturated; a relay would not help. A
        relay of this region shares the link to other regions, which may be full.
        """
        if not path.via_relay:
            return True
        last_reply_s = self._last_reply_s.get(path.disk.address, 0.0)
        is_near = path.disk.region == self._here.region
        return is_near and time.monotonic() - last_reply_s > LINK_LOST_AFTER_S

    def _ranked(self, view: View, preferred: Collection[str] = ()) -> list[Disk]:
        now_s = time.monotonic()
        members = {disk.folder for disk in view.members}

        def rank(disk: Disk) -> tuple[bool, bool, bool, bool, bool]:
            return (
                self._suspected_until_s.get(disk.address, 0.0) > now_s,
                disk.folder not in preferred,
                # A joining disk lacks most records, and is busy with reading them.
                disk.folder not in members,
                disk.region != self._here.region,
                disk.failure_domain != self._here.failure_domain,
            )

        return sorted(self.present(view), key=rank)

    def _hedge_s(self, pending: Collection[Disk]) -> float:
        crosses_regions = any(disk.region != self._here.region for disk in pending)
        return HEDGE_FAR_S if crosses_regions else HEDGE_NEAR_S

    def _suspect(self, late: Collection[Disk], reason: str) -> None:
        until_s = time.monotonic() + SUSPECT_S
        for disk in late:
            if disk.address not in self._suspected_until_s:
                logs.logger("turns").warning("disk_suspected", peer=disk.host, reason=reason)
            self._suspected_until_s[disk.address] = until_s


def _needed_paths(
    view: View,
    call: QuorumCall[_R],
    paths: Sequence[Path],
    replies: Collection[str],
    pending: Collection[Disk],
) -> list[Path]:
    """Returns the paths on which a quorum may reply, besides the replies and the pending calls."""
    expected = {*replies, *(disk.folder for disk in pending)}
    needed: list[Path] = []
    for path in paths:
        if call.has_quorum(view, expected):
            break
        if (pending or needed) and not replies and call.is_sufficient is not None:
            break  # Such replies are long; several would share a link between regions.
        expected.add(path.disk.folder)
        needed.append(path)
    return needed


def _record_reply(
    call: QuorumCall[_R],
    disk: Disk,
    reply: _R,
    replies: dict[str, _R],
    refusals: dict[str, float],
) -> None:
    """Counts a disk's reply as one that accepts the call, by folder, or refuses it, by host."""
    call.on_reply(reply)
    refused_s = call.refused_s(reply)
    if refused_s:
        refusals[disk.host] = refused_s
    else:
        replies[disk.folder] = reply


def _failure(
    method: str, view: View, folders: Collection[str], refusals: Mapping[str, float]
) -> Failure:
    """Returns the failure of a call.

    Args:
        method: Method of the call.
        view: The view in which it was made.
        folders: Folders that replied.
        refusals: Time after which each host that refused may accept it, in seconds.
    """
    if refusals:
        hosts = ", ".join(refusals)
        detail = "there is too little room for turns"
        wait_s = min(refusals.values())
        return Failure(Code.OVERLOADED, method, hosts, detail, True, wait_s)
    silent = [disk.host for disk in all_disks(view) if disk.folder not in folders]
    detail = f"no reply from {', '.join(silent)} at epoch {view.epoch}"
    return Failure(Code.UNREACHABLE, method, silent[0] if silent else "", detail)
