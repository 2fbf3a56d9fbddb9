"""Incremental parsing of a server-sent event stream."""

import re
from typing import NamedTuple

MAX_ID_DIGITS = 18  # Larger ids can't be sent to other processes.
_BLANK_LINES = (b"\r\n\r\n", b"\n\n")
_MAX_BLANK_BYTES = max(map(len, _BLANK_LINES))
# A first line may tell a number of the replica, such as the version of its weights.
_NUMBER_LINE = re.compile(rb"[a-z][a-z0-9-]*: ?[0-9]+")
_FIELDS = frozenset((b"data", b"id", b"event", b"retry"))


class Event(NamedTuple):
    """One event of a stream.

    Attributes:
        raw: Its bytes as received.
        id: Its id; None without a numeric id.
        data: Its data.
        is_well_formed: Whether all its lines are those of an event with a single id.
    """

    raw: bytes
    id: int | None
    data: bytes
    is_well_formed: bool


class EventSplitter:
    """Buffers the bytes of a stream and returns events as they become complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0  # Bytes of the buffer in which no event can end.

    def feed(self, data: bytes) -> list[Event]:
        """Appends bytes and returns the events that are now complete."""
        self._buffer += data
        events = []
        while (end := _end_of_event(self._buffer, self._searched)) > 0:
            events.append(_parse(bytes(self._buffer[:end])))
            del self._buffer[:end]
            self._searched = 0
        self._searched = max(0, len(self._buffer) - _MAX_BLANK_BYTES + 1)
        return events

    def pending_bytes(self) -> bytes:
        """Returns the buffered bytes of the incomplete event at the end."""
        return bytes(self._buffer)

    @property
    def pending_size(self) -> int:
        """Number of the buffered bytes of the incomplete event at the end."""
        return len(self._buffer)


def _end_of_event(data: bytearray, start: int) -> int:
    ends = [pos + len(blank) for blank in _BLANK_LINES if (pos := data.find(blank, start)) >= 0]
    return min(ends, default=0)


def _parse(raw: bytes) -> Event:
    ids: list[int | None] = []
    data: list[bytes] = []
    line_end = b"\r\n" if raw.endswith(b"\r\n\r\n") else b"\n"
    lines = raw.removesuffix(line_end * 2).split(line_end)
    for line in lines:
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id":
            ids.append(int(value) if value.isdigit() and len(value) <= MAX_ID_DIGITS else None)
    number = ids[-1] if ids else None
    is_well_formed = number is not None and len(ids) == 1 and _has_only_fields(lines)
    return Event(raw, number, b"\n".join(data), is_well_formed)


def _has_only_fields(lines: list[bytes]) -> bool:
    if _NUMBER_LINE.fullmatch(lines[0]):
        lines = lines[1:]
    return all(line.startswith(b":") or line.partition(b":")[0] in _FIELDS for line in lines)
