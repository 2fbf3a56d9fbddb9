"""Buffered response bytes, read by offset by any number of readers while they arrive."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from ..errors import Failure


class FinalStatus(NamedTuple):
    """Final status of a response.

    Attributes:
        status: HTTP status code.
        content_type: Media type of the response.
        prompt_tokens: Prompt tokens, as reported by the engine.
        completion_tokens: Generated tokens, as reported by the engine.
        cached_tokens: Prompt tokens served from the engine's prefix cache.
        failure: Why there is no usable response; None when the response is complete.
    """

    status: int
    content_type: str
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
    failure: Failure | None = None


class Chunk(NamedTuple):
    """Part of a response.

    Attributes:
        offset: Offset of the first byte in the response.
        data: The bytes.
        final_status: Final status if the bytes reach the end of the response, else None.
        generation: Id shared by responses with equal bytes; 0 while there are none.
    """

    offset: int
    data: bytes
    final_status: FinalStatus | None
    generation: int = 0


# Generation of a response that is rendered from its stored form.
STORED_GENERATION = -1


class _Sink:
    """A writer that the appending thread writes to directly."""

    def __init__(self, offset: int, write: Callable[[bytes], bool]) -> None:
        self.offset = offset
        self.done = threading.Event()
        self._write = write

    def push(self, data: bytes) -> None:
        """Writes the next bytes, unless the writer has refused more."""
        if self.done.is_set():
            return
        self.offset += len(data)
        if not self._write(data):
            self.done.set()


class Stream:
    """A response that grows until it is finished."""

    def __init__(self) -> None:
        self._generation = 0
        self._data = bytearray()
        self._final_status: FinalStatus | None = None
        # Acquired directly where nothing waits: a Condition would add function calls per token.
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._readers = 0
        self._watchers: list[threading.Event] = []
        self._sinks: list[_Sink] = []

    def append(self, data: bytes, generation: int = 0) -> None:
        """Appends bytes and notifies the readers; ignored once the stream is finished.

        Args:
            data: The bytes.
            generation: Generation of the stream if these are its first bytes.
        """
        if not data:
            return
        with self._lock:
            if self._final_status is None:
                self._generation = self._generation or generation
                self._data += data
                for sink in self._sinks:
                    sink.push(data)
                self._notify()

    def finish(self, final_status: FinalStatus) -> None:
        """Ends the stream; ignored if it has already ended."""
        with self._lock:
            if self._final_status is None:
                self._final_status = final_status
                for sink in self._sinks:
                    sink.done.set()
                self._notify()

    def read(self, offset: int, wait_s: float) -> Chunk:
        """Returns the bytes from an offset on, waiting until there are any or the stream ends.

        Args:
            offset: Number of bytes that the reader already has.
            wait_s: Maximum seconds to wait; after that an empty chunk is returned.
        """
        with self._lock:
            self._readers += 1
            try:
                self._changed.wait_for(lambda: self.is_readable(offset), wait_s)
            finally:
                self._readers -= 1
            return self._chunk(offset)

    def read_nowait(self, offset: int) -> Chunk:
        """Returns the bytes available from an offset on, without waiting."""
        with self._lock:
            return self._chunk(offset)

    def is_readable(self, offset: int) -> bool:
        """Returns whether a read at an offset would not wait; does not acquire the lock."""
        return len(self._data) > offset or self._final_status is not None

    def pipe(
        self, offset: int, generation: int, write: Callable[[bytes], bool], wait_s: float
    ) -> Chunk:
        """Writes bytes on the appending thread, so that this thread need not wake up for each.

        Args:
            offset: Number of bytes already written.
            generation: Generation of those bytes; nothing is written if the stream has another one.
            write: Writes bytes; returns False when it can't accept more for now. Called on the
                appending thread; must not block.
            wait_s: Maximum seconds to wait for the end.

        Returns:
            The bytes that were not written; the offset is the number of bytes that were.
        """
        sink = _Sink(offset, write)
        with self._lock:
            if self._generation != generation or not self._add_sink(sink):
                return self._chunk(offset)
        sink.done.wait(wait_s)
        with self._lock:
            self._sinks.remove(sink)
            return self._chunk(sink.offset)

    def watch(self, event: threading.Event) -> None:
        """Sets the event at every later change of the stream."""
        if event in self._watchers:
            return
        with self._lock:
            if event not in self._watchers:
                self._watchers.append(event)

    def size(self) -> int:
        """Returns the number of bytes received so far."""
        with self._lock:
            return len(self._data)

    def _add_sink(self, sink: _Sink) -> bool:
        """Writes the available bytes to a sink, and adds it unless the stream has ended."""
        if self._final_status is not None:
            return False
        if len(self._data) > sink.offset:
            sink.push(bytes(self._data[sink.offset :]))
        self._sinks.append(sink)
        return True

    def _chunk(self, offset: int) -> Chunk:
        return Chunk(offset, bytes(self._data[offset:]), self._final_status, self._generation)

    def _notify(self) -> None:
        if self._readers:
            self._changed.notify_all()
        for event in self._watchers:
            if not event.is_set():
                event.set()
