"""Compaction: appends the live records of the oldest segment again, then deletes it."""

import os
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from . import segments
from .frames import Frame, InvalidFrame, Kind, scan
from .identity import sync_dir
from .index import RecordIndex

MIN_SEGMENTS = 8
MAX_GARBAGE_RATIO = 0.5


class SharedState(NamedTuple):
    """State shared by the writer and the readers of a host; the lock guards it."""

    data_dir: Path
    record_index: RecordIndex
    fds: dict[int, int]
    lock: threading.RLock


def segment_to_compact(shared: SharedState, current: int, segment_bytes: int) -> int | None:
    """Returns the oldest segment if it should be compacted now.

    That is the case when it has no live records, when more than half of all bytes are garbage, or
    when there are many small segments.
    """
    oldest = min(shared.fds)
    if oldest == current:
        return None
    if shared.record_index.live_bytes.get(oldest, 0) == 0:
        return oldest
    if len(shared.fds) <= MIN_SEGMENTS:
        return None
    total = sum(os.fstat(fd).st_size for fd in shared.fds.values())
    live = sum(shared.record_index.live_bytes.values())
    too_many = len(shared.fds) > MIN_SEGMENTS + 2 * total // segment_bytes
    return oldest if too_many or total - live > MAX_GARBAGE_RATIO * total else None


def live_frames(shared: SharedState, number: int) -> Iterator[Frame]:
    """Yields the records of a segment that are live and not yet rewritten elsewhere."""
    with open(segments.segment_path(shared.data_dir, number), "rb") as file:
        for item in scan(file):
            if isinstance(item, InvalidFrame):
                return
            frame = item.frame
            if frame.kind is not Kind.RECORD:
                continue
            found = shared.record_index.find(frame.partition, frame.log_index)
            if found is not None and (found.segment, found.offset) == (number, item.offset):
                yield frame


def remove(shared: SharedState, number: int) -> None:
    """Deletes a segment durably, so that segments always disappear from oldest to newest."""
    with shared.lock:
        os.close(shared.fds.pop(number))
        shared.record_index.live_bytes.pop(number, None)
    segments.segment_path(shared.data_dir, number).unlink()
    sync_dir(shared.data_dir)
