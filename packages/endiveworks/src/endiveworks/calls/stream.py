"""Bytes of one answer as they arrive, read by offset by any number of readers."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from ..errors import Failure


class Ending(NamedTuple):
    """How an answer ended.

    Attributes:
        status: HTTP status of the answer.
        content_type: Media type of the answer.
        prompt_tokens: Tokens of the prompt, from the engine.
        completion_tokens: Tokens generated, from the engine.
        cached_tokens: Prompt tokens that the engine found in its cache.
        failure: Why there is no usable answer; None when the answer is whole.
    """

    status: int
    content_type: str
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
    failure: Failure | None = None


class Piece(NamedTuple):
    """Part of an answer.

    Attributes:
        offset: Number of bytes before it.
        data: The bytes.
        ending: How the answer ended, once the bytes reach its end.
        generation: Equal for answers with equal bytes; 0 while there are none.
    """

    offset: int
    data: bytes
    ending: Ending | None
    generation: int = 0


# Generation of an answer that is rendered from its stored form.
STORED_GENERATION = -1


class _Tap:
    """A reader whose bytes are written by the thread that appends them."""

    def __init__(self, offset: int, write: Callable[[bytes], bool]) -> None:
        self.offset = offset
        self.done = threading.Event()
        self._write = write

    def push(self, data: bytes) -> None:
        """Writes bytes that follow those written before, unless the writer is full."""
        if self.done.is_set():
            return
        self.offset += len(data)
        if not self._write(data):
            self.done.set()


class Stream:
    """An answer that grows until it is finished."""

    def __init__(self) -> None:
        self._generation = 0
        self._data = bytearray()
        self._ending: Ending | None = None
        # Entered directly where nobody is waited for: a Condition would add calls to each token.
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._readers = 0
        self._watchers: list[threading.Event] = []
        self._taps: list[_Tap] = []

    def append(self, data: bytes, generation: int = 0) -> None:
        """Adds bytes and wakes the readers; a finished stream takes none.

        Args:
            data: The bytes.
            generation: Becomes the stream's generation if these are its first bytes.
        """
        if not data:
            return
        with self._lock:
            if self._ending is None:
                self._generation = self._generation or generation
                self._data += data
                for tap in self._taps:
                    tap.push(data)
                self._wake()

    def finish(self, ending: Ending) -> None:
        """Ends the stream; a second ending is ignored."""
        with self._lock:
            if self._ending is None:
                self._ending = ending
                for tap in self._taps:
                    tap.done.set()
                self._wake()

    def read(self, offset: int, wait_s: float) -> Piece:
        """Returns bytes from an offset on, waiting until there are any or the stream ends.

        Args:
            offset: Number of bytes the reader has.
            wait_s: Seconds to wait at most; an empty piece is returned after that.
        """
        with self._lock:
            self._readers += 1
            try:
                self._changed.wait_for(lambda: self.has_news(offset), wait_s)
            finally:
                self._readers -= 1
            return self._piece(offset)

    def read_now(self, offset: int) -> Piece:
        """Returns the bytes from an offset on that are there."""
        with self._lock:
            return self._piece(offset)

    def has_news(self, offset: int) -> bool:
        """Tells whether there are bytes from an offset on, or the end, without taking the lock."""
        return len(self._data) > offset or self._ending is not None

    def flow(
        self, offset: int, generation: int, write: Callable[[bytes], bool], wait_s: float
    ) -> Piece:
        """Has bytes written as they are appended, which spares waking this thread for each.

        Args:
            offset: Number of bytes written before.
            generation: Generation of those bytes; a stream with another one is only read.
            write: Takes bytes, and returns False when it can't take more for now. It is called on
                the appending thread and must not block.
            wait_s: Seconds to wait at most for the end.

        Returns:
            What has not been written, with the offset up to which it has.
        """
        tap = _Tap(offset, write)
        with self._lock:
            if self._generation != generation or not self._attach(tap):
                return self._piece(offset)
        tap.done.wait(wait_s)
        with self._lock:
            self._taps.remove(tap)
            return self._piece(tap.offset)

    def watch(self, news: threading.Event) -> None:
        """Sets an event at every change from now on."""
        if news in self._watchers:
            return
        with self._lock:
            if news not in self._watchers:
                self._watchers.append(news)

    def size(self) -> int:
        """Returns the number of bytes so far."""
        with self._lock:
            return len(self._data)

    def _attach(self, tap: _Tap) -> bool:
        """Has a tap write what is there, and adds it if more is to come."""
        if self._ending is not None:
            return False
        if len(self._data) > tap.offset:
            tap.push(bytes(self._data[tap.offset :]))
        self._taps.append(tap)
        return True

    def _piece(self, offset: int) -> Piece:
        return Piece(offset, bytes(self._data[offset:]), self._ending, self._generation)

    def _wake(self) -> None:
        if self._readers:
            self._changed.notify_all()
        for news in self._watchers:
            if not news.is_set():
                news.set()
