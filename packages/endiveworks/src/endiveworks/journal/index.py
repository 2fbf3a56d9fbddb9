"""Where the records of every copy lie in the segments of a host."""

from array import array
from collections.abc import Iterable
from typing import NamedTuple

from .copy_state import Head, advance
from .frames import Frame, Kind

_OFFSET_BITS = 40
_OFFSET_MASK = (1 << _OFFSET_BITS) - 1
_MISSING = 0


class Place(NamedTuple):
    """Position of a frame: segment number, offset and size in bytes."""

    segment: int
    offset: int
    size: int


class CopyIndex:
    """State of one copy and the places of its records, 12 bytes for each."""

    def __init__(self, head: Head) -> None:
        self.head = head
        self.places = array("Q", bytes(8 * (head.last_index - head.first_index + 1)))
        self.sizes = array("I", bytes(4 * len(self.places)))


class Index:
    """The copies of a host by partition, and the bytes in use in each segment."""

    def __init__(self) -> None:
        self.copies: dict[int, CopyIndex] = {}
        self.live_bytes: dict[int, int] = {}

    def head(self, partition: int) -> Head | None:
        """Returns the state of a copy, or None if none is kept."""
        copy = self.copies.get(partition)
        return copy.head if copy else None

    def find(self, partition: int, index: int) -> Place | None:
        """Returns the place of a record, or None if it is not held."""
        copy = self.copies.get(partition)
        if copy is None or not copy.head.first_index <= index <= copy.head.last_index:
            return None
        at = index - copy.head.first_index
        return _unpack(copy.places[at], copy.sizes[at])

    def apply(self, frame: Frame, place: Place) -> None:
        """Takes in a frame that is on disk; raises ValueError if it contradicts the state."""
        copy = self.copies.get(frame.partition)
        if frame.kind is Kind.HEAD:
            self._start(copy, frame)
        elif frame.kind is Kind.DROP:
            self._release(self.copies.pop(frame.partition, None))
        elif copy is None:
            raise ValueError(f"partition {frame.partition} has no head")
        elif frame.kind is Kind.RECORD:
            self._put(copy, frame, place)
        else:
            self._advance(copy, frame)

    def missing(self) -> Iterable[tuple[int, int]]:
        """Yields partition and index of every record that no segment holds."""
        for partition, copy in self.copies.items():
            for at, packed in enumerate(copy.places):
                if packed == _MISSING:
                    yield partition, copy.head.first_index + at

    def _start(self, copy: CopyIndex | None, frame: Frame) -> None:
        head = advance(None, frame)
        if head is None or (copy is not None and copy.head.generation == head.generation):
            return
        self._release(copy)
        self.copies[frame.partition] = CopyIndex(head)

    def _put(self, copy: CopyIndex, frame: Frame, place: Place) -> None:
        at = frame.position - copy.head.first_index
        if at < 0:
            return
        if at > len(copy.places):
            raise ValueError(f"partition {frame.partition} has no record {frame.position - 1}")
        if at == len(copy.places):
            copy.places.append(_MISSING)
            copy.sizes.append(0)
        self._count(copy.places[at], -copy.sizes[at])
        copy.places[at] = place.segment << _OFFSET_BITS | place.offset
        copy.sizes[at] = place.size
        self._count(copy.places[at], place.size)
        self._advance(copy, frame)

    def _advance(self, copy: CopyIndex, frame: Frame) -> None:
        before = copy.head
        copy.head = advance(before, frame) or before
        gone = copy.head.first_index - before.first_index
        for at in range(gone):
            self._count(copy.places[at], -copy.sizes[at])
        del copy.places[:gone]
        del copy.sizes[:gone]

    def _release(self, copy: CopyIndex | None) -> None:
        if copy is None:
            return
        for packed, size in zip(copy.places, copy.sizes, strict=True):
            self._count(packed, -size)

    def _count(self, packed: int, size: int) -> None:
        if packed != _MISSING:
            segment = packed >> _OFFSET_BITS
            self.live_bytes[segment] = self.live_bytes.get(segment, 0) + size


def _unpack(packed: int, size: int) -> Place | None:
    if packed == _MISSING:
        return None
    return Place(packed >> _OFFSET_BITS, packed & _OFFSET_MASK, size)
