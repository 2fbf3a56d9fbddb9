"""Thrift socket with a read buffer, which saves a system call for the length of each frame."""

from thrift.transport.TSocket import TSocket

_READ_BYTES = 65536


class BufferedSocket(TSocket):
    """A socket that reads all available bytes, up to the larger of _READ_BYTES and the size."""

    def __init__(self, host: str = "", port: int = 0) -> None:
        super().__init__(host, port)
        self._buffer = b""
        self._position = 0

    def read(self, size: int) -> bytes:
        """Returns 1 to size bytes; blocks until at least one is available."""
        if self._position == len(self._buffer):
            # A request larger than the buffer is read at its own size.
            self._buffer = super().read(max(size, _READ_BYTES))
            self._position = 0
        start, self._position = self._position, min(len(self._buffer), self._position + size)
        return self._buffer[start : self._position]
