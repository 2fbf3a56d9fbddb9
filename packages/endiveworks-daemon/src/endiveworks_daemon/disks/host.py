"""Answers messages about turns and ledgers from the disk of this host."""

import asyncio
import time
from collections.abc import Awaitable
from pathlib import Path

import msgspec
from endiveworks.errors import Code, Failure
from endiveworks.journal.api import AppendFuture, Log
from endiveworks.journal.file_log import Journal, open_journal
from endiveworks.journal.identity import set_aside
from endiveworks.telemetry import logs
from endiveworks.turns import messages
from endiveworks.turns.disk import (
    DiskState,
    apply,
    chain_of,
    expire,
    ledger_records,
    records,
    spending_of,
)
from endiveworks.turns.records import decode, encode
from endiveworks.turns.view import View
from returns.result import Failure as Err
from returns.result import Result, Success

from ..rpc import Handler

_DEPLOYMENT = "turns"
_PARTITION = 0  # The journal keeps many logs; a disk of turns is one.
# Takes a sixth of a second on the link between regions.
PAGE_BYTES = 256 * 1024
EXPIRE_PERIOD_S = 5.0  # Turns are let go of a little later than they may be.


class DiskHost:
    """The turns and ledgers of one disk, and the journal that they are synced to."""

    def __init__(self, journal: Journal, log: Log, state: DiskState) -> None:
        self.folder = journal.store.folder
        self.state = state
        self.view: View | None = None
        self.failed = asyncio.Event()
        self.asked_s = 0.0
        self._journal = journal
        self._log = log

    def adopt(self, view: View | None) -> None:
        """Takes a view unless a newer one is known; writers that count by an older are refused."""
        if view is not None and (self.view is None or view.epoch > self.view.epoch):
            self.view = view

    async def store(self, message: bytes) -> bytes:
        """Answers Store once the records are synced."""
        self.asked_s = time.monotonic()
        req = msgspec.msgpack.decode(message, type=messages.Store)
        if self._is_stale(req.epoch):
            return msgspec.msgpack.encode(messages.Stored(self.folder, self.view, []))
        await self.keep(req.records)
        spending = list(spending_of(self.state, req.program)) if req.program else []
        return msgspec.msgpack.encode(messages.Stored(self.folder, None, spending))

    async def fetch(self, message: bytes) -> bytes:
        """Answers Fetch."""
        req = msgspec.msgpack.decode(message, type=messages.Fetch)
        if self._is_stale(req.epoch):
            return msgspec.msgpack.encode(messages.Fetched(self.folder, self.view, []))
        chain = list(chain_of(self.state, req.turn, req.known))
        return msgspec.msgpack.encode(messages.Fetched(self.folder, None, chain))

    async def list_held(self, message: bytes) -> bytes:
        """Answers ListHeld."""
        req = msgspec.msgpack.decode(message, type=messages.ListHeld)
        self.adopt(req.view)
        ledgers = [encode(record) for record in ledger_records(self.state)]
        return msgspec.msgpack.encode(messages.Held(self.folder, list(self.state.turns), ledgers))

    async def read_turns(self, message: bytes) -> bytes:
        """Answers ReadTurns."""
        req = msgspec.msgpack.decode(message, type=messages.ReadTurns)
        found: list[bytes] = []
        size = 0
        for name in req.turns:
            kept = self.state.turns.get(name)
            if kept is None:
                continue
            found.append(encode(kept.turn))
            size += len(found[-1])
            if size >= PAGE_BYTES:
                break
        return msgspec.msgpack.encode(messages.TurnsRead(self.folder, found))

    async def ping(self, message: bytes) -> bytes:
        """Answers Ping."""
        msgspec.msgpack.decode(message, type=messages.Ping)
        return msgspec.msgpack.encode(messages.Pong(self.folder))

    async def keep(self, encoded: list[bytes]) -> None:
        """Applies records and waits until they are synced.

        Raises:
            OSError: The disk failed; this process can't vouch for its state any more.
        """
        now_s = time.time()
        new = [data for data in encoded if apply(self.state, decode(data), now_s)]
        # A repeated record may still be on its way to the disk, which the barrier waits for.
        result = await _wrapped(self._log.append(new))
        if not isinstance(result, Success):
            self.failed.set()
            raise OSError(str(result.failure()))
        if self._log.snapshot_due():
            self._log.snapshot(encode(record) for record in records(self.state))

    async def expire_forever(self) -> None:
        """Lets go of what is no longer kept, again and again."""
        while True:
            await asyncio.sleep(EXPIRE_PERIOD_S)
            expire(self.state, time.time())

    def close(self) -> None:
        """Finishes queued writes and releases the files."""
        self._log.close()
        self._journal.close()

    def _is_stale(self, epoch: int) -> bool:
        return self.view is not None and epoch < self.view.epoch


def open_host(data_dir: Path) -> Result[DiskHost, Failure]:
    """Opens the data folder and reads back what it holds; a damaged one is set aside."""
    journal = open_journal(data_dir, _DEPLOYMENT)
    if not isinstance(journal, Success):
        if journal.failure().code is not Code.CORRUPT:
            return Err(journal.failure())
        moved = set_aside(data_dir)
        logs.logger("turns").error(
            "folder_set_aside", path=str(moved), detail=str(journal.failure())
        )
        journal = open_journal(data_dir, _DEPLOYMENT)
        if not isinstance(journal, Success):
            return Err(journal.failure())
    opened = journal.unwrap()
    head = opened.store.head(_PARTITION)
    log = opened.open_log(_PARTITION, head.epoch + 1 if head else 1)
    if not isinstance(log, Success):
        return Err(log.failure())
    state = DiskState()
    now_s = time.time()
    for data in log.unwrap().records:
        apply(state, decode(data), now_s)
    return Success(DiskHost(opened, log.unwrap().log, state))


def _wrapped(fut: AppendFuture) -> "Awaitable[Result[int, Failure]]":
    return asyncio.wrap_future(fut)


def handlers(host: DiskHost) -> dict[str, Handler]:
    """Returns the functions that answer messages, by name."""
    return {
        messages.STORE: host.store,
        messages.FETCH: host.fetch,
        messages.LIST_HELD: host.list_held,
        messages.READ_TURNS: host.read_turns,
        messages.PING: host.ping,
    }
