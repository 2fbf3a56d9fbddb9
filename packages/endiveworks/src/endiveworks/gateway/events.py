"""Splitting of an event stream into whole events."""

from typing import NamedTuple

_BLANK_LINES = (b"\r\n\r\n", b"\n\n")


class Event(NamedTuple):
    """One event: its bytes as received, its id (None without one) and its data."""

    raw: bytes
    id: int | None
    data: bytes


class EventSplitter:
    """Collects the bytes of a stream and gives its events once they are whole."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete."""
        self._rest += data
        events = []
        while (end := _end_of_event(self._rest)) > 0:
            events.append(_parse(self._rest[:end]))
            self._rest = self._rest[end:]
        return events

    def rest(self) -> bytes:
        """Returns the bytes of an event that has not ended."""
        return self._rest


def _end_of_event(data: bytes) -> int:
    ends = [at + len(mark) for mark in _BLANK_LINES if (at := data.find(mark)) >= 0]
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
