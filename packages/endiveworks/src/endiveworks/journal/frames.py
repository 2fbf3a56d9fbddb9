"""The checksummed frames that the write-ahead files of a host consist of."""

import enum
import struct
from collections.abc import Iterator
from typing import BinaryIO, NamedTuple

import xxhash

MAGIC = b"\xe7EW\x01"
MAX_BODY_BYTES = 64 * 1024 * 1024

_PREFIX = struct.Struct("<4sIQ")  # magic, payload length, checksum of the payload
_TAGS = struct.Struct("<BHQQQ")  # kind, partition, epoch, index, start of the batch
_HEAD = struct.Struct("<QQ")  # generation, last index
OVERHEAD_BYTES = _PREFIX.size + _TAGS.size


class Kind(enum.IntEnum):
    """What a frame records."""

    RECORD = 1  # one record of a partition
    SEAL = 2  # lower epochs are refused from here on
    HEAD = 3  # state of a partition: starts an empty copy, or repeats the state in a new segment
    TRIM = 4  # records below the index are no longer needed
    DROP = 5  # the copy is no longer kept


class Frame(NamedTuple):
    """One change to the copy of one partition.

    Attributes:
        kind: What the frame records.
        partition: Number of the partition.
        epoch: Epoch of the owner that asked for it.
        position: Index of the record, or first index held for HEAD and TRIM.
        body: The record, or the rest of the state for HEAD.
    """

    kind: Kind
    partition: int
    epoch: int
    position: int
    body: bytes = b""


class Placed(NamedTuple):
    """A frame as found in a file; batch_start is the offset at which its batch begins."""

    frame: Frame
    offset: int
    size: int
    batch_start: int


class Broken(NamedTuple):
    """Bytes that are not a frame, at an offset."""

    offset: int


def encode(frame: Frame, batch_start: int) -> bytes:
    """Returns the bytes of a frame in a batch whose first frame lies at batch_start."""
    tags = _TAGS.pack(frame.kind, frame.partition, frame.epoch, frame.position, batch_start)
    payload = tags + frame.body
    return _PREFIX.pack(MAGIC, len(payload), xxhash.xxh64_intdigest(payload)) + payload


def decode(data: bytes, offset: int = 0) -> Placed | None:
    """Returns the frame at the start of data, or None if there is no whole one."""
    if len(data) < OVERHEAD_BYTES:
        return None
    magic, length, checksum = _PREFIX.unpack_from(data)
    if magic != MAGIC or not _TAGS.size <= length <= MAX_BODY_BYTES + _TAGS.size:
        return None
    payload = data[_PREFIX.size : _PREFIX.size + length]
    if len(payload) < length or xxhash.xxh64_intdigest(payload) != checksum:
        return None
    kind, partition, epoch, index, batch_start = _TAGS.unpack_from(payload)
    frame = Frame(Kind(kind), partition, epoch, index, payload[_TAGS.size :])
    return Placed(frame, offset, _PREFIX.size + length, batch_start)


def pack_head(generation: int, last_index: int) -> bytes:
    """Returns the body of a HEAD frame."""
    return _HEAD.pack(generation, last_index)


def unpack_head(body: bytes) -> tuple[int, int]:
    """Returns generation and last index from the body of a HEAD frame."""
    generation, last_index = _HEAD.unpack(body)
    return generation, last_index


def scan(file: BinaryIO) -> Iterator[Placed | Broken]:
    """Yields the frames of a file in order; ends with Broken at the first bytes that are none."""
    offset = 0
    while True:
        prefix = file.read(_PREFIX.size)
        if not prefix:
            return
        found = decode(prefix + _read_payload(file, prefix), offset)
        if found is None:
            yield Broken(offset)
            return
        yield found
        offset += found.size


def _read_payload(file: BinaryIO, prefix: bytes) -> bytes:
    if len(prefix) < _PREFIX.size:
        return b""
    _, length, _ = _PREFIX.unpack(prefix)
    return file.read(min(length, MAX_BODY_BYTES + _TAGS.size))


def has_synced_frame(data: bytes, broken_offset: int) -> bool:
    """Tells whether data holds a frame of a batch that was begun after broken_offset was synced.

    A batch is written only after the one before it is on disk. So a later batch proves that the
    bytes at broken_offset were on disk and have changed since; without one they may be the rest
    of a write that a crash cut short.

    Args:
        data: Bytes of the file from broken_offset on.
        broken_offset: Offset of the first bytes that are not a frame.
    """
    at = data.find(MAGIC, 1)
    while at >= 0:
        found = decode(data[at:], broken_offset + at)
        if found is not None and found.batch_start > broken_offset:
            return True
        at = data.find(MAGIC, at + 1)
    return False
