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
_EVENT = b"data: "


class Wanted(NamedTuple):
    """A request for a stream."""

    address: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class Seen(NamedTuple):
    """When a stream was asked for, and when its chunks arrived, in seconds.

    Attributes:
        sent_at: When it was asked for.
        chunks_at: When each chunk arrived.
        events: Number of events in each chunk.
    """

    sent_at: float
    chunks_at: tuple[float, ...]
    events: tuple[int, ...]


class _Stream:
    """One open stream."""

    def __init__(self, wanted: Wanted) -> None:
        host, _, port = wanted.address.rpartition(":")
        self.conn = socket.create_connection((host, int(port)))
        self.conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sent_at = time.monotonic()
        self.chunks_at: list[float] = []
        self.events: list[int] = []
        self.tail = b""
        self.conn.sendall(_encode(wanted))
        self.conn.setblocking(False)

    def take(self) -> bool:
        """Reads what has arrived; returns whether the stream goes on."""
        data = self.conn.recv(_READ_BYTES)
        if not self.tail and not data.startswith(_OK):
            raise RuntimeError(f"a stream was refused: {data[:500]!r}")
        events = data.count(_EVENT)
        if events:
            self.chunks_at.append(time.monotonic())
            self.events.append(events)
        ended = _END in self.tail + data
        if not data and not ended:
            raise RuntimeError("a stream ended before its last event")
        self.tail = data[-len(_END) :]
        return not ended


def run(
    wanted: Sequence[Wanted],
    at_flow: Callable[[], None] = lambda: None,
    at_end: Callable[[], None] = lambda: None,
) -> list[Seen]:
    """Runs all streams to their end.

    Args:
        wanted: The streams, opened one after the other.
        at_flow: Called once, when every stream has had a chunk.
        at_end: Called once, when the first stream ends.
    """
    streams = [_Stream(one) for one in wanted]
    begun = ended = 0
    selector = selectors.DefaultSelector()
    for stream in streams:
        selector.register(stream.conn, selectors.EVENT_READ, stream)
    while selector.get_map():
        ready = selector.select(_SILENCE_S)
        if not ready:
            raise TimeoutError("no stream has sent anything")
        for key, _ in ready:
            silent = not key.data.chunks_at
            goes_on = key.data.take()
            if silent and key.data.chunks_at:
                begun += 1
                if begun == len(streams):
                    at_flow()
            if goes_on:
                continue
            ended += 1
            if ended == 1:
                at_end()
            selector.unregister(key.fileobj)
            key.data.conn.close()
    return [Seen(one.sent_at, tuple(one.chunks_at), tuple(one.events)) for one in streams]


def first_s(seen: Seen) -> float:
    """Returns the time to the first chunk."""
    return seen.chunks_at[0] - seen.sent_at


def gaps_s(seen: Seen, after_s: float = 0.0) -> list[float]:
    """Returns the times between chunks, from some time after the first one."""
    times = [at for at in seen.chunks_at if at >= seen.chunks_at[0] + after_s]
    return [late - early for early, late in zip(times, times[1:], strict=False)]


def events_between(seen: Seen, begin_at: float, end_at: float) -> int:
    """Returns the number of events that arrived in a time."""
    arrived = zip(seen.chunks_at, seen.events, strict=True)
    return sum(count for at, count in arrived if begin_at < at <= end_at)


def median_gap_s(seen: Seen) -> float:
    """Returns the median time between chunks."""
    gaps = sorted(gaps_s(seen))
    return gaps[len(gaps) // 2]


def _encode(wanted: Wanted) -> bytes:
    lines = [f"POST {wanted.path} HTTP/1.1", f"Host: {wanted.address}"]
    lines += [f"{name}: {value}" for name, value in wanted.headers.items()]
    lines += ["Content-Type: application/json", f"Content-Length: {len(wanted.body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + wanted.body
