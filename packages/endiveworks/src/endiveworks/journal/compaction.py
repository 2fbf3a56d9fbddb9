"""Frees old segments: records still needed are written again at the end, then the file goes."""

import os
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from . import segments
from .frames import Broken, Frame, Kind, scan
from .identity import sync_dir
from .index import Index

MIN_SEGMENTS = 8
MAX_DEAD_SHARE = 0.5


class Shared(NamedTuple):
    """What the writer and the readers of a host share, guarded by the lock."""

    data_dir: Path
    catalog: Index
    handles: dict[int, int]
    lock: threading.RLock


def segment_to_free(shared: Shared, current: int, segment_bytes: int) -> int | None:
    """Returns the oldest segment if it should be freed now.

    That is when it holds nothing that is needed, when more than half of all bytes are not
    needed, or when there are many small segments.
    """
    oldest = min(shared.handles)
    if oldest == current:
        return None
    if shared.catalog.live_bytes.get(oldest, 0) == 0:
        return oldest
    if len(shared.handles) <= MIN_SEGMENTS:
        return None
    used = sum(os.fstat(handle).st_size for handle in shared.handles.values())
    live = sum(shared.catalog.live_bytes.values())
    too_many = len(shared.handles) > MIN_SEGMENTS + 2 * used // segment_bytes
    return oldest if too_many or used - live > MAX_DEAD_SHARE * used else None


def live_frames(shared: Shared, number: int) -> Iterator[Frame]:
    """Yields the records of a segment that are needed and have not been written again."""
    with open(segments.path_of(shared.data_dir, number), "rb") as file:
        for item in scan(file):
            if isinstance(item, Broken):
                return
            frame = item.frame
            if frame.kind is not Kind.RECORD:
                continue
            place = shared.catalog.find(frame.partition, frame.position)
            if place is not None and (place.segment, place.offset) == (number, item.offset):
                yield frame


def remove(shared: Shared, number: int) -> None:
    """Deletes a segment; the name is gone for good before the next newer one may be deleted."""
    with shared.lock:
        os.close(shared.handles.pop(number))
        shared.catalog.live_bytes.pop(number, None)
    segments.path_of(shared.data_dir, number).unlink()
    sync_dir(shared.data_dir)
