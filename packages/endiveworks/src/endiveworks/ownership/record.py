"""The record of a partition in the key-value service, and its encoding."""

from typing import NamedTuple

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..decoding import DECODE_ERRORS
from ..errors import Code, Failure
from ..journal.peer import CopyId

PARTITIONS_PREFIX = "/endiveworks/partitions/"


class OwnerId(NamedTuple):
    """Identifies one run of a process that can own partitions."""

    host: str
    incarnation: int


class PartitionRecord(NamedTuple):
    """The owner of a partition and the location of its log.

    Attributes:
        partition: Number of the partition.
        owner: The process that may serve the partition.
        epoch: Increases by one with each change of owner, also when the same process takes the
            partition over again.
        copies: The copies that hold every acknowledged record.
        change: Random id of the write, by which its writer recognizes it on a later read.
    """

    partition: int
    owner: OwnerId
    epoch: int
    copies: tuple[CopyId, ...]
    change: int


def partition_key(partition: int) -> str:
    """Returns the key of a partition's record."""
    return f"{PARTITIONS_PREFIX}{partition:04x}"


def encode_record(record: PartitionRecord) -> bytes:
    """Returns a record encoded as JSON."""
    return msgspec.json.encode(record)


def decode_record(key: str, data: bytes) -> Result[PartitionRecord, Failure]:
    """Decodes a record from JSON; fails with CORRUPT if the data is invalid."""
    try:
        return Success(msgspec.json.decode(data, type=PartitionRecord))
    except DECODE_ERRORS as exc:
        return Err(Failure(Code.CORRUPT, "ownership.decode", key, str(exc)))
