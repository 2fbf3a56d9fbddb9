"""In-memory index from records to their locations in the segments of a host."""

from array import array
from collections.abc import Iterable
from typing import NamedTuple

from .copy_state import CopyState, apply_frame
from .frames import Frame, Kind

_OFFSET_BITS = 40
_OFFSET_MASK = (1 << _OFFSET_BITS) - 1
_MISSING = 0


class FrameLocation(NamedTuple):
    """Location of a frame: segment number, offset and size in bytes."""

    segment: int
    offset: int
    size: int


class CopyIndex:
    """State of one copy and the locations of its records, in 12 bytes per record."""

    def __init__(self, state: CopyState) -> None:
        self.state = state
        self.locations = array("Q", bytes(8 * (state.last_index - state.first_index + 1)))
        self.sizes = array("I", bytes(4 * len(self.locations)))


class RecordIndex:
    """The copies of a host by partition, and the live bytes in each segment."""

    def __init__(self) -> None:
        self.copies: dict[int, CopyIndex] = {}
        self.live_bytes: dict[int, int] = {}

    def state(self, partition: int) -> CopyState | None:
        """Returns the state of a copy, or None if the host has none."""
        copy = self.copies.get(partition)
        return copy.state if copy else None

    def find(self, partition: int, index: int) -> FrameLocation | None:
        """Returns the location of a record, or None if it is not held."""
        copy = self.copies.get(partition)
        if copy is None or not copy.state.first_index <= index <= copy.state.last_index:
            return None
        pos = index - copy.state.first_index
        return _unpack(copy.locations[pos], copy.sizes[pos])

    def apply(self, frame: Frame, location: FrameLocation) -> None:
        """Applies a frame that is on disk; raises ValueError if it contradicts the state."""
        copy = self.copies.get(frame.partition)
        if frame.kind is Kind.STATE:
            self._reset_copy(copy, frame)
        elif frame.kind is Kind.DROP:
            self._discard(self.copies.pop(frame.partition, None))
        elif copy is None:
            raise ValueError(
                f"{frame.kind.name} frame for partition {frame.partition}, which has no copy"
            )
        elif frame.kind is Kind.RECORD:
            self._add_record(copy, frame, location)
        else:
            self._update_state(copy, frame)

    def missing_records(self) -> Iterable[tuple[int, int]]:
        """Yields partition and index of every record that no segment holds."""
        for partition, copy in self.copies.items():
            for pos, packed in enumerate(copy.locations):
                if packed == _MISSING:
                    yield partition, copy.state.first_index + pos

    def _reset_copy(self, copy: CopyIndex | None, frame: Frame) -> None:
        state = apply_frame(None, frame)
        if state is None or (copy is not None and copy.state.generation == state.generation):
            return
        self._discard(copy)
        self.copies[frame.partition] = CopyIndex(state)

    def _add_record(self, copy: CopyIndex, frame: Frame, location: FrameLocation) -> None:
        pos = frame.log_index - copy.state.first_index
        if pos < 0:
            return
        if pos > len(copy.locations):
            raise ValueError(f"partition {frame.partition} lacks record {frame.log_index - 1}")
        if pos == len(copy.locations):
            copy.locations.append(_MISSING)
            copy.sizes.append(0)
        self._add_live_bytes(copy.locations[pos], -copy.sizes[pos])
        copy.locations[pos] = location.segment << _OFFSET_BITS | location.offset
        copy.sizes[pos] = location.size
        self._add_live_bytes(copy.locations[pos], location.size)
        self._update_state(copy, frame)

    def _update_state(self, copy: CopyIndex, frame: Frame) -> None:
        before = copy.state
        copy.state = apply_frame(before, frame) or before
        removed = copy.state.first_index - before.first_index
        for pos in range(removed):
            self._add_live_bytes(copy.locations[pos], -copy.sizes[pos])
        del copy.locations[:removed]
        del copy.sizes[:removed]

    def _discard(self, copy: CopyIndex | None) -> None:
        if copy is None:
            return
        for packed, size in zip(copy.locations, copy.sizes, strict=True):
            self._add_live_bytes(packed, -size)

    def _add_live_bytes(self, packed: int, size: int) -> None:
        if packed != _MISSING:
            segment = packed >> _OFFSET_BITS
            self.live_bytes[segment] = self.live_bytes.get(segment, 0) + size


def _unpack(packed: int, size: int) -> FrameLocation | None:
    if packed == _MISSING:
        return None
    return FrameLocation(packed >> _OFFSET_BITS, packed & _OFFSET_MASK, size)
