"""Checksummed frames of the write-ahead log segments."""

import enum
import struct
from collections.abc import Iterator
from typing import BinaryIO, NamedTuple

import xxhash

MAGIC = b"\xe7EW\x01"
MAX_BODY_BYTES = 64 * 1024 * 1024

_PREFIX = struct.Struct("<4sIQ")  # magic, payload length, checksum of the payload
_HEADER = struct.Struct("<BHQQQ")  # kind, partition, epoch, index, start of the batch
_STATE_BODY = struct.Struct("<QQ")  # generation, last index
OVERHEAD_BYTES = _PREFIX.size + _HEADER.size
BLOCK_BYTES = 256 * 1024  # Bytes read from a segment at once.


class Kind(enum.IntEnum):
    """Type of a frame."""

    RECORD = 1  # one log entry of a partition
    SEAL = 2  # fences off lower epochs
    STATE = 3  # state of a copy: starts an empty one, or carries the state into a new segment
    TRIM = 4  # records below the index may be deleted
    DROP = 5  # the copy is deleted


# A lookup takes a fraction of the time of a call of Kind, and each start decodes every frame.
_KINDS = {kind.value: kind for kind in Kind}


class Frame(NamedTuple):
    """One change to the copy of one partition.

    Attributes:
        kind: Type of the change.
        partition: Number of the partition.
        epoch: Epoch of the owner that requested the change.
        log_index: Index of the record, or first index held for STATE and TRIM.
        body: The log entry of a RECORD, or the remaining fields of a STATE.
    """

    kind: Kind
    partition: int
    epoch: int
    log_index: int
    body: bytes = b""


class LocatedFrame(NamedTuple):
    """A frame read from a segment, with its offset and size and the offset of its batch."""

    frame: Frame
    offset: int
    size: int
    batch_start: int


class InvalidFrame(NamedTuple):
    """Marks the offset of the first bytes that don't decode as a frame."""

    offset: int


def encode(frame: Frame, batch_start: int) -> bytes:
    """Encodes a frame; batch_start is the offset of the first frame in its batch."""
    header = _HEADER.pack(frame.kind, frame.partition, frame.epoch, frame.log_index, batch_start)
    digest = xxhash.xxh64(header)
    digest.update(frame.body)
    prefix = _PREFIX.pack(MAGIC, len(header) + len(frame.body), digest.intdigest())
    return b"".join((prefix, header, frame.body))


def decode(data: bytes, offset: int = 0) -> LocatedFrame | None:
    """Decodes the frame at the start of data; returns None if it is incomplete or invalid."""
    return _decode_at(data, 0, offset)


def _decode_at(data: bytes, start: int, offset: int) -> LocatedFrame | None:
    """Decodes the frame at a position of data, which is at an offset of its file."""
    if len(data) - start < OVERHEAD_BYTES:
        return None
    magic, length, checksum = _PREFIX.unpack_from(data, start)
    if magic != MAGIC or not _HEADER.size <= length <= MAX_BODY_BYTES + _HEADER.size:
        return None
    end = start + _PREFIX.size + length
    if end > len(data):
        return None
    if xxhash.xxh64_intdigest(memoryview(data)[start + _PREFIX.size : end]) != checksum:
        return None
    number, partition, epoch, index, batch_start = _HEADER.unpack_from(data, start + _PREFIX.size)
    kind = _KINDS.get(number)
    if kind is None:
        raise ValueError(f"{number} is not a kind of frame")
    frame = Frame(kind, partition, epoch, index, data[start + OVERHEAD_BYTES : end])
    return LocatedFrame(frame, offset, end - start, batch_start)


def pack_state(generation: int, last_index: int) -> bytes:
    """Returns the body of a STATE frame."""
    return _STATE_BODY.pack(generation, last_index)


def unpack_state(body: bytes) -> tuple[int, int]:
    """Returns generation and last index from the body of a STATE frame."""
    generation, last_index = _STATE_BODY.unpack(body)
    return generation, last_index


def scan(file: BinaryIO) -> Iterator[LocatedFrame | InvalidFrame]:
    """Yields the frames of a file in order, ending with InvalidFrame at the first invalid bytes."""
    offset = 0
    block, start = b"", 0
    while True:
        if len(block) - start < _next_size(block, start):
            needed = _next_size(block, start) - (len(block) - start)
            block, start = block[start:] + file.read(max(BLOCK_BYTES, needed)), 0
            if len(block) < _next_size(block, 0):
                # The file may end within a prefix, after which the size of the frame is known.
                block += file.read(_next_size(block, 0) - len(block))
        if start == len(block):
            return
        found = _decode_at(block, start, offset)
        if found is None:
            yield InvalidFrame(offset)
            return
        yield found
        offset += found.size
        start += found.size


def _next_size(block: bytes, start: int) -> int:
    """Returns the size of the frame at a position, or of a prefix while that isn't complete."""
    if len(block) - start < _PREFIX.size:
        return _PREFIX.size
    _, length, _ = _PREFIX.unpack_from(block, start)
    return _PREFIX.size + min(int(length), MAX_BODY_BYTES + _HEADER.size)


def has_synced_frame(data: bytes, invalid_offset: int) -> bool:
    """Tells whether data holds a frame of a batch that starts after invalid_offset.

    A batch is written only after the previous one is synced. So a later batch proves that the
    bytes at invalid_offset were on disk and have been damaged since; without one they may be the
    torn tail of a write that a crash interrupted.

    Args:
        data: Bytes of the file, starting at invalid_offset.
        invalid_offset: Offset of the first bytes that are not a frame.
    """
    pos = data.find(MAGIC, 1)
    while pos >= 0:
        found = decode(data[pos:], invalid_offset + pos)
        if found is not None and found.batch_start > invalid_offset:
            return True
        pos = data.find(MAGIC, pos + 1)
    return False
