"""Reads the body of a request as far as there is memory for it."""

from typing import Any

from cheroot.server import ChunkedRFile
from endiveworks.gateway.chunks import ChunkReader

from .caller_memory import RequestMemory

_PIECE_BYTES = 16 * 1024
_MAX_LINE_BYTES = 1024  # Of a chunk's size, or of a trailer.
_MAX_TRAILER_BYTES = 16 * 1024


class NoRoomError(Exception):
    """Raised when there is no memory for a body."""


class BodyTooLongError(Exception):
    """Raised when a body is longer than allowed."""


def read_body(source: Any, length: int | None, max_bytes: int, memory: RequestMemory) -> bytes:
    """Returns the body of a request; a shorter one if the connection ends.

    Args:
        source: The body, as the WSGI environment has it.
        length: Length of the body; None if it is sent in chunks.
        max_bytes: Longest body.
        memory: Claims the memory for it.

    Raises:
        NoRoomError: There is no memory for it.
        BodyTooLongError: It is longer than allowed.
        ValueError: Its chunks are malformed.
        OSError: The connection was lost; TimeoutError if it did not arrive in time.
    """
    if length is None:
        return _read_chunks(source, max_bytes, memory)
    if not memory.claim_body(length):
        raise NoRoomError
    body = bytearray()
    # cheroot's reader allocates what it is asked for at each piece that arrives.
    while len(body) < length and (piece := source.read(min(_PIECE_BYTES, length - len(body)))):
        body += piece
    return bytes(body)


def _read_chunks(source: ChunkedRFile, max_bytes: int, memory: RequestMemory) -> bytes:
    """Reads a body in chunks; cheroot would copy all of it for each chunk."""
    conn = source.rfile
    chunks = ChunkReader(_MAX_LINE_BYTES)
    body = bytearray()
    while not chunks.is_done:
        arrived = conn.peek(1)
        if not arrived:
            raise ValueError("the body ends within a chunk")
        data, rest = chunks.read(arrived)
        conn.read(len(arrived) - len(rest))  # The rest stays for the trailer and the next request.
        if len(body) + len(data) > max_bytes:
            raise BodyTooLongError
        if not memory.claim_body(len(data)):
            raise NoRoomError
        body += data
    _skip_trailer(conn)
    source.closed = True
    return bytes(body)


def _skip_trailer(conn: Any) -> None:
    """Reads the trailer and the blank line behind the last chunk."""
    size = 0
    while (line := conn.readline(_MAX_LINE_BYTES)) not in (b"\r\n", b""):
        size += len(line)
        if size > _MAX_TRAILER_BYTES or not line.endswith(b"\n"):
            raise ValueError("the trailer is too long")
    if not line:
        raise ValueError("the body ends within its trailer")
