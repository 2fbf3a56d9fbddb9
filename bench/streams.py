"""Holds many streams at once in one thread and notes when each chunk arrives."""

import selectors
import socket
import time
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

_READ_BYTES = 65536
_SILENCE_S = 60.0
_OK = b"HTTP/1.1 200 "
_END = b"[DONE]"


class Wanted(NamedTuple):
    """A request for a stream."""

    address: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class Seen(NamedTuple):
    """When a stream was asked for, and when its chunks arrived, in seconds."""

    sent_at: float
    chunks_at: tuple[float, ...]


class _Stream:
    """One open stream."""

    def __init__(self, wanted: Wanted) -> None:
        host, _, port = wanted.address.rpartition(":")
        self.conn = socket.create_connection((host, int(port)))
        self.conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sent_at = time.monotonic()
        self.chunks_at: list[float] = []
        self.tail = b""
        self.conn.sendall(_encode(wanted))
        self.conn.setblocking(False)

    def take(self) -> bool:
        """Reads what has arrived; returns whether the stream goes on."""
        data = self.conn.recv(_READ_BYTES)
        if not self.tail and not data.startswith(_OK):
            raise RuntimeError(f"a stream was refused: {data[:500]!r}")
        if b"data: " in data:
            self.chunks_at.append(time.monotonic())
        ended = _END in self.tail + data
        if not data and not ended:
            raise RuntimeError("a stream ended before its last event")
        self.tail = data[-len(_END) :]
        return not ended


def run(wanted: Sequence[Wanted], at_end: Callable[[], None] | None = None) -> list[Seen]:
    """Runs all streams to their end.

    Args:
        wanted: The streams, opened one after the other.
        at_end: Called once, when the first stream ends.
    """
    streams = [_Stream(one) for one in wanted]
    selector = selectors.DefaultSelector()
    for stream in streams:
        selector.register(stream.conn, selectors.EVENT_READ, stream)
    while selector.get_map():
        ready = selector.select(_SILENCE_S)
        if not ready:
            raise TimeoutError("no stream has sent anything")
        for key, _ in ready:
            if key.data.take():
                continue
            if at_end is not None:
                at_end()
                at_end = None
            selector.unregister(key.fileobj)
            key.data.conn.close()
    return [Seen(stream.sent_at, tuple(stream.chunks_at)) for stream in streams]


def first_s(seen: Seen) -> float:
    """Returns the time to the first chunk."""
    return seen.chunks_at[0] - seen.sent_at


def gaps_s(seen: Seen, after_s: float = 0.0) -> list[float]:
    """Returns the times between chunks, from some time after the first one."""
    times = [at for at in seen.chunks_at if at >= seen.chunks_at[0] + after_s]
    return [late - early for early, late in zip(times, times[1:], strict=False)]


def median_gap_s(seen: Seen) -> float:
    """Returns the median time between chunks."""
    gaps = sorted(gaps_s(seen))
    return gaps[len(gaps) // 2]


def _encode(wanted: Wanted) -> bytes:
    lines = [f"POST {wanted.path} HTTP/1.1", f"Host: {wanted.address}"]
    lines += [f"{name}: {value}" for name, value in wanted.headers.items()]
    lines += ["Content-Type: application/json", f"Content-Length: {len(wanted.body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + wanted.body
