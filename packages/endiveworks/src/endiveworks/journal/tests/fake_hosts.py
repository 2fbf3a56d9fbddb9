"""Copies in memory and a table of one partition, for tests of the replicated log."""

from collections.abc import Sequence
from concurrent.futures import Future

from endiveworks.errors import Code, Failure
from endiveworks.journal.copy_state import Head, Request, Reset, advance, decide
from endiveworks.journal.frames import Kind
from endiveworks.journal.lane import Patience
from endiveworks.journal.peer import CopyId, HeadFuture, Peer, guarded
from endiveworks.journal.replicated_log import OpenedReplica, open_replicated_log
from endiveworks.journal.replication import CopySet
from endiveworks.journal.store import Fetched
from returns.result import Failure as Err
from returns.result import Result, Success

PARTITION = 3
WANTED_COPIES = 2


def down(step: str) -> Failure:
    return Failure(Code.UNREACHABLE, step, "", "down")


class FakeHost:
    """One host's copy of one partition."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.folder = f"{name}-folder-1"
        self.up = True
        self.loses_answers = False
        self.head: Head | None = None
        self.records: dict[int, bytes] = {}

    def wipe(self) -> None:
        """Replaces the data folder by an empty one."""
        number = int(self.folder.rpartition("-")[2]) + 1
        self.folder = f"{self.name}-folder-{number}"
        self.head = None
        self.records = {}

    def handle(self, req: Request) -> Result[Head, Failure]:
        outcome = decide(self.head, req, lambda index: self.records[index])
        for frame in outcome.value_or(()):
            self.head = advance(self.head, frame)
            if frame.kind is Kind.RECORD:
                self.records[frame.position] = frame.body
            elif frame.kind is Kind.HEAD:
                self.records.clear()
        return outcome.map(lambda _: self.head)

    def peer(self) -> Peer:
        copy = CopyId(self.name, self.folder)

        def send(req: Request) -> HeadFuture:
            fut: HeadFuture = Future()
            fut.set_result(self._answer(copy.folder, req))
            return fut

        def fetch(partition: int, first: int, max_bytes: int) -> Result[Fetched, Failure]:
            if not self.up:
                return Err(down("fetch"))
            if self.folder != copy.folder:
                return Err(guarded(None, copy.folder).failure())
            last = self.head.last_index
            records = tuple(self.records[index] for index in range(first, last + 1))
            return Success(Fetched(first, records[:2], last))

        return Peer(copy, send, fetch)

    def _answer(self, folder: str, req: Request) -> Result[Head, Failure]:
        if not self.up:
            return Err(down("send"))
        if folder != self.folder:
            return Err(guarded(None, folder).failure())
        outcome = self.handle(req)
        return Err(down("send")) if self.loses_answers else outcome


class FakeTable:
    """The table's record of one partition: epoch and copies, changed in one step."""

    def __init__(self, hosts: Sequence[FakeHost]) -> None:
        self.hosts = {host.name: host for host in hosts}
        self.epoch = 0
        self.copies = tuple(host.peer().copy for host in hosts[:WANTED_COPIES])
        self.up = True
        self.work: list = []
        self.losses: list[Failure] = []
        for host in hosts[:WANTED_COPIES]:
            host.handle(Reset(PARTITION, 0, 1, 1))

    def take_over(self) -> Result[OpenedReplica, Failure]:
        """Opens the log as a new owner at the next epoch."""
        self.epoch += 1
        epoch = self.epoch
        peers = [self._peer(copy) for copy in self.copies]
        copy_set = CopySet(
            lambda copies: self._change(epoch, tuple(copies)), self._replacement, self.losses.append
        )
        patience = Patience(retry_s=0.0, give_up_s=0.0)
        return open_replicated_log(PARTITION, epoch, peers, copy_set, patience, self.work.append)

    def run_repairs(self) -> None:
        while self.work:
            self.work.pop(0)()

    def _peer(self, copy: CopyId) -> Peer:
        return self.hosts[copy.host].peer()._replace(copy=copy) if self._same(copy) else gone(copy)

    def _same(self, copy: CopyId) -> bool:
        return self.hosts[copy.host].folder == copy.folder

    def _change(self, epoch: int, copies: tuple[CopyId, ...]) -> Result[None, Failure]:
        if epoch != self.epoch:
            return Err(Failure(Code.STALE_EPOCH, "table.change", "", "another owner"))
        if not self.up:
            self.up = True  # The next attempt is answered.
            return Err(down("table.change"))
        self.copies = copies
        return Success(None)

    def _replacement(self, present: Sequence[CopyId]) -> Peer | None:
        used = {copy.host for copy in present}
        free = [host for name, host in sorted(self.hosts.items()) if name not in used and host.up]
        return free[0].peer() if free and len(present) < WANTED_COPIES else None


def gone(copy: CopyId) -> Peer:
    """Returns the peer of a copy whose folder is no longer there."""
    host = FakeHost(copy.host)
    host.folder = "replaced"
    return host.peer()._replace(copy=copy, send=lambda req: _refused(copy))


def _refused(copy: CopyId) -> HeadFuture:
    fut: HeadFuture = Future()
    fut.set_result(guarded(None, copy.folder).map(lambda store: Head(0, 0, 1, 0)))
    return fut
