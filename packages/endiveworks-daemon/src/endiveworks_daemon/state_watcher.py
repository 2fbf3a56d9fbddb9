"""Keeps a copy of the key-value entries and passes each new cluster state to the event loop.

Changes come from another process of the region, or from the key-value service itself if this
process is the root of its region's tree or reaches none of its sources; see distribution_tree.
"""

import asyncio
import random
import threading
import time
from collections.abc import Callable, Coroutine, Mapping, Sequence
from concurrent.futures import CancelledError
from typing import Any, NamedTuple

from endiveworks.errors import Code, Failure
from endiveworks.gateway.cluster_state import ClusterState
from endiveworks.kvservice.kv import Change, KeyValue, Kv
from endiveworks.kvservice.watch_loop import WatchedPrefix, run_watch_loop
from endiveworks.links.threads import start_forever
from endiveworks.telemetry import logs
from returns.result import Failure as Err
from returns.result import Result, Success

from .change_log import READ_CHANGES, WAIT_S, ChangeLog, ChangesRead, ReadChanges, digest_of
from .confirmation import Confirmation
from .rpc import RpcClient

# Upper bound of the time until a recovered store is detected; each attempt costs a call.
MAX_BACKOFF_S = 1.0
RELOAD_JITTER_S = 0.2  # Spreads reloads when the watches of many processes break at once.
# Time beyond WAIT_S for a reply of a source; several round trips within a region.
SOURCE_MARGIN_S = 0.4
# A source that failed is tried again after this time, since each attempt may cost a timeout.
MIN_SOURCE_RETRY_S = 2.0
MAX_SOURCE_RETRY_S = 30.0
# A source whose entries are older than those of this process has probably just started.
LAG_PAUSE_S = 0.1
MAX_LAG_PAUSES = 10

DecodeState = Callable[[Mapping[str, KeyValue], int], ClusterState]
# Returns the addresses of the processes to receive changes from, in order of preference.
FindSources = Callable[[ClusterState], Sequence[str]]

# Ends a watch without a new read of the prefix: the next one continues from the same revision.
_SOURCE_CHANGED = Failure(Code.TIMEOUT, "state.watch", "", "another source is to be used")
_STOPPED = Failure(Code.UNREACHABLE, "state.watch", "", "this process is stopping")


class _Retry(NamedTuple):
    """When a source that failed may be tried again, and the delay that led to this time."""

    at_s: float
    delay_s: float


