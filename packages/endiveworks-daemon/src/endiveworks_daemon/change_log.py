"""Passes the entries of the key-value service on to other processes, as a log of changes."""

import asyncio
import uuid
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

import msgspec
import xxhash
from endiveworks.kvservice.kv import Change, KeyValue

from .rpc import Handler

READ_CHANGES = "state.read_changes"
# A read without changes is answered after this time, which shows that the sender is alive. With the
# margin of the reader it is less than the shortest bound of a deployment for a new configuration.
WAIT_S = 1.0
# Changes that are kept for readers; one that lags further behind receives all entries.
MAX_CHANGES = 2_048


class ReadChanges(NamedTuple):
    """Request for the changes after a position.

    Attributes:
        generation: Id of the log that the position refers to; empty for none.
        position: Number of changes of that log that the reader has.
        digest: Digest of the reader's entries, see digest_of; used if the log is another one.
    """

    generation: str
    position: int
    digest: int


class ChangesRead(NamedTuple):
    """Reply to ReadChanges.

    Attributes:
        connected: Whether the sender's entries are up to date; the other fields count only then.
        generation: Id of the sender's log.
        position: Number of changes that the reader has after this reply.
        revision: Revision of the key-value service up to which the sender has all changes.
        changes: The changes after the reader's position, in order.
        entries: All entries if the reader needs them; None if the changes suffice.
        age_s: Time since the sender's entries were known to be complete; None if unknown.
    """

    connected: bool
    generation: str = ""
    position: int = 0
    revision: int = 0
    changes: Sequence[Change] = ()
    entries: Sequence[KeyValue] | None = None
    age_s: float | None = None


def digest_of(entries: Mapping[str, KeyValue]) -> int:
    """Returns a digest of the keys and revisions of entries."""
    revisions = [(key, entries[key].mod_revision) for key in sorted(entries)]
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(revisions))


class ChangeLog:
    """The entries of this process and their latest changes; used in the event loop only.

    Args:
        age_s: Returns the time since the entries were known to be complete; None if unknown.
    """

    def __init__(self, age_s: Callable[[], float | None] = lambda: None) -> None:
        self._age_s = age_s
        self._generation = ""
        self._entries: dict[str, KeyValue] = {}
        self._revision = 0
        self._position = 0
        self._changes: deque[Change] = deque(maxlen=MAX_CHANGES)
        self._connected = False
        self._updated = asyncio.Event()

    def reset(self, entries: Iterable[KeyValue], revision: int) -> None:
        """Replaces all entries, after which readers compare theirs and receive all if they differ.

        Changes may have been missed, so the old positions don't tell what a reader lacks.
        """
        self._generation = uuid.uuid4().hex
        self._entries = {entry.key: entry for entry in entries}
        self._revision, self._position = revision, 0
        self._changes.clear()
        self._connected = True
        self._wake()

    def append(self, changes: Sequence[Change], revision: int) -> None:
        """Adds changes."""
        for change in changes:
            if change.value is None:
                self._entries.pop(change.key, None)
            else:
                self._entries[change.key] = KeyValue(change.key, change.value, change.mod_revision)
        self._changes.extend(changes)
        self._position += len(changes)
        self._revision = max(self._revision, revision)
        if changes:
            self._wake()

    def set_connected(self, connected: bool) -> None:
        """Records whether the entries are up to date; if not, readers look for another source."""
        if connected is not self._connected:
            self._connected = connected
            self._wake()

    async def read(self, request: ReadChanges) -> ChangesRead:
        """Returns what the reader lacks, waiting up to WAIT_S for a change."""
        reply = self._reply(request)
        has_news = reply.changes or reply.entries is not None
        if not reply.connected or has_news or reply.generation != request.generation:
            return reply
        try:
            async with asyncio.timeout(WAIT_S):
                await self._updated.wait()
        except TimeoutError:
            return reply
        return self._reply(request)

    def handlers(self) -> dict[str, Handler]:
        """Returns the RPC handlers by method name."""

        async def read_changes(message: memoryview) -> bytes:
            request = msgspec.msgpack.decode(message, type=ReadChanges)
            return msgspec.msgpack.encode(await self.read(request))

        return {READ_CHANGES: read_changes}

    def _reply(self, request: ReadChanges) -> ChangesRead:
        if not self._connected:
            return ChangesRead(connected=False)
        reply = ChangesRead(True, self._generation, self._position, self._revision)
        reply = reply._replace(age_s=self._age_s())
        if request.generation == self._generation:
            missing = self._position - request.position
            if 0 <= missing <= len(self._changes):
                first = len(self._changes) - missing
                return reply._replace(
                    changes=[self._changes[n] for n in range(first, first + missing)]
                )
        elif request.digest == digest_of(self._entries):
            return reply
        return reply._replace(entries=list(self._entries.values()))

    def _wake(self) -> None:
        self._updated.set()
        self._updated = asyncio.Event()
