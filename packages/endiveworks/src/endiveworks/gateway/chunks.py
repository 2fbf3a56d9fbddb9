"""Reads the chunks of a body, many at a time."""

import re
from typing import NamedTuple

_CRLF = b"\r\n"
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;[^\r\n]*)?[ \t]*\r\n")


class MalformedChunkError(ValueError):
    """Raised when the bytes of a body are not a sequence of chunks."""


class ChunkData(NamedTuple):
    """What some bytes hold.

    Attributes:
        data: Data of the chunks, joined.
        rest: What follows the line of the last chunk, which is empty: a trailer, a blank line and
            perhaps the next request.
    """

    data: bytes
    rest: bytes


class ChunkReader:
    """Reads the chunks of one body as they arrive.

    Args:
        max_line_bytes: Longest line with the size of a chunk.

    Attributes:
        is_done: Whether the last chunk has arrived, after which nothing more may be read.
    """

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._held = b""  # Start of a line that has not arrived whole.
        self._missing = 0  # Bytes of the current chunk's data that have not arrived.
        self._in_chunk = False
        self.is_done = False

    def read(self, data: bytes) -> ChunkData:
        """Returns what the next bytes of the body hold.

        Raises:
            MalformedChunkError: The bytes are malformed; nothing more may be read.
        """
        data, self._held = self._held + data, b""
        parts: list[bytes] = []
        rest = self._split(data, parts)
        return ChunkData(b"".join(parts), rest)

    def _split(self, data: bytes, parts: list[bytes]) -> bytes:
        """Collects the data of chunks; returns what follows the line of the last one."""
        at, size = 0, len(data)
        while True:
            if self._in_chunk:
                end = at + self._missing
                parts.append(data[at:end])
                self._missing = max(0, end - size)
                footer = data[end : end + 2]
                if footer != _CRLF:
                    return self._hold(data, min(end, size), _CRLF.startswith(footer))
                at = end + 2
                self._in_chunk = False
            line = _CHUNK_LINE.match(data, at)
            if line is None:
                is_short = size - at <= self._max_line_bytes
                return self._hold(data, at, is_short and data.find(_CRLF, at) < 0)
            self._missing = int(line[1], 16)
            at = line.end()
            if not self._missing:
                self.is_done = True
                return data[at:]
            self._in_chunk = True

    def _hold(self, data: bytes, at: int, may_go_on: bool) -> bytes:
        """Keeps the start of a line until the rest of it arrives."""
        if not may_go_on:
            raise MalformedChunkError("a chunk is malformed")
        self._held = data[at:]
        return b""


class ChunkJoiner:
    """Rewrites small chunks of a body to larger ones, which cost a parser less.

    Args:
        max_line_bytes: Longest line with the size of a chunk.
    """

    def __init__(self, max_line_bytes: int) -> None:
        self._chunks = ChunkReader(max_line_bytes)

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes for the parser; empty while a line is incomplete.

        What follows the last chunk is returned as it is.

        Raises:
            MalformedChunkError: The bytes are malformed; nothing more may be fed.
        """
        if self._chunks.is_done:
            return data
        joined, rest = self._chunks.read(data)
        chunk = b"%x\r\n%b\r\n" % (len(joined), joined) if joined else b""
        return chunk + b"0\r\n" + rest if self._chunks.is_done else chunk
