"""Reads and compare-and-swap writes of the partition table in the key-value service."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..kvservice.kv import Kv, Swap
from .record import PartitionRecord, decode_record, encode_record, partition_key

_ATTEMPTS = 3
_UNKNOWN_OUTCOME = frozenset({Code.TIMEOUT, Code.UNREACHABLE})
_STEP = "ownership.swap"


class VersionedRecord(NamedTuple):
    """A record with its revision in the key-value service; None with revision 0 when absent."""

    record: PartitionRecord | None
    revision: int


def read(kv: Kv, partition: int) -> Result[VersionedRecord, Failure]:
    """Reads the record of a partition."""
    found = kv.read(partition_key(partition))
    if not isinstance(found, Success):
        return Err(found.failure())
    entry = found.unwrap()
    if entry is None:
        return Success(VersionedRecord(None, 0))
    return decode_record(entry.key, entry.value).map(
        lambda record: VersionedRecord(record, entry.mod_revision)
    )


def swap(
    kv: Kv, expected: VersionedRecord, record: PartitionRecord
) -> Result[VersionedRecord, Failure]:
    """Replaces a record by compare-and-swap.

    If the response is lost, the record is read back: its change id shows whether the swap took
    effect. If it did not and the record is unchanged, the swap is retried.

    Args:
        kv: The key-value service.
        expected: The record to replace, as it was read.
        record: The new record.

    Returns:
        The stored record. CONFLICT if another process has changed the record; TIMEOUT or
        UNREACHABLE if the outcome is unknown, and the swap may then still take effect later.
    """
    write = Swap(partition_key(record.partition), encode_record(record), expected.revision)
    failure = Failure(Code.TIMEOUT, _STEP, write.key, "no attempt was made")
    for _ in range(_ATTEMPTS):
        swapped = kv.swap(write)
        if isinstance(swapped, Success) and swapped.unwrap().done:
            return Success(VersionedRecord(record, swapped.unwrap().revision))
        if not isinstance(swapped, Success) and swapped.failure().code not in _UNKNOWN_OUTCOME:
            return Err(swapped.failure())
        found = read(kv, record.partition)
        if not isinstance(found, Success):
            failure = found.failure()
            continue
        current = found.unwrap()
        if current.record is not None and current.record.change == record.change:
            return Success(current)
        if current.revision != expected.revision:
            detail = "another process has changed the record"
            return Err(Failure(Code.CONFLICT, _STEP, write.key, detail, not_run=True))
        failure = failure if isinstance(swapped, Success) else swapped.failure()
    return Err(failure)


def update(
    kv: Kv,
    partition: int,
    epoch: int,
    modify: Callable[[PartitionRecord], PartitionRecord],
) -> Result[VersionedRecord, Failure]:
    """Modifies a record, provided that it is still at the given epoch.

    Args:
        kv: The key-value service.
        partition: Number of the partition.
        epoch: The epoch that the record must have.
        modify: Returns the new record; called again after each conflict.

    Returns:
        The stored record. STALE_EPOCH if the record is missing or at another epoch; TIMEOUT or
        UNREACHABLE if the outcome is unknown.
    """
    while True:
        found = read(kv, partition)
        if not isinstance(found, Success):
            return Err(found.failure())
        current = found.unwrap()
        if current.record is None or current.record.epoch != epoch:
            detail = f"partition {partition:04x} is no longer at epoch {epoch}"
            return Err(Failure(Code.STALE_EPOCH, "ownership.update", "", detail))
        modified = modify(current.record)
        if modified._replace(change=current.record.change) == current.record:
            return Success(current)
        swapped = swap(kv, current, modified)
        if isinstance(swapped, Success) or swapped.failure().code is not Code.CONFLICT:
            return swapped
