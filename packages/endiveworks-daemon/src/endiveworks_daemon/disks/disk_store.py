"""Serves RPCs on the turns and ledgers stored on this host's disk."""

import asyncio
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

import msgspec
from endiveworks.errors import Code, Failure
from endiveworks.journal.identity import set_aside
from endiveworks.telemetry import logs
from endiveworks.telemetry.metrics import Metrics
from endiveworks.turns import messages
from endiveworks.turns.disk import (
    DiskState,
    StoredTurn,
    apply,
    chain_of,
    expire,
    ledger_records,
    place,
    renew,
    spending_of,
)
from endiveworks.turns.records import Settlement, TurnParts, decode_parts, encode, turn_bytes
from endiveworks.turns.room import Room, RoomRequest, room_limits
from endiveworks.turns.view import View
from returns.result import Failure as Err
from returns.result import Result, Success

from ..rpc import SHORT_BYTES, Handler, LongReply
from .disk_records import DiskRecords, Encoded
from .room_report import RoomReport
from .set_aside_files import remove_if_large
from .turn_log import TurnLog, open_turn_log
from .view_file import load_view, save_view

EXPIRE_PERIOD_S = 5.0  # Expired turns are deleted at most this much later.
GARBAGE_PERIOD_S = 0.5  # Time between two looks at what the log holds beside what is needed.
UNWRITABLE_RETRY_S = 1.0  # Time after which a sender returns if the disk can't be written.


class _ReceivedStore(NamedTuple):
    """A Store message whose records are not copied."""

    epoch: int
    records: list[memoryview]
    program: str = ""
    room: RoomRequest | None = None


class _EncodedFetched(NamedTuple):
    """A Fetched message with turns as they are in the log."""

    folder: str
    newer_view: View | None
    chain: list[msgspec.Raw]
    chain_bytes: int


class _EncodedTurnsRead(NamedTuple):
    """A TurnsRead message with records as they are in the log."""

    folder: str
    records: list[Encoded]


class DiskStore:
    """Turns and ledgers of one disk.

    Args:
        data_dir: The data folder.
        records: The records of the disk.
        room: The room for more of them.
        is_new: Whether the data folder was made by this process.
        metrics: Receives gauges and counters; None for none.

    Attributes:
        is_new: Whether the data folder was made by this process.
        room: The room for more records.
        view: The newest known view.
        last_store_s: Monotonic time of the last Store message.
    """

    def __init__(
        self,
        data_dir: Path,
        records: DiskRecords,
        room: Room,
        is_new: bool,
        metrics: Metrics | None = None,
    ) -> None:
        self.is_new = is_new
        self.room = room
        self.view: View | None = None
        self.last_store_s = 0.0
        self._records = records
        self._report = RoomReport(room, records.state, metrics)
        self._data_dir = data_dir
        self._saved_epoch = 0
        self._saving = asyncio.Lock()

    @property
    def folder(self) -> str:
        """Random id of the data folder."""
        return self._records.log.folder

    @property
    def state(self) -> DiskState:
        """The state of the disk."""
        return self._records.state

    @property
    def failed(self) -> asyncio.Event:
        """Set when the disk failed."""
        return self._records.failed

    def adopt(self, view: View | None) -> None:
        """Adopts a view unless it is older; requests made under an older view are rejected."""
        if view is not None and (self.view is None or view.epoch > self.view.epoch):
            self.view = view

    async def store(self, message: memoryview) -> bytes:
        """Handles Store; replies once the records are synced, or that there is no room."""
        self.last_store_s = time.monotonic()
        req = msgspec.msgpack.decode(message, type=_ReceivedStore)
        if self._is_stale(req.epoch):
            return msgspec.msgpack.encode(messages.Stored(self.folder, self.view, []))
        refused_s = self._refused_s(req)
        spending = []
        if not refused_s:
            await self.persist(req.records)
            spending = list(spending_of(self.state, req.program)) if req.program else []
        stored = messages.Stored(self.folder, None, spending, refused_s, self.room.used_share())
        return msgspec.msgpack.encode(stored)

    async def fetch(self, message: memoryview) -> bytes | LongReply:
        """Handles Fetch."""
        req = msgspec.msgpack.decode(message, type=messages.Fetch)
        if self._is_stale(req.epoch):
            return msgspec.msgpack.encode(messages.Fetched(self.folder, self.view, []))
        if not req.turn:
            renew(self.state, req.known, time.time())
        chain = chain_of(self.state, req.turn, req.known)
        page = _first_page(chain, req.max_bytes)
        chain_bytes = sum(stored.log_bytes for stored in chain)

        def build() -> bytes:
            turns = [msgspec.Raw(turn_bytes(self._records.read(stored))) for stored in page]
            return msgspec.msgpack.encode(_EncodedFetched(self.folder, None, turns, chain_bytes))

        return _reply(page, build)

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

    async def read_turns(self, message: memoryview) -> bytes | LongReply:
        """Handles ReadTurns; the reply ends once it reaches PAGE_BYTES."""
        req = msgspec.msgpack.decode(message, type=messages.ReadTurns)
        page: list[StoredTurn] = []
        size = 0
        for turn_id in req.turns:
            stored = self.state.turns.get(turn_id)
            if stored is None:
                continue
            page.append(stored)
            size += stored.log_bytes
            if size >= messages.PAGE_BYTES:
                break

        def build() -> bytes:
            turns = [self._records.read(stored) for stored in page]
            return msgspec.msgpack.encode(_EncodedTurnsRead(self.folder, turns))

        return _reply(page, build)

    async def ping(self, message: memoryview) -> bytes:
        """Handles Ping."""
        msgspec.msgpack.decode(message, type=messages.Ping)
        return msgspec.msgpack.encode(messages.Pong(self.folder))

    async def persist(self, encoded: Sequence[Encoded]) -> None:
        """Applies records and waits until they are synced.

        Raises:
            OSError: They were not synced. If the disk failed, the state is no longer reliable.
        """
        senders: dict[str, str] = {}
        for data in encoded:
            record = decode_parts(data)
            if isinstance(record, TurnParts | Settlement):
                senders[record.turn] = self.room.release(record.turn) or senders.get(
                    record.turn, ""
                )
        await self._records.persist(encoded, senders, time.time())

    def fits(self, size: int) -> bool:
        """Returns whether records of a size in bytes can be kept at all."""
        return self.room.fits(size)

    async def expire_forever(self) -> None:
        """Deletes expired turns and ledgers periodically, and what the log holds of them."""
        expired_s = time.monotonic()
        while True:
            await asyncio.sleep(GARBAGE_PERIOD_S)
            if time.monotonic() - expired_s >= EXPIRE_PERIOD_S:
                expired_s = time.monotonic()
                expire(self.state, time.time())
                self._report.update(time.monotonic())
            await self._records.discard_garbage()

    def close(self) -> None:
        """Finishes queued writes and releases the files."""
        self._records.log.close()

    def _refused_s(self, req: _ReceivedStore) -> float:
        """Returns how long the sender of a Store waits for room; 0 if there is room."""
        if req.room is None:
            size = sum(map(len, req.records))
            refused_s = 0.0 if self.room.fits(size) else UNWRITABLE_RETRY_S
        elif not self._records.is_writable:
            refused_s, size = UNWRITABLE_RETRY_S, req.room.size
        else:
            refused_s = self.room.request(req.room, time.time(), req.program)
            size = req.room.size
        if refused_s:
            sender = req.room.sender if req.room else ""
            self._report.record_refusal(size, sender, refused_s, time.monotonic())
        return refused_s

    async def _save_view(self) -> None:
        """Saves the view, so that requests made under an older one are refused after a restart."""
        async with self._saving:
            view = self.view
            if view is not None and view.epoch > self._saved_epoch:
                await asyncio.to_thread(save_view, self._data_dir, view)
                self._saved_epoch = view.epoch

    def _is_stale(self, epoch: int) -> bool:
        return self.view is not None and epoch < self.view.epoch


