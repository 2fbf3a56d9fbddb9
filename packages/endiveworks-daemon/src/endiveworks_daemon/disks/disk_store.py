"""Serves RPCs on the turns and ledgers stored on this host's disk."""

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
    renew,
    spending_of,
)
from endiveworks.turns.records import decode, encode
from endiveworks.turns.view import View
from returns.result import Failure as Err
from returns.result import Result, Success

from ..rpc import Handler
from .view_file import load_view, save_view

_DEPLOYMENT = "turns"
_PARTITION = 0  # A journal holds one log per partition; a disk uses a single log.
# A page of this size takes a sixth of a second on the link between regions.
PAGE_BYTES = 256 * 1024
EXPIRE_PERIOD_S = 5.0  # Expired turns are deleted at most this much later.


class DiskStore:
    """Turns and ledgers of one disk, held in memory and synced to its journal.

    Attributes:
        is_new: Whether the data folder was made by this process.
    """

    def __init__(
        self, data_dir: Path, journal: Journal, log: Log, state: DiskState, is_new: bool
    ) -> None:
        self.is_new = is_new
        self.folder = journal.store.folder
        self.state = state
        self.view: View | None = None
        self.failed = asyncio.Event()
        self.last_store_s = 0.0
        self._journal = journal
        self._log = log
        self._data_dir = data_dir
        self._saved_epoch = 0
        self._saving = asyncio.Lock()

    def adopt(self, view: View | None) -> None:
        """Adopts a view unless it is older; requests made under an older view are rejected."""
        if view is not None and (self.view is None or view.epoch > self.view.epoch):
            self.view = view

    async def store(self, message: memoryview) -> bytes:
        """Handles Store; replies once the records are synced."""
        self.last_store_s = time.monotonic()
        req = msgspec.msgpack.decode(message, type=messages.Store)
        if self._is_stale(req.epoch):
            return msgspec.msgpack.encode(messages.Stored(self.folder, self.view, []))
        await self.persist(req.records)
        spending = list(spending_of(self.state, req.program)) if req.program else []
        return msgspec.msgpack.encode(messages.Stored(self.folder, None, spending))

    async def fetch(self, message: memoryview) -> bytes:
        """Handles Fetch."""
        req = msgspec.msgpack.decode(message, type=messages.Fetch)
        if self._is_stale(req.epoch):
            return msgspec.msgpack.encode(messages.Fetched(self.folder, self.view, []))
        if not req.turn:
            renew(self.state, req.known, time.time())
        chain = list(chain_of(self.state, req.turn, req.known))
        return msgspec.msgpack.encode(messages.Fetched(self.folder, None, chain))

    async def list_held(self, message: memoryview) -> bytes:
        """Handles ListHeld; replies once the view is synced.

        Raises:
            OSError: The view can't be written.
        """
        req = msgspec.msgpack.decode(message, type=messages.ListHeld)
        self.adopt(req.view)
        await self._save_view()
        ledgers = [encode(record) for record in ledger_records(self.state)]
        return msgspec.msgpack.encode(messages.Held(self.folder, list(self.state.turns), ledgers))

    async def read_turns(self, message: memoryview) -> bytes:
        """Handles ReadTurns; the reply ends once it reaches PAGE_BYTES."""
        req = msgspec.msgpack.decode(message, type=messages.ReadTurns)
        page: list[bytes] = []
        size = 0
        for turn_id in req.turns:
            entry = self.state.turns.get(turn_id)
            if entry is None:
                continue
            page.append(encode(entry.turn))
            size += len(page[-1])
            if size >= PAGE_BYTES:
                break
        return msgspec.msgpack.encode(messages.TurnsRead(self.folder, page))

    async def ping(self, message: memoryview) -> bytes:
        """Handles Ping."""
        msgspec.msgpack.decode(message, type=messages.Ping)
        return msgspec.msgpack.encode(messages.Pong(self.folder))

    async def persist(self, encoded: list[bytes]) -> None:
        """Applies records and waits until they are synced.

        Raises:
            OSError: The disk failed; the in-memory state is no longer reliable.
        """
        now_s = time.time()
        new = [data for data in encoded if apply(self.state, decode(data), now_s)]
        # A repeated record may still be unsynced; even an empty append waits for it, as a barrier.
        result = await _wrap_future(self._log.append(new))
        if not isinstance(result, Success):
            self.failed.set()
            raise OSError(str(result.failure()))
        if self._log.snapshot_due():
            self._log.snapshot(encode(record) for record in records(self.state))

    async def expire_forever(self) -> None:
        """Deletes expired turns and ledgers periodically."""
        while True:
            await asyncio.sleep(EXPIRE_PERIOD_S)
            expire(self.state, time.time())

    def close(self) -> None:
        """Finishes queued writes and releases the files."""
        self._log.close()
        self._journal.close()

    async def _save_view(self) -> None:
        """Saves the view, so that requests made under an older one are refused after a restart."""
        async with self._saving:
            view = self.view
            if view is not None and view.epoch > self._saved_epoch:
                await asyncio.to_thread(save_view, self._data_dir, view)
                self._saved_epoch = view.epoch

    def _is_stale(self, epoch: int) -> bool:
        return self.view is not None and epoch < self.view.epoch


def open_disk_store(data_dir: Path) -> Result[DiskStore, Failure]:
    """Opens the data folder and replays its log; a corrupt folder is moved aside and replaced."""
    result = open_journal(data_dir, _DEPLOYMENT)
    if not isinstance(result, Success):
        if result.failure().code is not Code.CORRUPT:
            return Err(result.failure())
        moved = set_aside(data_dir)
        logs.logger("turns").error(
            "folder_set_aside", path=str(moved), detail=str(result.failure())
        )
        result = open_journal(data_dir, _DEPLOYMENT)
        if not isinstance(result, Success):
            return Err(result.failure())
    journal = result.unwrap()
    view = load_view(data_dir)
    if not isinstance(view, Success):
        journal.close()
        return Err(view.failure())
    stored = journal.store.state(_PARTITION)
    log = journal.open_log(_PARTITION, stored.epoch + 1 if stored else 1)
    if not isinstance(log, Success):
        return Err(log.failure())
    state = DiskState()
    now_s = time.time()
    for data in log.unwrap().records:
        apply(state, decode(data), now_s)
    disk_store = DiskStore(data_dir, journal, log.unwrap().log, state, stored is None)
    disk_store.adopt(view.unwrap())
    return Success(disk_store)


def _wrap_future(fut: AppendFuture) -> "Awaitable[Result[int, Failure]]":
    return asyncio.wrap_future(fut)


def handlers(disk_store: DiskStore) -> dict[str, Handler]:
    """Returns the RPC handlers by method name."""
    return {
        messages.STORE: disk_store.store,
        messages.FETCH: disk_store.fetch,
        messages.LIST_HELD: disk_store.list_held,
        messages.READ_TURNS: disk_store.read_turns,
        messages.PING: disk_store.ping,
    }
