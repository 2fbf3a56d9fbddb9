"""Thrift's socket with a buffer, which spares a system call for the length of each frame."""

from thrift.transport.TSocket import TSocket

_READ_BYTES = 65536


class BufferedSocket(TSocket):
    """A socket that reads all that has arrived, up to a bound."""

    def __init__(self, host: str = "", port: int = 0) -> None:
        super().__init__(host, port)
        self._buffer = b""
        self._taken = 0

    def read(self, size: int) -> bytes:
        """Returns between one byte and a number of them, waiting for the first."""
        if self._taken == len(self._buffer):
            # What is longer than the buffer is read as before, in pieces of its own size.
            self._buffer = super().read(max(size, _READ_BYTES))
            self._taken = 0
        begin, self._taken = self._taken, min(len(self._buffer), self._taken + size)
        return self._buffer[begin : self._taken]