def open_disk_store(
    data_dir: Path,
    memory_mb: float = 0.0,
    disk_mb: float = 0.0,
    tolerance: int = 1,
    metrics: Metrics | None = None,
) -> Result[DiskStore, Failure]:
    """Opens the data folder and replays its log; a corrupt folder is moved aside and replaced.

    Args:
        data_dir: The data folder.
        memory_mb: Memory of the process in megabytes; 0 if it is not limited.
        disk_mb: Size of the disk in megabytes; 0 if it is not limited.
        tolerance: Disks that may be lost at once.
        metrics: Receives gauges and counters; None for none.
    """
    result = open_turn_log(data_dir, disk_mb)
    if not isinstance(result, Success) and result.failure().code is Code.CORRUPT:
        moved = set_aside(data_dir)
        logs.logger("turns").error(
            "folder_set_aside", path=str(moved), detail=str(result.failure())
        )
        result = open_turn_log(data_dir, disk_mb)
    if not isinstance(result, Success):
        return Err(result.failure())
    log = result.unwrap()
    view = load_view(data_dir)
    if not isinstance(view, Success):
        log.close()
        return Err(view.failure())
    left_mb = disk_mb - remove_if_large(data_dir, disk_mb)
    state = _replay(log)
    room = Room(state, room_limits(memory_mb, left_mb), tolerance)
    disk_store = DiskStore(data_dir, DiskRecords(log, state), room, log.is_new, metrics)
    disk_store.adopt(view.unwrap())
    return Success(disk_store)


def _replay(log: TurnLog) -> DiskState:
    state = DiskState()
    now_s = time.time()
    for log_index, data in log.records():
        record = decode_parts(data)
        apply(state, record, now_s, data)
        # A record that was written again is read from its last place.
        place(state, record, log_index)
        if isinstance(record, TurnParts):
            state.turns[record.turn].record = None
    return state


def _first_page(chain: Sequence[StoredTurn], max_bytes: int) -> list[StoredTurn]:
    """Returns the newest turns of a chain for one message, none if the first one is too long."""
    page: list[StoredTurn] = []
    size = 0
    for stored in chain:
        size += stored.log_bytes
        if size > max_bytes or (page and size > messages.PAGE_BYTES):
            break
        page.append(stored)
    return page


def _reply(page: Sequence[StoredTurn], build: Callable[[], bytes]) -> bytes | LongReply:
    """Returns a reply with turns, which is built later if it is a long one."""
    size = sum(stored.log_bytes for stored in page)
    return LongReply(size, build) if size > SHORT_BYTES else build()


def handlers(disk_store: DiskStore) -> dict[str, Handler]:
    """Returns the RPC handlers by method name."""
    return {
        messages.STORE: disk_store.store,
        messages.FETCH: disk_store.fetch,
        messages.LIST_HELD: disk_store.list_held,
        messages.READ_TURNS: disk_store.read_turns,
        messages.PING: disk_store.ping,
    }
