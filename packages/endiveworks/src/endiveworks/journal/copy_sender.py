"""Replicates a log's entries to one copy, in order and with retries."""

import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

from returns.result import Success

from ..errors import Code, Failure
from .copy_state import Append, CopyState, Request, Trim
from .peer import CopyStateFuture, Peer, charge_link

MAX_SEND_BYTES = 1024 * 1024
_RETRYABLE = frozenset({Code.TIMEOUT, Code.UNREACHABLE})


class RetryPolicy(NamedTuple):
    """Interval between attempts, and time after which an unresponsive copy has failed."""

    retry_s: float = 0.2
    give_up_s: float = 3.0


class SenderCallbacks(NamedTuple):
    """Callbacks of a sender: the last index on disk, or the failure of the copy."""

    on_acked: Callable[[int], None]
    on_failed: Callable[[Failure], None]


class CopySender:
    """Replication of a log to one copy: the queued entries, and the last index on its disk.

    One request is in flight at a time; an append carries all queued entries, up to MAX_SEND_BYTES.
    The senders of a log share its lock, because a send may complete in the calling thread.

    Attributes:
        peer: Access to the copy.
        acked_index: Index of the last entry that the copy has on disk.
        queued_bytes: Bytes of the entries not sent yet.
    """

    def __init__(
        self,
        peer: Peer,
        partition: int,
        epoch: int,
        acked_index: int,
        retry_policy: RetryPolicy,
        lock: threading.RLock,
    ) -> None:
        self.peer = peer
        self.acked_index = acked_index
        self.queued_bytes = 0
        self._partition = partition
        self._epoch = epoch
        self._retry_policy = retry_policy
        self._next_index = acked_index + 1
        self._queue: deque[bytes] = deque()
        self._trim_index = 0
        self._callbacks: SenderCallbacks | None = None
        self._in_flight: Request | None = None
        self._failing_since: float | None = None
        self._stopped = False
        self._lock = lock

    def start(self, callbacks: SenderCallbacks) -> None:
        """Sets the callbacks and starts sending the queued entries."""
        with self._lock:
            self._callbacks = callbacks
            self._send_next()

    def enqueue(self, entries: Sequence[bytes]) -> None:
        """Queues the next entries in index order."""
        with self._lock:
            self._queue.extend(entries)
            self.queued_bytes += sum(map(len, entries))
            self._send_next()

    def trim(self, first_index: int) -> None:
        """Trims the copy's entries below an index, after all queued entries are on its disk."""
        with self._lock:
            self._trim_index = first_index
            self._send_next()

    def stop(self) -> None:
        """Stops sending and discards the queue."""
        with self._lock:
            self._stopped = True
            self._queue.clear()
            self.queued_bytes = 0

    def _send_next(self) -> None:
        if self._callbacks is None or self._stopped or self._in_flight is not None:
            return
        if self._queue:
            self._send(self._next_append())
        elif self._trim_index:
            first_index, self._trim_index = self._trim_index, 0
            self._send(Trim(self._partition, self._epoch, first_index))

    def _next_append(self) -> Append:
        batch: list[bytes] = []
        size = 0
        while self._queue and (not batch or size + len(self._queue[0]) <= MAX_SEND_BYTES):
            entry = self._queue.popleft()
            batch.append(entry)
            size += len(entry)
        self.queued_bytes -= size
        charge_link(self.peer, batch)
        first_index = self._next_index
        self._next_index += len(batch)
        return Append(self._partition, self._epoch, first_index, batch)

    def _send(self, req: Request) -> None:
        self._in_flight = req
        self.peer.send(req).add_done_callback(self._on_reply)

    def _on_reply(self, fut: CopyStateFuture) -> None:
        result = fut.result()
        if isinstance(result, Success):
            self._on_success(result.unwrap())
        else:
            self._on_failure(result.failure())

    def _on_success(self, state: CopyState) -> None:
        with self._lock:
            self._failing_since = None
            self._in_flight = None
            # The copy may hold later entries, sent by an earlier attempt to replicate to it. Only
            # entries sent by this sender count.
            self.acked_index = max(self.acked_index, min(state.last_index, self._next_index - 1))
            self._send_next()
            callbacks, stopped = self._callbacks, self._stopped
        if callbacks is not None and not stopped:
            callbacks.on_acked(self.acked_index)

    def _on_failure(self, failure: Failure) -> None:
        now = time.monotonic()
        with self._lock:
            if self._stopped:
                return
            if self._failing_since is None:
                self._failing_since = now
            may_retry = now - self._failing_since < self._retry_policy.give_up_s
            if failure.code in _RETRYABLE and may_retry:
                self._schedule_resend()
                return
            self._stopped = True
            callbacks = self._callbacks
        if callbacks is not None:
            callbacks.on_failed(failure._replace(peer=self.peer.copy.host))

    def _schedule_resend(self) -> None:
        timer = threading.Timer(self._retry_policy.retry_s, self._resend)
        timer.daemon = True
        timer.start()

    def _resend(self) -> None:
        with self._lock:
            if not self._stopped and self._in_flight is not None:
                self._send(self._in_flight)
