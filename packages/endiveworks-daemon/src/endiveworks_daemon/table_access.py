"""Access to the partition table, with backoff while the key-value service is down."""

import threading
from collections.abc import Callable

from endiveworks.errors import Code, Failure
from endiveworks.kvservice.kv import Kv
from endiveworks.ownership import table
from endiveworks.ownership.record import PartitionRecord
from endiveworks.ownership.table import VersionedRecord
from endiveworks.ownership.table_cache import TableCache
from returns.result import Failure as Err
from returns.result import Result, Success

from .partition_timers import Backoffs

# Bounds how long after an outage of the key-value service this host resumes work on the table.
_MAX_BACKOFF_S = 2.0
_BACKOFF_KEY = 0
_NO_REPLY_CODES = frozenset({Code.TIMEOUT, Code.UNREACHABLE})


class TableAccess:
    """A cache of the table, the set of its stale records, and a backoff for outages.

    Without the backoff, all hosts would request every partition of a dead owner in a tight loop
    for as long as the key-value service is down.

    Args:
        kv: The key-value service.
        on_change: Called when a record has changed or became stale.

    Attributes:
        table: The records as last read.
    """

    def __init__(self, kv: Kv, on_change: Callable[[], None]) -> None:
        self.table = TableCache(on_change)
        self._kv = kv
        self._on_change = on_change
        self._lock = threading.Lock()
        self._stale: set[int] = set()
        self._backoff = Backoffs(_MAX_BACKOFF_S)

    def refresh_soon(self, partition: int) -> None:
        """Marks the record of a partition as stale, so that it is read again soon."""
        with self._lock:
            self._stale.add(partition)
        self._on_change()

    def refresh_stale(self) -> None:
        """Reads the stale records again, until a read gets no reply."""
        if not self._backoff.may_try(_BACKOFF_KEY):
            return
        with self._lock:
            stale, self._stale = self._stale, set()
        while stale:
            partition = stale.pop()
            if self._update_backoff(self.table.refresh(self._kv, partition)):
                with self._lock:
                    self._stale |= {partition, *stale}
                return

    def read(self, partition: int) -> Result[VersionedRecord, Failure]:
        """Reads a record; fails at once during a backoff."""
        if not self._backoff.may_try(_BACKOFF_KEY):
            return Err(_backoff_failure())
        found = table.read(self._kv, partition)
        self._update_backoff(found)
        return found

    def swap(
        self, expected: VersionedRecord, record: PartitionRecord
    ) -> Result[VersionedRecord, Failure]:
        """Replaces a record by compare-and-swap; fails at once during a backoff."""
        if not self._backoff.may_try(_BACKOFF_KEY):
            return Err(_backoff_failure())
        swapped = table.swap(self._kv, expected, record)
        self._update_backoff(swapped)
        if isinstance(swapped, Success):
            self.table.put(record.partition, swapped.unwrap())
        else:
            self.refresh_soon(record.partition)
        return swapped

    def _update_backoff(self, outcome: Result[VersionedRecord, Failure]) -> bool:
        """Starts a backoff and returns True if there was no reply; otherwise ends the backoff."""
        if isinstance(outcome, Success) or outcome.failure().code not in _NO_REPLY_CODES:
            self._backoff.record_success(_BACKOFF_KEY)
            return False
        self._backoff.record_failure(_BACKOFF_KEY)
        return True


def _backoff_failure() -> Failure:
    detail = "backing off: a recent call to the key-value service got no reply"
    return Failure(Code.UNREACHABLE, "ownership.table", "", detail, not_run=True)
