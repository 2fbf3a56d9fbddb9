"""Bytes of one answer as they arrive, read by offset by any number of readers."""

import threading
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


class Stream:
    """An answer that grows until it is finished."""

    def __init__(self) -> None:
        self._generation = 0
        self._data = bytearray()
        self._ending: Ending | None = None
        self._changed = threading.Condition()
        self._watchers: list[threading.Event] = []

    def append(self, data: bytes, generation: int = 0) -> None:
        """Adds bytes and wakes the readers; a finished stream takes none.

        Args:
            data: The bytes.
            generation: Becomes the stream's generation if these are its first bytes.
        """
        if not data:
            return
        with self._changed:
            if self._ending is None:
                self._generation = self._generation or generation
                self._data += data
                self._wake()

    def finish(self, ending: Ending) -> None:
        """Ends the stream; a second ending is ignored."""
        with self._changed:
            if self._ending is None:
                self._ending = ending
                self._wake()

    def read(self, offset: int, wait_s: float) -> Piece:
        """Returns bytes from an offset on, waiting until there are any or the stream ends.

        Args:
            offset: Number of bytes the reader has.
            wait_s: Seconds to wait at most; an empty piece is returned after that.
        """
        with self._changed:
            self._changed.wait_for(lambda: self._has_news(offset), wait_s)
            data = bytes(self._data[offset:])
            return Piece(offset, data, self._ending, self._generation)

    def watch(self, news: threading.Event) -> None:
        """Sets an event at every change, until it is unwatched."""
        with self._changed:
            self._watchers.append(news)

    def unwatch(self, news: threading.Event) -> None:
        """Ends a watch."""
        with self._changed:
            self._watchers.remove(news)

    def size(self) -> int:
        """Returns the number of bytes so far."""
        with self._changed:
            return len(self._data)

    def _wake(self) -> None:
        self._changed.notify_all()
        for news in self._watchers:
            news.set()

    def _has_news(self, offset: int) -> bool:
        return len(self._data) > offset or self._ending is not None
