"""Writes the bytes of a streamed response to the caller as soon as they arrive."""

import os
import socket
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext

_LINE_END = b"\r\n"


class ChunkWriter:
    """Writes HTTP chunks to a caller's connection without blocking on a slow caller.

    Args:
        sock: Connection whose headers have been sent with chunked encoding.
        waiting: Marks the time in which a thread waits for the caller.
    """

    def __init__(
        self,
        sock: socket.socket,
        waiting: Callable[[], AbstractContextManager[None]] = nullcontext,
    ) -> None:
        self._sock = sock
        self._waiting = waiting
        self._unsent = b""

    def write(self, data: bytes) -> bool:
        """Writes one chunk; returns False if flush must be called before the next write."""
        frame = b"%x\r\n%b\r\n" % (len(data), data)
        try:
            # The descriptor does not block, since the socket has a timeout.
            sent = os.write(self._sock.fileno(), frame)
        except OSError:
            sent = 0
        self._unsent = frame[sent:]
        return not self._unsent

    def flush(self) -> None:
        """Writes the unsent rest of the last chunk, waiting for a slow caller.

        Raises:
            OSError: The connection was closed, or the caller did not read in time.
        """
        unsent, self._unsent = self._unsent, b""
        if unsent:
            with self._waiting():
                self._sock.sendall(unsent)


class ResponseSink:
    """Direct output to a caller, open once the first bytes of the response have been sent.

    Attributes:
        generation: Generation of the bytes sent so far.
    """

    def __init__(self, make_writer: Callable[[], ChunkWriter | None]) -> None:
        self.generation = 0
        self._make_writer = make_writer
        self._writer: ChunkWriter | None = None

    def open(self) -> None:
        """Enables direct writes; called once the first bytes have been sent."""
        self._writer = self._make_writer()

    @property
    def writer(self) -> ChunkWriter | None:
        """The writer; None while the request's own thread has to send the bytes."""
        return self._writer
