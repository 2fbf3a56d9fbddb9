"""Store of the key-value stand-in: records, leases and the event history for watches."""

import threading
from typing import NamedTuple

MAX_EVENTS = 10_000


class Record(NamedTuple):
    """A stored record, or a deletion if deleted is set."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int
    deleted: bool = False


class Lease(NamedTuple):
    """A lease with its time to live and its expiry, in seconds of the monotonic clock."""

    ttl_s: int
    expires_at: float


class Store:
    """Records, leases and recent events, protected by one lock.

    Attributes:
        changed: Condition that owns the lock and notifies watches.
        revision: Revision of the last change.
        oldest_event: Lowest revision that a watch can start from.
    """

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.revision = 1
        self.oldest_event = 1
        self._records: dict[bytes, Record] = {}
        self._leases: dict[int, Lease] = {}
        self._events: list[Record] = []

    def range(self, key: bytes, end: bytes) -> list[Record]:
        """Returns the record of one key, or those of a range if end is not empty."""
        with self.changed:
            if not end:
                return [self._records[key]] if key in self._records else []
            records = [record for name, record in self._records.items() if key <= name < end]
            return sorted(records)

    def mod_revision(self, key: bytes) -> int:
        """Returns the revision that last changed a key, or 0 if the key does not exist."""
        record = self._records.get(key)
        return record.mod_revision if record else 0

    def put(self, key: bytes, value: bytes, lease: int) -> bool:
        """Writes a key; returns False if the lease does not exist."""
        with self.changed:
            if lease and lease not in self._leases:
                return False
            old = self._records.get(key)
            self.revision += 1
            created = old.create_revision if old else self.revision
            version = old.version + 1 if old else 1
            record = Record(key, value, created, self.revision, version, lease)
            self._records[key] = record
            self._publish([record])
            return True

    def delete(self, keys: list[bytes]) -> int:
        """Deletes keys in one revision and returns the number that existed."""
        with self.changed:
            present = [key for key in keys if key in self._records]
            if not present:
                return 0
            self.revision += 1
            for key in present:
                del self._records[key]
            deletions = [Record(key, b"", 0, self.revision, 0, 0, True) for key in present]
            self._publish(deletions)
            return len(present)

    def grant(self, lease: int, ttl_s: int, now: float) -> None:
        """Creates a lease."""
        with self.changed:
            self._leases[lease] = Lease(ttl_s, now + ttl_s)

    def keep_alive(self, lease: int, now: float) -> int:
        """Renews a lease and returns its time to live, or 0 if it has expired."""
        with self.changed:
            self.expire(now)
            current = self._leases.get(lease)
            if current is None:
                return 0
            self._leases[lease] = Lease(current.ttl_s, now + current.ttl_s)
            return current.ttl_s

    def expire(self, now: float) -> None:
        """Removes expired leases and deletes their keys."""
        with self.changed:
            expired = {
                lease for lease, current in self._leases.items() if current.expires_at <= now
            }
            for lease in expired:
                del self._leases[lease]
            if expired:
                self.delete([key for key, rec in self._records.items() if rec.lease in expired])

    def events_from(self, revision: int, key: bytes, end: bytes) -> list[Record]:
        """Returns the events of a range starting at a revision, oldest first."""
        with self.changed:
            newer = [event for event in self._events if event.mod_revision >= revision]
            return [event for event in newer if _in_range(event.key, key, end)]

    def compact(self) -> None:
        """Drops all events, so that older watches cannot resume."""
        with self.changed:
            self._events.clear()
            self.oldest_event = self.revision + 1

    def _publish(self, events: list[Record]) -> None:
        self._events.extend(events)
        if len(self._events) > MAX_EVENTS:
            del self._events[: MAX_EVENTS // 2]
            self.oldest_event = self._events[0].mod_revision
        self.changed.notify_all()


def _in_range(name: bytes, key: bytes, end: bytes) -> bool:
    return key <= name < end if end else name == key
