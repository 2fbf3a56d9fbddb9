"""Watches the key-value service and passes each new cluster state to the event loop."""

import asyncio
import random
import threading
import time
from collections.abc import Callable, Mapping

from endiveworks.errors import Code, Failure
from endiveworks.gateway.cluster_state import ClusterState
from endiveworks.kvservice.kv import Change, KeyValue, Kv
from endiveworks.kvservice.watch_loop import WatchedPrefix, run_watch_loop
from endiveworks.telemetry import logs
from returns.result import Failure as Err
from returns.result import Result, Success

# Upper bound of the time until a recovered store is detected; each attempt costs a call.
MAX_BACKOFF_S = 1.0
RELOAD_JITTER_S = 0.2  # Spreads reloads when the watches of many processes break at once.

DecodeState = Callable[[Mapping[str, KeyValue], int], ClusterState]


class StateWatcher:
    """Maintains a copy of the key-value entries and publishes the state decoded from it.

    Args:
        kv: The key-value service.
        prefix: Prefix of the watched keys.
        decode_state: Decodes the entries as of a revision.
        on_state: Called in the event loop with each new state.
        coalesce_s: Pause after a change, so that the next watch call returns several changes.
    """

    def __init__(
        self,
        kv: Kv,
        prefix: str,
        decode_state: DecodeState,
        on_state: Callable[[ClusterState], None],
        coalesce_s: float,
    ) -> None:
        self._kv = kv
        self._prefix = prefix
        self._decode_state = decode_state
        self._on_state = on_state
        self._coalesce_s = coalesce_s
        self._entries: dict[str, KeyValue] = {}
        self._revision = 0
        self._loop = asyncio.get_running_loop()
        self._connected: bool | None = None

    def start(self) -> None:
        """Starts the watch thread."""
        source = WatchedPrefix(self._load, self._watch)
        threading.Thread(
            target=run_watch_loop,
            args=(source, time.sleep, random.Random()),
            kwargs={"max_backoff_s": MAX_BACKOFF_S},
            name="feed",
            daemon=True,
        ).start()

    def is_connected(self) -> bool:
        """Returns whether the last call to the key-value service succeeded."""
        return bool(self._connected)

    def _load(self) -> bool:
        result = self._kv.read_prefix(self._prefix)
        if not isinstance(result, Success):
            self._record_connection(result.failure())
            return False
        snapshot = result.unwrap()
        self._record_connection(None)
        self._entries = {entry.key: entry for entry in snapshot.entries}
        self._revision = snapshot.revision
        self._publish()
        return True

    def _watch(self) -> Result[None, Failure]:
        result = self._kv.watch(self._prefix, self._revision, self._on_changes)
        self._record_connection(None if isinstance(result, Success) else result.failure())
        if isinstance(result, Success) or result.failure().code is Code.TIMEOUT:
            return result
        # A watch that starts during an outage of the service may miss changes, so everything is
        # read again, which CONFLICT requests. Many processes lose their watches at once, hence the
        # jitter.
        time.sleep(random.random() * RELOAD_JITTER_S)
        return Err(result.failure()._replace(code=Code.CONFLICT))

    def _on_changes(self, changes: tuple[Change, ...]) -> bool:
        self._record_connection(None)
        for change in changes:
            self._revision = max(self._revision, change.mod_revision)
            if change.value is None:
                self._entries.pop(change.key, None)
            else:
                entry = KeyValue(change.key, change.value, change.mod_revision)
                self._entries[change.key] = entry
        if changes:
            self._publish()
            # Each watch costs a call, and changes often come in bursts.
            time.sleep(self._coalesce_s)
        return True

    def _publish(self) -> None:
        state = self._decode_state(self._entries, self._revision)
        self._loop.call_soon_threadsafe(self._on_state, state)

    def _record_connection(self, failure: Failure | None) -> None:
        connected = failure is None
        if connected is self._connected:
            return
        self._connected = connected
        event = "store_regained" if connected else "store_lost"
        detail = str(failure) if failure else ""
        logs.logger("feed").info(event, revision=self._revision, detail=detail)