class StateWatcher:
    """Maintains a copy of the key-value entries and publishes the state decoded from it.

    Args:
        kv: The key-value service.
        prefix: Prefix of the watched keys.
        decode_state: Decodes the entries as of a revision.
        on_state: Called in the event loop with each new state.
        coalesce_s: Pause after a change, so that the next watch call returns several changes.
        find_sources: Returns the sources of this process; by default there are none.

    Attributes:
        change_log: The changes for processes that use this one as a source.
    """

    def __init__(
        self,
        kv: Kv,
        prefix: str,
        decode_state: DecodeState,
        on_state: Callable[[ClusterState], None],
        coalesce_s: float,
        find_sources: FindSources = lambda _: (),
    ) -> None:
        self._kv = kv
        self._prefix = prefix
        self._decode_state = decode_state
        self._on_state = on_state
        self._coalesce_s = coalesce_s
        self._find_sources = find_sources
        self._entries: dict[str, KeyValue] = {}
        self._revision = 0
        self._loop = asyncio.get_running_loop()
        self._connected: bool | None = None
        self._may_lack_changes = False
        self._sources: Sequence[str] = ()
        self._retries: dict[str, _Retry] = {}
        self._clients: dict[str, RpcClient] = {}
        self._stopped = threading.Event()
        self._confirmation = Confirmation()
        self.change_log = ChangeLog(self._confirmation.age_s)

    def start(self) -> None:
        """Starts the watch thread."""
        source = WatchedPrefix(self._load, self._watch)
        rng = random.Random()

        def follow() -> None:
            run_watch_loop(
                source, time.sleep, rng, lambda: not self._stopped.is_set(), MAX_BACKOFF_S
            )

        start_forever("feed", follow)

    def stop(self) -> None:
        """Publishes no more states; must be called before the event loop is closed."""
        self._stopped.set()
        for client in self._clients.values():
            client.close()

    def is_connected(self) -> bool:
        """Returns whether the last call to the service or to a source succeeded."""
        return bool(self._connected)

    def age_s(self) -> float | None:
        """Returns the time since the entries were known to be complete; None if they never were."""
        return self._confirmation.age_s()

    def sources(self) -> Sequence[str]:
        """Returns the processes that this one should receive from, whether they work or not."""
        return self._sources

    def _load(self) -> bool:
        if self._entries and self._usable_source():
            # A source sends all entries if they differ from those of this process.
            self._may_lack_changes = True
            return True
        self._confirmation.ask()
        result = self._kv.read_prefix(self._prefix)
        if not isinstance(result, Success):
            self._record_connection(result.failure())
            return False
        snapshot = result.unwrap()
        self._confirmation.confirm()
        self._reset(snapshot.entries, snapshot.revision)
        return True

    def _watch(self) -> Result[None, Failure]:
        source = self._usable_source()
        if source:
            return self._follow(source)
        if self._may_lack_changes:
            return Err(_SOURCE_CHANGED._replace(code=Code.CONFLICT))
        self._confirmation.ask()
        result = self._kv.watch(self._prefix, self._revision, self._on_changes)
        if isinstance(result, Success):
            return Err(_SOURCE_CHANGED)
        self._record_connection(result.failure())
        if result.failure().code is Code.TIMEOUT:
            return result
        # A watch that starts during an outage of the service may miss changes, so everything is
        # read again, which CONFLICT requests. Many processes lose their watches at once, hence the
        # jitter.
        time.sleep(random.random() * RELOAD_JITTER_S)
        return Err(result.failure()._replace(code=Code.CONFLICT))

    def _on_changes(self, changes: tuple[Change, ...]) -> bool:
        """Applies changes reported by the service; returns whether to go on watching it."""
        self._record_connection(None)
        self._confirmation.confirm()
        if changes:
            self._apply(changes, 0)
            # Each watch costs a call, and changes often come in bursts.
            time.sleep(self._coalesce_s)
        self._confirmation.ask()
        return not self._usable_source()

    def _follow(self, address: str) -> Result[None, Failure]:
        """Receives changes from a source until it fails or is no longer the preferred one."""
        logs.logger("feed").info("source_selected", address=address, revision=self._revision)
        request = ReadChanges("", 0, digest_of(self._entries))
        pauses = 0
        while self._usable_source() == address:
            self._confirmation.ask()
            reply = self._in_loop(self._read_changes(address, request))
            if not isinstance(reply, Success):
                self._postpone(address, str(reply.failure()))
                break
            read = reply.unwrap()
            if not read.connected or pauses > MAX_LAG_PAUSES:
                self._postpone(address, "it is not up to date itself")
                break
            if read.entries is not None and read.revision < self._revision:
                pauses += 1
                time.sleep(LAG_PAUSE_S)
                continue
            self._accept(address, read)
            request = ReadChanges(read.generation, read.position, 0)
        return Err(_SOURCE_CHANGED)

    def _accept(self, address: str, read: ChangesRead) -> None:
        self._retries.pop(address, None)
        self._may_lack_changes = False
        self._record_connection(None)
        self._confirmation.confirm(read.age_s)
        if read.entries is not None:
            self._reset(read.entries, read.revision)
        elif read.changes:
            self._apply(read.changes, read.revision)

    async def _read_changes(
        self, address: str, request: ReadChanges
    ) -> Result[ChangesRead, Failure]:
        client = self._clients.get(address)
        if client is None:
            for old in list(self._clients):
                self._clients.pop(old).close()
            client = self._clients[address] = RpcClient(address)
        return await client.call(READ_CHANGES, request, ChangesRead, WAIT_S + SOURCE_MARGIN_S)

    def _in_loop(
        self, coro: Coroutine[Any, Any, Result[ChangesRead, Failure]]
    ) -> Result[ChangesRead, Failure]:
        if self._stopped.is_set():
            coro.close()
            return Err(_STOPPED)
        try:
            return asyncio.run_coroutine_threadsafe(coro, self._loop).result()
        except CancelledError:
            return Err(_STOPPED)

    def _post(self, function: Callable[..., None], *args: object) -> None:
        """Calls a function in the event loop, unless this watcher was stopped."""
        if not self._stopped.is_set():
            self._loop.call_soon_threadsafe(function, *args)

    def _usable_source(self) -> str:
        """Returns the source to use now; empty to watch the service."""
        now_s = time.monotonic()
        for address in self._sources:
            if address not in self._retries or self._retries[address].at_s <= now_s:
                return address
        return ""

    def _postpone(self, address: str, detail: str) -> None:
        """Uses other sources for some time; longer each time in a row that a source fails."""
        before = self._retries.get(address)
        delay_s = min(2 * before.delay_s, MAX_SOURCE_RETRY_S) if before else MIN_SOURCE_RETRY_S
        self._retries[address] = _Retry(time.monotonic() + delay_s, delay_s)
        logs.logger("feed").warning(
            "source_failed", address=address, detail=detail, wait_s=delay_s, revision=self._revision
        )

    def _reset(self, entries: Sequence[KeyValue], revision: int) -> None:
        self._entries = {entry.key: entry for entry in entries}
        self._revision = revision
        self._may_lack_changes = False
        self._record_connection(None)
        self._post(self.change_log.reset, entries, revision)
        self._publish()

    def _apply(self, changes: Sequence[Change], revision: int) -> None:
        for change in changes:
            self._revision = max(self._revision, change.mod_revision)
            if change.value is None:
                self._entries.pop(change.key, None)
            else:
                entry = KeyValue(change.key, change.value, change.mod_revision)
                self._entries[change.key] = entry
        self._revision = max(self._revision, revision)
        self._post(self.change_log.append, changes, self._revision)
        self._publish()

    def _publish(self) -> None:
        state = self._decode_state(self._entries, self._revision)
        self._sources = self._find_sources(state)
        self._retries = {k: v for k, v in self._retries.items() if k in self._sources}
        self._post(self._on_state, state)

    def _record_connection(self, failure: Failure | None) -> None:
        connected = failure is None
        if connected is self._connected:
            return
        self._connected = connected
        self._post(self.change_log.set_connected, connected)
        event = "store_regained" if connected else "store_lost"
        detail = str(failure) if failure else ""
        logs.logger("feed").info(event, revision=self._revision, detail=detail)
