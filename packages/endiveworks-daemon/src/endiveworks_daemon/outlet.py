"""Where the bytes of a streamed answer go as soon as they arrive."""

import os
import socket
from collections.abc import Callable

_LINE_END = b"\r\n"


class ChunkWriter:
    """Writes chunks to a caller's connection without waiting for a slow caller.

    Args:
        sock: Connection whose headers have been sent with chunked encoding.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._rest = b""

    def write(self, data: bytes) -> bool:
        """Takes bytes; returns False when flush must be called before more can be taken."""
        frame = b"%x\r\n%b\r\n" % (len(data), data)
        try:
            # The descriptor does not block, since the socket has a timeout.
            sent = os.write(self._sock.fileno(), frame)
        except OSError:
            sent = 0
        self._rest = frame[sent:]
        return not self._rest

    def flush(self) -> None:
        """Writes what a slow caller had no room for.

        Raises:
            OSError: The caller is gone, or does not read.
        """
        rest, self._rest = self._rest, b""
        if rest:
            self._sock.sendall(rest)


class Outlet:
    """The way to a caller, open from the moment that its answer has begun.

    Attributes:
        generation: Generation of the bytes sent so far.
    """

    def __init__(self, connect: Callable[[], ChunkWriter | None]) -> None:
        self.generation = 0
        self._connect = connect
        self._writer: ChunkWriter | None = None

    def open(self) -> None:
        """Is called once the first bytes have been sent."""
        self._writer = self._connect()

    @property
    def writer(self) -> ChunkWriter | None:
        """The writer; None while bytes have to be passed on by the thread of the request."""
        return self._writer
