"""The numbered write-ahead files of a data folder."""

import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from .frames import Broken, Placed, has_synced_frame, scan
from .identity import sync_dir

_STEP = "journal.recover"


class Files(NamedTuple):
    """The system calls that write, so that a test can make them fail."""

    write: Callable[[int, memoryview], int] = os.write
    sync: Callable[[int], None] = os.fdatasync


def path_of(data_dir: Path, number: int) -> Path:
    """Returns the path of a segment."""
    return data_dir / f"{number:012x}.wal"


def numbers(data_dir: Path) -> list[int]:
    """Returns the numbers of the segments in a folder, ascending."""
    return sorted(int(path.stem, 16) for path in data_dir.glob("*.wal"))


def create(data_dir: Path, number: int) -> int:
    """Creates a segment and returns its descriptor."""
    flags = os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC
    handle = os.open(path_of(data_dir, number), flags, 0o600)
    sync_dir(data_dir)
    return handle


def open_existing(data_dir: Path, number: int) -> int:
    """Opens a segment for reading and writing and returns its descriptor."""
    return os.open(path_of(data_dir, number), os.O_RDWR | os.O_CLOEXEC)


class WriteError(OSError):
    """A write that failed before anything was synced, such as on a full disk."""


def write_all(files: Files, handle: int, offset: int, data: bytes) -> None:
    """Writes data at an offset and waits until it is on disk.

    Raises:
        WriteError: The bytes could not be written; the caller may cut the file and go on.
        OSError: The sync failed, after which nobody can tell what is on disk.
    """
    try:
        os.lseek(handle, offset, os.SEEK_SET)
        view = memoryview(data)
        while view:
            view = view[files.write(handle, view) :]
    except OSError as exc:
        raise WriteError(*exc.args) from exc
    files.sync(handle)


def replay(
    data_dir: Path, number: int, is_last: bool, take: Callable[[Placed], None]
) -> Result[int, Failure]:
    """Passes each frame of a segment to a function and returns the length of the whole part.

    The rest of a write that a crash cut short is cut off, which can be in the last segment only.
    Any other bytes that are no frame are a CORRUPT failure.
    """
    path = path_of(data_dir, number)
    end = 0
    with open(path, "rb") as file:
        for item in scan(file):
            if isinstance(item, Broken):
                file.seek(item.offset)
                if not is_last or has_synced_frame(file.read(), item.offset):
                    detail = f"the record at offset {item.offset} is damaged"
                    return Err(Failure(Code.CORRUPT, _STEP, str(path), detail, not_run=True))
                _cut(path, item.offset)
                break
            take(item)
            end = item.offset + item.size
    return Success(end)


def _cut(path: Path, length: int) -> None:
    with open(path, "r+b") as file:
        file.truncate(length)
        os.fsync(file.fileno())
