"""The records of one disk: their state in memory, and their bytes in the log."""

import asyncio
import contextlib
import itertools
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from endiveworks.telemetry import logs
from endiveworks.turns.disk import (
    DiskState,
    StoredTurn,
    apply,
    move_ledger,
    move_turn,
    oldest_index,
    place,
    records_of_ledger,
)
from endiveworks.turns.records import TurnParts, decode_parts, encode

from .turn_log import AppendError, TurnLog

# Records that are needed are written again, so that those before them can be discarded, when the
# log holds this many times what is needed, and so much more.
MAX_LOG_RATIO = 1.25
SPARE_LOG_BYTES = 4 * 1024 * 1024  # Bytes that the log may hold beside MAX_LOG_RATIO.
MAX_COUNT_RATIO = 2.0  # A settlement replaces its reservation, which stays in the log.
SPARE_RECORDS = 2_000  # Records that the log may hold beside MAX_COUNT_RATIO.
REWRITE_BYTES = 256 * 1024  # Records that are written again at once; a longer one alone.
# Records whose write failed that are kept to be written again, before others are taken on.
MAX_UNWRITTEN_BYTES = 8 * 1024 * 1024

Encoded = bytes | memoryview


class _Rewrite(NamedTuple):
    """Records to write again, and the size of all of them."""

    records: list[Encoded]
    size: int


class DiskRecords:
    """Applies records, writes them, and reads them from the log.

    Args:
        log: The log.
        state: The state that the records of the log lead to.

    Attributes:
        state: The state, which includes records that are being written.
        log: The log.
        failed: Set when the disk failed, so that the state is no longer reliable.
        is_writable: Whether the last write did not fail, as on a full disk.
    """

    def __init__(self, log: TurnLog, state: DiskState) -> None:
        self.log = log
        self.state = state
        self.failed = asyncio.Event()
        self.is_writable = True
        # Applied records whose write failed; they precede all others in the next write.
        self._unwritten: list[Encoded] = []

    async def persist(
        self, encoded: Sequence[Encoded], senders: Mapping[str, str], now_s: float
    ) -> None:
        """Applies records and waits until they are synced.

        Args:
            encoded: The records.
            senders: Whose turns they are, by turn.
            now_s: Current time.

        Raises:
            OSError: The records were not synced, or the disk failed.
        """
        if sum(map(len, self._unwritten)) > MAX_UNWRITTEN_BYTES:
            await self.log.wait_until_writable()
            await self._write([])
        await self.log.wait_until_writable()
        new: list[Encoded] = []
        for data in encoded:
            record = decode_parts(data)
            sender = senders.get(record.turn, "") if isinstance(record, TurnParts) else ""
            if apply(self.state, record, now_s, data, sender):
                new.append(data)
        # A repeated record may still be unsynced; even an empty write waits for it, as a barrier.
        await self._write(new)

    def read(self, stored: StoredTurn) -> Encoded:
        """Returns the encoded record of a turn.

        Raises:
            OSError: It can't be read.
        """
        return stored.record if stored.record is not None else self.log.read(stored.log_index)

    async def discard_garbage(self) -> None:
        """Discards the records before the oldest needed one, and moves those that are in the way.

        Raises:
            OSError: A record can't be read.
        """
        if not self.is_writable:
            await self._retry_unwritten()
        self._discard()
        while self._is_rewrite_due():
            rewrite = self._take_oldest()
            if not rewrite.records:
                return
            try:
                await self._append(rewrite.records)
            except AppendError as exc:
                self._keep_unwritten(exc, rewrite.records)
                return
            self._discard()

    async def _retry_unwritten(self) -> None:
        await self.log.wait_until_writable()
        with contextlib.suppress(AppendError):
            await self._write([])

    def _discard(self) -> None:
        # The indexes of records whose write failed are those of others by now.
        if self.is_writable:
            self.log.discard_before(oldest_index(self.state, self.log.next_index))

    def _is_rewrite_due(self) -> bool:
        if not self.is_writable:
            return False
        needed = self.state.log_bytes
        return (
            self.log.record_bytes() > MAX_LOG_RATIO * needed + SPARE_LOG_BYTES
            or self.log.record_count() > MAX_COUNT_RATIO * self.state.record_count + SPARE_RECORDS
        )

    def _take_oldest(self) -> _Rewrite:
        """Moves the oldest records to the end of the log, to which they must be written next."""
        state, end = self.state, self.log.next_index
        records: list[Encoded] = []
        size = 0
        while size < REWRITE_BYTES:
            turn = next(iter(state.turns.values()), None)
            program = next(iter(state.programs), "")
            turn_index = turn.log_index if turn else end
            ledger_index = state.programs[program].log_index if program else end
            index = end + len(records)
            if min(turn_index, ledger_index) >= end:
                break
            if turn is not None and turn_index <= ledger_index:
                # Read from the old place until the new one is synced.
                data = bytes(self.read(turn))
                move_turn(state, turn, index, data)
                added: list[Encoded] = [data]
            else:
                added = [encode(record) for record in records_of_ledger(state, program)]
                move_ledger(state, program, index)
            records += added
            size += sum(map(len, added))
        return _Rewrite(records, size)

    async def _write(self, new: Sequence[Encoded]) -> None:
        """Writes records that were just applied, after those whose write failed."""
        records, self._unwritten = [*self._unwritten, *new], []
        for index, data in enumerate(records, self.log.next_index):
            place(self.state, decode_parts(data), index)
        try:
            await self._append(records)
        except AppendError as exc:
            self._keep_unwritten(exc, records)
            raise

    async def _append(self, records: Sequence[Encoded]) -> None:
        first_index = self.log.next_index
        turns = [
            (self.state.turns.get(record.turn), index)
            for index, record in zip(
                itertools.count(first_index), map(decode_parts, records), strict=False
            )
            if isinstance(record, TurnParts)
        ]
        await self.log.append(records)
        if not self.is_writable:
            self.is_writable = True
            logs.logger("turns").info("disk_writable")
        for stored, index in turns:
            if stored is not None and stored.log_index == index:
                stored.record = None

    def _keep_unwritten(self, exc: AppendError, records: Sequence[Encoded]) -> None:
        if not exc.not_written:
            self.failed.set()
            return
        if self.is_writable:
            self.is_writable = False
            logs.logger("turns").error("disk_not_writable", detail=str(exc))
        self._unwritten += records
