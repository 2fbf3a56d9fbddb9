"""In-memory hosts and a fake partition table, for tests of the replicated log."""

import contextlib
from collections.abc import Callable, Collection, Sequence
from concurrent.futures import Future

from endiveworks.errors import Code, Failure
from endiveworks.journal.copy_sender import RetryPolicy
from endiveworks.journal.copy_state import CopyState, Request, Reset, apply_frame, plan_frames
from endiveworks.journal.frames import Kind
from endiveworks.journal.peer import CopyId, CopyStateFuture, Peer, check_folder
from endiveworks.journal.replicated_log import OpenedReplicatedLog, open_replicated_log
from endiveworks.journal.replication import CopySet
from endiveworks.journal.store import FetchedRecords
from endiveworks.links.link_share import LinkShare
from returns.result import Failure as Err
from returns.result import Result, Success

PARTITION = 3
COPIES = 2


class SimulatedHangError(Exception):
    """Raised where a real repair would wait for the partition table forever."""


def down(step: str) -> Failure:
    return Failure(Code.UNREACHABLE, step, "", "down")


class FakeHost:
    """A host with a copy of one partition's log; faults are set through its attributes."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.wipes = 0
        self.up = True
        self.drops_replies = False
        self.disk_full = False
        self.state: CopyState | None = None
        self.records: dict[int, bytes] = {}
        self.received: list[tuple[str, Request]] = []

    @property
    def copy(self) -> CopyId:
        return CopyId(self.name, f"folder-{self.wipes}")

    def wipe(self) -> None:
        """Replaces the data folder by an empty one."""
        self.wipes += 1
        self.state = None
        self.records = {}

    def peer(self, copy: CopyId) -> Peer:
        def send(req: Request) -> CopyStateFuture:
            fut: CopyStateFuture = Future()
            if self.up:
                self.received.append((copy.folder, req))
                outcome = self.handle(copy.folder, req)
                fut.set_result(Err(down("send")) if self.drops_replies else outcome)
            else:
                fut.set_result(Err(down("send")))
            return fut

        def fetch(partition: int, first: int, max_bytes: int) -> Result[FetchedRecords, Failure]:
            if not self.up:
                return Err(down("fetch"))
            if copy != self.copy or self.state is None:
                return check_folder(None, copy.folder)
            last = self.state.last_index
            records = tuple(self.records[index] for index in range(first, last + 1))
            return Success(FetchedRecords(first, records[:2], last))

        return Peer(copy, send, fetch)

    def handle(self, folder: str, req: Request) -> Result[CopyState, Failure]:
        if folder != self.copy.folder:
            return check_folder(None, folder)
        if self.disk_full:
            return Err(Failure(Code.STORAGE, "journal.write", "", "no space left", not_run=True))
        outcome = plan_frames(self.state, req, lambda index: self.records[index])
        for frame in outcome.value_or(()):
            self.state = apply_frame(self.state, frame)
            if frame.kind is Kind.RECORD:
                self.records[frame.log_index] = frame.body
            elif frame.kind is Kind.STATE:
                self.records.clear()
        return outcome.map(lambda _: self.state)


class FakeTable:
    """Partition table with one record, whose epoch and copies change atomically."""

    def __init__(self, hosts: Sequence[FakeHost]) -> None:
        self.hosts = {host.name: host for host in hosts}
        self.epoch = 0
        self.copies = tuple(host.copy for host in hosts[:COPIES])
        self.fault = ""
        self.leaving = ""
        self.link: LinkShare | None = None
        self.pending_repairs: list[Callable[[], None]] = []
        self.losses: list[Failure] = []
        for host in hosts[:COPIES]:
            host.handle(host.copy.folder, Reset(PARTITION, 0, 1, 1))

    def take_over(self) -> Result[OpenedReplicatedLog, Failure]:
        """Opens the log as a new owner at the next epoch."""
        self.epoch += 1
        epoch = self.epoch
        peers = [self.hosts[copy.host].peer(copy) for copy in self.copies]
        copy_set = CopySet(
            lambda copies: self._change(epoch, tuple(copies)),
            self._replacement,
            self._surplus,
            self.losses.append,
        )
        retry_policy = RetryPolicy(retry_s=0.0, give_up_s=0.0)
        return open_replicated_log(
            PARTITION, epoch, peers, copy_set, retry_policy, self.pending_repairs.append
        )

    def run_repairs(self) -> None:
        pending_repairs, self.pending_repairs = self.pending_repairs, []
        for repair in pending_repairs:
            with contextlib.suppress(SimulatedHangError):
                repair()

    def _change(self, epoch: int, copies: tuple[CopyId, ...]) -> Result[None, Failure]:
        if self.fault == "hangs before":
            raise SimulatedHangError
        if epoch != self.epoch:
            return Err(Failure(Code.STALE_EPOCH, "table.change", "", "another owner"))
        self.copies = copies
        if self.fault == "hangs after":
            raise SimulatedHangError
        if self.fault == "drops one reply":
            self.fault = ""
            return Err(down("table.change"))
        return Success(None)

    def _surplus(self, current: Sequence[CopyId]) -> CopyId | None:
        leaving = [copy for copy in current if copy.host == self.leaving]
        return leaving[0] if leaving and len(current) > COPIES else None

    def _replacement(
        self, current: Sequence[CopyId], recently_failed: Collection[CopyId]
    ) -> Peer | None:
        used = {copy.host for copy in (*current, *recently_failed)}
        free = [host for name, host in sorted(self.hosts.items()) if name not in used and host.up]
        remaining = [copy for copy in current if copy.host != self.leaving]
        if not free or len(remaining) >= COPIES:
            return None
        return free[0].peer(free[0].copy)._replace(link=self.link)
