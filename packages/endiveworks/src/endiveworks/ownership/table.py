"""Changes of the table of partitions, by compare-and-swap only."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..kvservice.kv import Kv, Swap
from .record import PartitionRecord, decode_record, encode_record, key_of

_ATTEMPTS = 3
_UNSETTLED = frozenset({Code.TIMEOUT, Code.UNREACHABLE})
_STEP = "ownership.swap"


class Located(NamedTuple):
    """A record, and the revision at which the table holds it; 0 with None when absent."""

    record: PartitionRecord | None
    revision: int


def read(kv: Kv, partition: int) -> Result[Located, Failure]:
    """Reads the record of a partition."""
    found = kv.read(key_of(partition))
    if not isinstance(found, Success):
        return Err(found.failure())
    entry = found.unwrap()
    if entry is None:
        return Success(Located(None, 0))
    return decode_record(entry.key, entry.value).map(
        lambda record: Located(record, entry.mod_revision)
    )


def swap(kv: Kv, before: Located, record: PartitionRecord) -> Result[Located, Failure]:
    """Writes a record in place of one that was read.

    A swap whose answer is lost is settled by reading back: the record's change id tells whether
    it took effect, and as long as it has not, the same swap is tried again.

    Returns:
        The record in force, or CONFLICT when another one is, or TIMEOUT or UNREACHABLE when it
        can't be told; the swap may then still take effect later.
    """
    wanted = Swap(key_of(record.partition), encode_record(record), before.revision)
    failure = Failure(Code.TIMEOUT, _STEP, wanted.key, "no attempt was made")
    for _ in range(_ATTEMPTS):
        swapped = kv.swap(wanted)
        if isinstance(swapped, Success) and swapped.unwrap().done:
            return Success(Located(record, swapped.unwrap().revision))
        if not isinstance(swapped, Success) and swapped.failure().code not in _UNSETTLED:
            return Err(swapped.failure())
        found = read(kv, record.partition)
        if not isinstance(found, Success):
            failure = found.failure()
            continue
        current = found.unwrap()
        if current.record is not None and current.record.change == record.change:
            return Success(current)
        if current.revision != before.revision:
            detail = "another process has changed the record"
            return Err(Failure(Code.CONFLICT, _STEP, wanted.key, detail, not_run=True))
        failure = failure if isinstance(swapped, Success) else swapped.failure()
    return Err(failure)


def update(
    kv: Kv,
    partition: int,
    epoch: int,
    change: Callable[[PartitionRecord], PartitionRecord],
) -> Result[Located, Failure]:
    """Changes a record that must still be at an epoch.

    Returns:
        The record in force, or STALE_EPOCH when the partition has gone to another epoch, or
        TIMEOUT or UNREACHABLE when it can't be told.
    """
    while True:
        found = read(kv, partition)
        if not isinstance(found, Success):
            return Err(found.failure())
        current = found.unwrap()
        if current.record is None or current.record.epoch != epoch:
            detail = f"partition {partition:04x} is no longer at epoch {epoch}"
            return Err(Failure(Code.STALE_EPOCH, "ownership.update", "", detail))
        wanted = change(current.record)
        if wanted._replace(change=current.record.change) == current.record:
            return Success(current)
        swapped = swap(kv, current, wanted)
        if isinstance(swapped, Success) or swapped.failure().code is not Code.CONFLICT:
            return swapped
