"""The table's record of one partition, and its form in the key-value service."""

from typing import NamedTuple

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..journal.peer import CopyId

PARTITIONS_PREFIX = "/endiveworks/partitions/"


class OwnerId(NamedTuple):
    """One run of a process that may own partitions."""

    host: str
    incarnation: int


class PartitionRecord(NamedTuple):
    """Who owns a partition and where its log is kept.

    Attributes:
        partition: Number of the partition.
        owner: The process that may act on it.
        epoch: Grows by one with each owner, also when a process takes the partition anew.
        copies: The copies that hold every acknowledged record.
        change: Random id of the write, by which its writer knows it again.
    """

    partition: int
    owner: OwnerId
    epoch: int
    copies: tuple[CopyId, ...]
    change: int


def key_of(partition: int) -> str:
    """Returns the key of a partition's record."""
    return f"{PARTITIONS_PREFIX}{partition:04x}"


def encode_record(record: PartitionRecord) -> bytes:
    """Returns the JSON form of a record."""
    return msgspec.json.encode(record)


def decode_record(key: str, data: bytes) -> Result[PartitionRecord, Failure]:
    """Returns the record in JSON bytes; CORRUPT when they hold none."""
    try:
        return Success(msgspec.json.decode(data, type=PartitionRecord))
    except msgspec.DecodeError as exc:
        return Err(Failure(Code.CORRUPT, "ownership.decode", key, str(exc)))
