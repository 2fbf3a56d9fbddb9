"""State of the key-value stand-in: revisions, leases and the history that watches read."""

import threading
from typing import NamedTuple

KEPT_EVENTS = 10_000


class Record(NamedTuple):
    """A stored key, or a deletion when deleted is set."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int
    deleted: bool = False


class Lease(NamedTuple):
    """A lease with its time to live and its end, in seconds of the monotonic clock."""

    ttl_s: int
    ends_at: float


class Store:
    """Keys, leases and recent events behind one lock.

    Attributes:
        changed: Condition that holds the lock and wakes watches.
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
        """Returns the records of one key, or of a range when end is not empty."""
        with self.changed:
            if not end:
                return [self._records[key]] if key in self._records else []
            found = [record for name, record in self._records.items() if key <= name < end]
            return sorted(found)

    def mod_revision(self, key: bytes) -> int:
        """Returns the revision that last changed a key; 0 when it is absent."""
        record = self._records.get(key)
        return record.mod_revision if record else 0

    def put(self, key: bytes, value: bytes, lease: int) -> bool:
        """Writes a key; returns False when its lease does not exist."""
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
        """Deletes keys in one revision and returns how many existed."""
        with self.changed:
            present = [key for key in keys if key in self._records]
            if not present:
                return 0
            self.revision += 1
            for key in present:
                del self._records[key]
            gone = [Record(key, b"", 0, self.revision, 0, 0, True) for key in present]
            self._publish(gone)
            return len(present)

    def grant(self, lease: int, ttl_s: int, now: float) -> None:
        """Creates a lease."""
        with self.changed:
            self._leases[lease] = Lease(ttl_s, now + ttl_s)

    def keep_alive(self, lease: int, now: float) -> int:
        """Renews a lease and returns its time to live; 0 when it has lapsed."""
        with self.changed:
            self.expire(now)
            held = self._leases.get(lease)
            if held is None:
                return 0
            self._leases[lease] = Lease(held.ttl_s, now + held.ttl_s)
            return held.ttl_s

    def expire(self, now: float) -> None:
        """Ends the leases that are over and deletes their keys."""
        with self.changed:
            over = {lease for lease, held in self._leases.items() if held.ends_at <= now}
            for lease in over:
                del self._leases[lease]
            if over:
                self.delete([key for key, rec in self._records.items() if rec.lease in over])

    def events_from(self, revision: int, key: bytes, end: bytes) -> list[Record]:
        """Returns the events of a range from a revision on, oldest first."""
        with self.changed:
            newer = [event for event in self._events if event.mod_revision >= revision]
            return [event for event in newer if _in_range(event.key, key, end)]

    def compact(self) -> None:
        """Forgets every event, so that older watches cannot resume."""
        with self.changed:
            self._events.clear()
            self.oldest_event = self.revision + 1

    def _publish(self, events: list[Record]) -> None:
        self._events.extend(events)
        if len(self._events) > KEPT_EVENTS:
            del self._events[: KEPT_EVENTS // 2]
            self.oldest_event = self._events[0].mod_revision
        self.changed.notify_all()


def _in_range(name: bytes, key: bytes, end: bytes) -> bool:
    return key <= name < end if end else name == key
