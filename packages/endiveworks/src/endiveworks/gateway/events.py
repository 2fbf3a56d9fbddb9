"""Incremental parsing of a server-sent event stream."""

from typing import NamedTuple

_BLANK_LINES = (b"\r\n\r\n", b"\n\n")


class Event(NamedTuple):
    """One event: its bytes as received, its id (None without a numeric id) and its data."""

    raw: bytes
    id: int | None
    data: bytes


class EventSplitter:
    """Buffers the bytes of a stream and returns events as they become complete."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Appends bytes and returns the events that are now complete."""
        self._buffer += data
        events = []
        while (end := _end_of_event(self._buffer)) > 0:
            events.append(_parse(self._buffer[:end]))
            self._buffer = self._buffer[end:]
        return events

    def pending_bytes(self) -> bytes:
        """Returns the buffered bytes of the incomplete event at the end."""
        return self._buffer


def _end_of_event(data: bytes) -> int:
    ends = [pos + len(blank) for blank in _BLANK_LINES if (pos := data.find(blank)) >= 0]
    return min(ends, default=0)


def _parse(raw: bytes) -> Event:
    number: int | None = None
    data: list[bytes] = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id" and value.isdigit():
            number = int(value)
    return Event(raw, number, b"\n".join(data))
