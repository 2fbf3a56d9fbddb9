"""Follows the key-value service and gives each new picture of it to the event loop."""

import asyncio
import random
import threading
import time
from collections.abc import Callable, Mapping

from endiveworks.errors import Code, Failure
from endiveworks.gateway.picture import Picture
from endiveworks.kvservice.following import Source, follow
from endiveworks.kvservice.kv import Change, Entry, Kv
from endiveworks.telemetry import logs
from returns.result import Failure as Err
from returns.result import Result, Success

# A store that is back is found again within about this time; each try costs a call.
MAX_BACKOFF_S = 1.0
RELOAD_SPREAD_S = 0.2  # Spreads the reads of processes whose watches were cut at the same moment.

ReadPicture = Callable[[Mapping[str, Entry], int], Picture]


class Feed:
    """A copy of the key-value service.

    Args:
        kv: The key-value service.
        prefix: Prefix of all keys that are followed.
        read_picture: Makes a picture of the entries, as of a revision.
        take: Takes each new picture in the event loop.
        gather_s: Time in which changes are gathered, so that one call reads several.
    """

    def __init__(
        self,
        kv: Kv,
        prefix: str,
        read_picture: ReadPicture,
        take: Callable[[Picture], None],
        gather_s: float,
    ) -> None:
        self._kv = kv
        self._prefix = prefix
        self._read_picture = read_picture
        self._take = take
        self._gather_s = gather_s
        self._entries: dict[str, Entry] = {}
        self._revision = 0
        self._loop = asyncio.get_running_loop()
        self._in_touch: bool | None = None

    def start(self) -> None:
        """Begins to follow, in a thread of its own."""
        source = Source(self._load, self._watch)
        threading.Thread(
            target=follow,
            args=(source, time.sleep, random.Random()),
            kwargs={"max_backoff_s": MAX_BACKOFF_S},
            name="feed",
            daemon=True,
        ).start()

    def is_in_touch(self) -> bool:
        """Tells whether the key-value service answered when last asked."""
        return bool(self._in_touch)

    def _load(self) -> bool:
        found = self._kv.read_prefix(self._prefix)
        if not isinstance(found, Success):
            self._note_touch(found.failure())
            return False
        snapshot = found.unwrap()
        self._note_touch(None)
        self._entries = {entry.key: entry for entry in snapshot.entries}
        self._revision = snapshot.revision
        self._show()
        return True

    def _watch(self) -> Result[None, Failure]:
        ended = self._kv.watch(self._prefix, self._revision, self._on_changes)
        self._note_touch(None if isinstance(ended, Success) else ended.failure())
        if isinstance(ended, Success) or ended.failure().code is Code.TIMEOUT:
            return ended
        # A watch that begins while the service is in trouble may hear nothing of what has changed,
        # so everything is read again. Many processes lose their watches at the same moment.
        time.sleep(random.random() * RELOAD_SPREAD_S)
        return Err(ended.failure()._replace(code=Code.CONFLICT))

    def _on_changes(self, changes: tuple[Change, ...]) -> bool:
        self._note_touch(None)
        for change in changes:
            self._revision = max(self._revision, change.mod_revision)
            if change.value is None:
                self._entries.pop(change.key, None)
            else:
                entry = Entry(change.key, change.value, change.mod_revision)
                self._entries[change.key] = entry
        if changes:
            self._show()
            # Each watch costs a call, and changes often come in quick succession.
            time.sleep(self._gather_s)
        return True

    def _show(self) -> None:
        picture = self._read_picture(self._entries, self._revision)
        self._loop.call_soon_threadsafe(self._take, picture)

    def _note_touch(self, failure: Failure | None) -> None:
        in_touch = failure is None
        if in_touch is self._in_touch:
            return
        self._in_touch = in_touch
        event = "store_regained" if in_touch else "store_lost"
        detail = str(failure) if failure else ""
        logs.logger("feed").info(event, revision=self._revision, detail=detail)
