"""Sends a log's entries to one copy, in order and with retries."""

import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

from returns.result import Success

from ..errors import Code, Failure
from .copy_state import Append, Head, Request, Trim
from .peer import HeadFuture, Peer, spend

MAX_SEND_BYTES = 1024 * 1024
_RETRIED = frozenset({Code.TIMEOUT, Code.UNREACHABLE})


class Patience(NamedTuple):
    """How long a copy may fail to answer, in seconds."""

    retry_s: float = 0.2
    give_up_s: float = 3.0


class SenderEvents(NamedTuple):
    """What a sender reports: the last index on disk, or why the copy is given up."""

    acked: Callable[[int], None]
    failed: Callable[[Failure], None]


class CopySender:
    """State of the sending to one copy: what waits, and up to where it is on disk.

    One request is under way at a time, and takes along all entries that wait when it is sent.
    The senders of a log share its lock, because a send may complete in the thread that makes it.

    Attributes:
        peer: Access to the copy.
        acked: Index up to which the copy is on disk.
        waiting_bytes: Bytes of the entries that wait to be sent.
    """

    def __init__(
        self,
        peer: Peer,
        partition: int,
        epoch: int,
        acked: int,
        patience: Patience,
        lock: threading.RLock,
    ) -> None:
        self.peer = peer
        self.acked = acked
        self.waiting_bytes = 0
        self._partition = partition
        self._epoch = epoch
        self._patience = patience
        self._next_index = acked + 1
        self._queue: deque[bytes] = deque()
        self._trim_to = 0
        self._events: SenderEvents | None = None
        self._sending: Request | None = None
        self._failing_since: float | None = None
        self._stopped = False
        self._lock = lock

    def start(self, events: SenderEvents) -> None:
        """Begins to send what waits."""
        with self._lock:
            self._events = events
            self._send_next()

    def put(self, entries: Sequence[bytes]) -> None:
        """Queues the entries that follow the last ones queued."""
        with self._lock:
            self._queue.extend(entries)
            self.waiting_bytes += sum(map(len, entries))
            self._send_next()

    def trim(self, first_index: int) -> None:
        """Lets the copy drop entries below an index, once those before it are on disk."""
        with self._lock:
            self._trim_to = first_index
            self._send_next()

    def stop(self) -> None:
        """Sends nothing more."""
        with self._lock:
            self._stopped = True
            self._queue.clear()
            self.waiting_bytes = 0

    def _send_next(self) -> None:
        if self._events is None or self._stopped or self._sending is not None:
            return
        if self._queue:
            self._send(self._next_append())
        elif self._trim_to:
            first_index, self._trim_to = self._trim_to, 0
            self._send(Trim(self._partition, self._epoch, first_index))

    def _next_append(self) -> Append:
        batch: list[bytes] = []
        size = 0
        while self._queue and (not batch or size + len(self._queue[0]) <= MAX_SEND_BYTES):
            entry = self._queue.popleft()
            batch.append(entry)
            size += len(entry)
        self.waiting_bytes -= size
        spend(self.peer, batch)
        first_index = self._next_index
        self._next_index += len(batch)
        return Append(self._partition, self._epoch, first_index, batch)

    def _send(self, req: Request) -> None:
        self._sending = req
        self.peer.send(req).add_done_callback(self._answered)

    def _answered(self, fut: HeadFuture) -> None:
        outcome = fut.result()
        if isinstance(outcome, Success):
            self._succeeded(outcome.unwrap())
        else:
            self._failed(outcome.failure())

    def _succeeded(self, head: Head) -> None:
        with self._lock:
            self._failing_since = None
            self._sending = None
            # A repeat may find later entries of an earlier attempt; only sent ones count.
            self.acked = max(self.acked, min(head.last_index, self._next_index - 1))
            self._send_next()
            events, stopped = self._events, self._stopped
        if events is not None and not stopped:
            events.acked(self.acked)

    def _failed(self, failure: Failure) -> None:
        now = time.monotonic()
        with self._lock:
            if self._stopped:
                return
            if self._failing_since is None:
                self._failing_since = now
            patient = now - self._failing_since < self._patience.give_up_s
            if failure.code in _RETRIED and patient:
                self._retry_later()
                return
            self._stopped = True
            events = self._events
        if events is not None:
            events.failed(failure._replace(peer=self.peer.copy.host))

    def _retry_later(self) -> None:
        timer = threading.Timer(self._patience.retry_s, self._retry)
        timer.daemon = True
        timer.start()

    def _retry(self) -> None:
        with self._lock:
            if not self._stopped and self._sending is not None:
                self._send(self._sending)
