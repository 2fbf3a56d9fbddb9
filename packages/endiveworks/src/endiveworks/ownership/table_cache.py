"""A process's cached copy of the partition table, kept up to date by a watch."""

import random
import threading
from collections.abc import Callable, Mapping

from returns.result import Result, Success

from ..errors import Failure
from ..kvservice.kv import Change, KeyValue, Kv
from ..kvservice.watch_loop import WatchedPrefix, run_watch_loop
from .record import PARTITIONS_PREFIX, PartitionRecord, decode_record
from .table import VersionedRecord, read


class TableCache:
    """Cached records; they may be stale, so every change is made by compare-and-swap.

    Args:
        on_change: Called after a record has changed.
    """

    def __init__(self, on_change: Callable[[], None] = lambda: None) -> None:
        self._on_change = on_change
        self._lock = threading.Lock()
        self._records: dict[int, VersionedRecord] = {}
        self._revision = 0

    def records(self) -> Mapping[int, PartitionRecord]:
        """Returns the records by partition."""
        with self._lock:
            return {
                partition: versioned.record
                for partition, versioned in self._records.items()
                if versioned.record is not None
            }

    def find(self, partition: int) -> VersionedRecord:
        """Returns the cached record of a partition with its revision."""
        with self._lock:
            return self._records.get(partition, VersionedRecord(None, 0))

    def put(self, partition: int, versioned: VersionedRecord) -> None:
        """Stores a record unless the same or a later revision is cached."""
        with self._lock:
            cached = self._records.get(partition)
            if cached is not None and cached.revision >= versioned.revision:
                return
            self._records[partition] = versioned
        self._on_change()

    def refresh(self, kv: Kv, partition: int) -> Result[VersionedRecord, Failure]:
        """Reads one record from the key-value service and caches it."""
        found = read(kv, partition)
        if isinstance(found, Success):
            self.put(partition, found.unwrap())
        return found

    def load(self, kv: Kv) -> bool:
        """Reads all records; returns whether the key-value service responded."""
        found = kv.read_prefix(PARTITIONS_PREFIX)
        if not isinstance(found, Success):
            return False
        for entry in found.unwrap().entries:
            self._store_entry(entry)
        self._revision = found.unwrap().revision
        return True

    def follow(self, kv: Kv, sleep: Callable[[float], None], rng: random.Random) -> None:
        """Keeps the cache up to date for as long as the process runs."""

        def watch() -> Result[None, Failure]:
            return kv.watch(PARTITIONS_PREFIX, self._revision, self._on_changes)

        run_watch_loop(WatchedPrefix(lambda: self.load(kv), watch), sleep, rng)

    def _on_changes(self, changes: tuple[Change, ...]) -> bool:
        for change in changes:
            self._revision = max(self._revision, change.mod_revision)
            if change.value is not None:
                self._store_entry(KeyValue(change.key, change.value, change.mod_revision))
        return True

    def _store_entry(self, entry: KeyValue) -> None:
        decoded = decode_record(entry.key, entry.value)
        if isinstance(decoded, Success):
            record = decoded.unwrap()
            self.put(record.partition, VersionedRecord(record, entry.mod_revision))
