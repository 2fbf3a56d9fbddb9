"""Copies in memory and a table of one partition, for tests of the replicated log."""

import contextlib
from collections.abc import Callable, Collection, Sequence
from concurrent.futures import Future

from endiveworks.errors import Code, Failure
from endiveworks.journal.copy_sender import Patience
from endiveworks.journal.copy_state import Head, Request, Reset, advance, decide
from endiveworks.journal.frames import Kind
from endiveworks.journal.peer import CopyId, HeadFuture, Peer, guarded
from endiveworks.journal.replicated_log import OpenedReplica, open_replicated_log
from endiveworks.journal.replication import CopySet
from endiveworks.journal.store import Fetched
from endiveworks.links.link_share import LinkShare
from returns.result import Failure as Err
from returns.result import Result, Success

PARTITION = 3
WANTED_COPIES = 2


class HungError(Exception):
    """Ends a repair where a real one would hang, waiting for the table for good."""


def down(step: str) -> Failure:
    return Failure(Code.UNREACHABLE, step, "", "down")


class FakeHost:
    """One host's copy of one partition."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.wipes = 0
        self.up = True
        self.loses_answers = False
        self.full = False
        self.head: Head | None = None
        self.records: dict[int, bytes] = {}
        self.received: list[tuple[str, Request]] = []

    @property
    def copy(self) -> CopyId:
        return CopyId(self.name, f"folder-{self.wipes}")

    def wipe(self) -> None:
        """Replaces the data folder by an empty one."""
        self.wipes += 1
        self.head = None
        self.records = {}

    def peer(self, copy: CopyId) -> Peer:
        def send(req: Request) -> HeadFuture:
            fut: HeadFuture = Future()
            if self.up:
                self.received.append((copy.folder, req))
                outcome = self.handle(copy.folder, req)
                fut.set_result(Err(down("send")) if self.loses_answers else outcome)
            else:
                fut.set_result(Err(down("send")))
            return fut

        def fetch(partition: int, first: int, max_bytes: int) -> Result[Fetched, Failure]:
            if not self.up:
                return Err(down("fetch"))
            if copy != self.copy or self.head is None:
                return guarded(None, copy.folder)
            last = self.head.last_index
            records = tuple(self.records[index] for index in range(first, last + 1))
            return Success(Fetched(first, records[:2], last))

        return Peer(copy, send, fetch)

    def handle(self, folder: str, req: Request) -> Result[Head, Failure]:
        if folder != self.copy.folder:
            return guarded(None, folder)
        if self.full:
            return Err(Failure(Code.STORAGE, "journal.write", "", "no space left", not_run=True))
        outcome = decide(self.head, req, lambda index: self.records[index])
        for frame in outcome.value_or(()):
            self.head = advance(self.head, frame)
            if frame.kind is Kind.RECORD:
                self.records[frame.position] = frame.body
            elif frame.kind is Kind.HEAD:
                self.records.clear()
        return outcome.map(lambda _: self.head)


class FakeTable:
    """The table's record of one partition: epoch and copies, changed in one step."""

    def __init__(self, hosts: Sequence[FakeHost]) -> None:
        self.hosts = {host.name: host for host in hosts}
        self.epoch = 0
        self.copies = tuple(host.copy for host in hosts[:WANTED_COPIES])
        self.fault = ""
        self.leaving = ""
        self.link: LinkShare | None = None
        self.work: list[Callable[[], None]] = []
        self.losses: list[Failure] = []
        for host in hosts[:WANTED_COPIES]:
            host.handle(host.copy.folder, Reset(PARTITION, 0, 1, 1))

    def take_over(self) -> Result[OpenedReplica, Failure]:
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
        patience = Patience(retry_s=0.0, give_up_s=0.0)
        return open_replicated_log(PARTITION, epoch, peers, copy_set, patience, self.work.append)

    def run_repairs(self) -> None:
        work, self.work = self.work, []
        for repair in work:
            with contextlib.suppress(HungError):
                repair()

    def _change(self, epoch: int, copies: tuple[CopyId, ...]) -> Result[None, Failure]:
        if self.fault == "hangs before":
            raise HungError
        if epoch != self.epoch:
            return Err(Failure(Code.STALE_EPOCH, "table.change", "", "another owner"))
        self.copies = copies
        if self.fault == "hangs after":
            raise HungError
        if self.fault == "loses one answer":
            self.fault = ""
            return Err(down("table.change"))
        return Success(None)

    def _surplus(self, present: Sequence[CopyId]) -> CopyId | None:
        leaving = [copy for copy in present if copy.host == self.leaving]
        return leaving[0] if leaving and len(present) > WANTED_COPIES else None

    def _replacement(self, present: Sequence[CopyId], avoided: Collection[CopyId]) -> Peer | None:
        used = {copy.host for copy in (*present, *avoided)}
        free = [host for name, host in sorted(self.hosts.items()) if name not in used and host.up]
        staying = [copy for copy in present if copy.host != self.leaving]
        if not free or len(staying) >= WANTED_COPIES:
            return None
        return free[0].peer(free[0].copy)._replace(link=self.link)
