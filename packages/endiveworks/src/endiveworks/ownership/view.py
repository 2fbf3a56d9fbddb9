"""A process's copy of the table of partitions, kept up to date by a watch."""

import random
import threading
from collections.abc import Callable, Mapping

from returns.result import Result, Success

from ..errors import Failure
from ..kvservice.following import Source, follow
from ..kvservice.kv import Change, Entry, Kv
from .record import PARTITIONS_PREFIX, PartitionRecord, decode_record
from .table import Located, read


class TableView:
    """The records as last read; it may be behind, so every change is by compare-and-swap.

    Args:
        changed: Is called after a record has changed.
    """

    def __init__(self, changed: Callable[[], None] = lambda: None) -> None:
        self._changed = changed
        self._lock = threading.Lock()
        self._located: dict[int, Located] = {}
        self._revision = 0

    def records(self) -> Mapping[int, PartitionRecord]:
        """Returns the records by partition."""
        with self._lock:
            return {
                partition: located.record
                for partition, located in self._located.items()
                if located.record is not None
            }

    def find(self, partition: int) -> Located:
        """Returns the record of a partition with its revision."""
        with self._lock:
            return self._located.get(partition, Located(None, 0))

    def put(self, partition: int, located: Located) -> None:
        """Takes a record in unless a later one is known."""
        with self._lock:
            known = self._located.get(partition)
            if known is not None and known.revision >= located.revision:
                return
            self._located[partition] = located
        self._changed()

    def refresh(self, kv: Kv, partition: int) -> Result[Located, Failure]:
        """Reads one record again."""
        found = read(kv, partition)
        if isinstance(found, Success):
            self.put(partition, found.unwrap())
        return found

    def load(self, kv: Kv) -> bool:
        """Reads all records; returns whether the key-value service answered."""
        found = kv.read_prefix(PARTITIONS_PREFIX)
        if not isinstance(found, Success):
            return False
        for entry in found.unwrap().entries:
            self._take(entry)
        self._revision = found.unwrap().revision
        return True

    def follow(self, kv: Kv, sleep: Callable[[float], None], rng: random.Random) -> None:
        """Keeps the view up to date for as long as the process runs."""

        def watch() -> Result[None, Failure]:
            return kv.watch(PARTITIONS_PREFIX, self._revision, self._on_changes)

        follow(Source(lambda: self.load(kv), watch), sleep, rng)

    def _on_changes(self, changes: tuple[Change, ...]) -> bool:
        for change in changes:
            self._revision = max(self._revision, change.mod_revision)
            if change.value is not None:
                self._take(Entry(change.key, change.value, change.mod_revision))
        return True

    def _take(self, entry: Entry) -> None:
        decoded = decode_record(entry.key, entry.value)
        if isinstance(decoded, Success):
            record = decoded.unwrap()
            self.put(record.partition, Located(record, entry.mod_revision))
