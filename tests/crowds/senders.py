"""A crowd of callers that don't behave, in a process of its own.

Run as `python -m tests.crowds.senders KIND ADDRESS SECONDS CONNECTIONS LINE [HEADER ...]`. LINE is
the method and target of the requests. A connection that the other side closes is opened again.
"""

import asyncio
import contextlib
import itertools
import select
import socket
import subprocess
import sys
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

BODY_BYTES = 4 * 1024 * 1024  # The longest legal body.
HEAD_BYTES = 16_384  # The longest legal head.
CHUNK_BYTES = 64 * 1024
SMALL_CHUNK_BYTES = 16
PIECE_BYTES = 16 * 1024
PIECE_PAUSE_S = 0.002
POLL_S = 0.05
CROWD_S = 6.0  # Time for which a crowd is there before others come.
LONGEST_S = 300.0  # Time after which a crowd ends by itself.
SMALL_BUFFER_BYTES = 4096
AHEAD = 5_000
LONG_HEADS_AHEAD = 200
BODIES_AHEAD = 5

_MODULE = "tests.crowds.senders"
_ROOT = Path(__file__).parents[2]
_BODY = b"x" * BODY_BYTES

# Returns what one connection sends, from the encoded start of a head.
Pieces = Callable[[bytes], Iterator[bytes]]


def bodies_with_length(head: bytes) -> Iterator[bytes]:
    """Sends a body that ends one byte before its announced length."""
    yield head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    yield _BODY[:-1]


def bodies_piece_by_piece(head: bytes) -> Iterator[bytes]:
    """Sends the same in pieces."""
    yield head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    for start in range(0, BODY_BYTES, PIECE_BYTES):
        yield _BODY[start : min(start + PIECE_BYTES, BODY_BYTES - 1)]


def _chunked(head: bytes, size: int) -> Iterator[bytes]:
    yield head + b"Transfer-Encoding: chunked\r\n\r\n"
    piece = b"%x\r\n%b\r\n" % (size, _BODY[:size])
    per_write = max(1, CHUNK_BYTES // len(piece))
    count = BODY_BYTES // size - 1
    for written in range(0, count, per_write):
        yield piece * min(per_write, count - written)
    yield b"%x\r\n%b" % (size, _BODY[: size - 1])


def bodies_in_chunks(head: bytes) -> Iterator[bytes]:
    """Sends a body in chunks, the last of which lacks a byte."""
    return _chunked(head, CHUNK_BYTES)


def bodies_in_small_chunks(head: bytes) -> Iterator[bytes]:
    """Sends the same in chunks of a few bytes."""
    return _chunked(head, SMALL_CHUNK_BYTES)


def requests_ahead(head: bytes) -> Iterator[bytes]:
    """Sends many requests without waiting for the responses."""
    for _ in range(AHEAD):
        yield head + b"\r\n"


def bodies_ahead(head: bytes) -> Iterator[bytes]:
    """Sends whole requests with long bodies without waiting for the responses."""
    for _ in range(BODIES_AHEAD):
        yield head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
        yield _BODY


def long_heads_ahead(head: bytes) -> Iterator[bytes]:
    """Sends requests whose heads have as many lines as fit."""
    line = b"a:b\r\n"
    lines = line * ((HEAD_BYTES - 2 * len(head)) // len(line))
    for _ in range(LONG_HEADS_AHEAD):
        yield head + lines + b"\r\n"


def heads_without_end(head: bytes) -> Iterator[bytes]:
    """Sends a head that lacks its end."""
    yield head + b"X-Padding: "
    yield _BODY[: HEAD_BYTES - 2 * len(head)]


def nothing(_: bytes) -> Iterator[bytes]:
    """Sends nothing on open connections."""
    return iter(())


KINDS: dict[str, Pieces] = {
    kind.__name__.replace("_", "-"): kind
    for kind in (
        bodies_with_length,
        bodies_piece_by_piece,
        bodies_in_chunks,
        bodies_in_small_chunks,
        requests_ahead,
        bodies_ahead,
        long_heads_ahead,
        heads_without_end,
        nothing,
    )
}


def _was_closed(sock: socket.socket) -> bool:
    """Returns whether the other side has closed a connection, without reading from it."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
    return bool(poll.poll(0))


async def _occupy(pieces: Iterator[bytes], address: str, pause_s: float) -> None:
    """Opens one connection, sends the pieces and keeps it open until the other side closes it."""
    loop = asyncio.get_running_loop()
    ip, _, port = address.rpartition(":")
    with socket.socket() as sock:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        await loop.sock_connect(sock, (ip, int(port)))
        sending = asyncio.create_task(_send(sock, pieces, pause_s))
        try:
            while not _was_closed(sock):
                await asyncio.sleep(POLL_S)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)


async def _send(sock: socket.socket, pieces: Iterator[bytes], pause_s: float) -> None:
    for piece in pieces:
        await asyncio.get_running_loop().sock_sendall(sock, piece)
        if pause_s:
            await asyncio.sleep(pause_s)


async def crowd(kind: str, address: str, seconds: float, connections: int, head: bytes) -> None:
    """Keeps a number of connections open for some time."""

    async def repeat() -> None:
        pause_s = PIECE_PAUSE_S if KINDS[kind] is bodies_piece_by_piece else 0.0
        while True:
            with contextlib.suppress(OSError):
                await _occupy(KINDS[kind](head), address, pause_s)
            await asyncio.sleep(POLL_S)

    tasks = [asyncio.create_task(repeat()) for _ in range(connections)]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@contextlib.contextmanager
def crowded(
    kind: str, address: str, connections: int, line: str, headers: Sequence[str]
) -> Iterator[None]:
    """Keeps up a crowd in a process of its own until the context ends."""
    args = [kind, address, str(LONGEST_S), str(connections), line, *headers]
    popen = subprocess.Popen([sys.executable, "-m", _MODULE, *args], cwd=_ROOT)
    try:
        yield
        assert popen.poll() is None, "the crowd ended by itself"
    finally:
        popen.kill()
        popen.wait()


def main(args: Sequence[str]) -> None:
    """Runs a crowd as the arguments say."""
    kind, address, seconds, connections, line, *headers = args
    lines = itertools.chain([f"{line} HTTP/1.1"], headers)
    head = "".join(f"{text}\r\n" for text in lines).encode()
    asyncio.run(crowd(kind, address, float(seconds), int(connections), head))


if __name__ == "__main__":
    main(sys.argv[1:])
