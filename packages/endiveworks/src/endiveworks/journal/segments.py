"""Segment files of a data folder's write-ahead log."""

import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from .frames import InvalidFrame, LocatedFrame, has_synced_frame, scan
from .identity import sync_dir

_STEP = "journal.recover"


class WriteCalls(NamedTuple):
    """System calls used for writing; tests replace them to inject errors."""

    write: Callable[[int, memoryview], int] = os.write
    sync: Callable[[int], None] = os.fdatasync


def segment_path(data_dir: Path, number: int) -> Path:
    """Returns the path of a segment."""
    return data_dir / f"{number:012x}.wal"


def list_segments(data_dir: Path) -> list[int]:
    """Returns the numbers of the segments in a folder, ascending."""
    return sorted(int(path.stem, 16) for path in data_dir.glob("*.wal"))


def create_segment(data_dir: Path, number: int) -> int:
    """Creates a segment durably and returns its file descriptor."""
    flags = os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC
    fd = os.open(segment_path(data_dir, number), flags, 0o600)
    sync_dir(data_dir)
    return fd


def open_segment(data_dir: Path, number: int) -> int:
    """Opens a segment for reading and writing and returns its file descriptor."""
    return os.open(segment_path(data_dir, number), os.O_RDWR | os.O_CLOEXEC)


class WriteError(OSError):
    """A write that failed before the sync, for example because the disk is full."""


def write_all(write_calls: WriteCalls, fd: int, offset: int, data: bytes | bytearray) -> None:
    """Writes data at an offset and syncs it.

    Raises:
        WriteError: The write failed; the caller may truncate the file and continue.
        OSError: The sync failed; which bytes are on disk is then unknown.
    """
    try:
        os.lseek(fd, offset, os.SEEK_SET)
        view = memoryview(data)
        while view:
            view = view[write_calls.write(fd, view) :]
    except OSError as exc:
        raise WriteError(*exc.args) from exc
    write_calls.sync(fd)


def replay_segment(
    data_dir: Path, number: int, is_last: bool, on_frame: Callable[[LocatedFrame], None]
) -> Result[int, Failure]:
    """Passes each frame of a segment to a function and returns the length of its valid part.

    A torn tail, left by a write that a crash interrupted, is truncated; only the last segment can
    have one. Any other invalid bytes are a CORRUPT failure.
    """
    path = segment_path(data_dir, number)
    end = 0
    with open(path, "rb") as file:
        for item in scan(file):
            if isinstance(item, InvalidFrame):
                file.seek(item.offset)
                if not is_last or has_synced_frame(file.read(), item.offset):
                    detail = f"the frame at offset {item.offset} is damaged"
                    return Err(Failure(Code.CORRUPT, _STEP, str(path), detail, not_run=True))
                _truncate(path, item.offset)
                break
            on_frame(item)
            end = item.offset + item.size
    return Success(end)


def _truncate(path: Path, length: int) -> None:
    with open(path, "r+b") as file:
        file.truncate(length)
        os.fsync(file.fileno())
