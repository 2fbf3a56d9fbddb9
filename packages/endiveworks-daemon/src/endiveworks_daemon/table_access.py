"""Reads and changes of the partition table, which pause while the key-value service is down."""

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

# Bounds how late this host acts on the table after an outage of the key-value service.
_MAX_BACKOFF_S = 2.0
_TABLE = 0
_UNANSWERED = frozenset({Code.TIMEOUT, Code.UNREACHABLE})


class TableAccess:
    """A view of the table, the records in it that are known to be old, and the pause in an outage.

    Without the pause, all hosts would ask for every partition of a dead owner, as fast as they
    can, for as long as the key-value service is down.

    Args:
        kv: The key-value service.
        changed: Is called when there is something to act on.

    Attributes:
        view: The records as last read.
    """

    def __init__(self, kv: Kv, changed: Callable[[], None]) -> None:
        self.view = TableCache(changed)
        self._kv = kv
        self._changed = changed
        self._lock = threading.Lock()
        self._stale: set[int] = set()
        self._backoff = Backoffs(_MAX_BACKOFF_S)

    def refresh_soon(self, partition: int) -> None:
        """Has the record of a partition read again soon."""
        with self._lock:
            self._stale.add(partition)
        self._changed()

    def refresh_stale(self) -> None:
        """Reads the records that are known to be old, as far as the table answers."""
        if not self._backoff.may_try(_TABLE):
            return
        with self._lock:
            stale, self._stale = self._stale, set()
        while stale:
            partition = stale.pop()
            if self._is_unanswered(self.view.refresh(self._kv, partition)):
                with self._lock:
                    self._stale |= {partition, *stale}
                return

    def read(self, partition: int) -> Result[VersionedRecord, Failure]:
        """Reads a record; in a pause it fails at once."""
        if not self._backoff.may_try(_TABLE):
            return Err(_paused())
        found = table.read(self._kv, partition)
        self._is_unanswered(found)
        return found

    def swap(
        self, before: VersionedRecord, record: PartitionRecord
    ) -> Result[VersionedRecord, Failure]:
        """Replaces a record if it is as it was; in a pause it fails at once."""
        if not self._backoff.may_try(_TABLE):
            return Err(_paused())
        swapped = table.swap(self._kv, before, record)
        self._is_unanswered(swapped)
        if isinstance(swapped, Success):
            self.view.put(record.partition, swapped.unwrap())
        else:
            self.refresh_soon(record.partition)
        return swapped

    def _is_unanswered(self, outcome: Result[VersionedRecord, Failure]) -> bool:
        """Begins a pause and returns True if the table did not answer, and else ends it."""
        if isinstance(outcome, Success) or outcome.failure().code not in _UNANSWERED:
            self._backoff.succeeded(_TABLE)
            return False
        self._backoff.failed(_TABLE)
        return True


def _paused() -> Failure:
    detail = "the key-value service did not answer a short time ago"
    return Failure(Code.UNREACHABLE, "ownership.table", "", detail, not_run=True)
