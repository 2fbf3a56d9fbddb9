"""Keeps the copies of this host's partitions where the table and the placement want them."""

import secrets
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from endiveworks.errors import Failure
from endiveworks.journal import copy_state
from endiveworks.journal.peer import CopyId, Peer
from endiveworks.journal.replicated_log import OpenedReplicatedLog
from endiveworks.journal.replication import CopySet
from endiveworks.kvservice.kv import Kv
from endiveworks.members.member import Member
from endiveworks.ownership import placement, table
from endiveworks.ownership.record import PartitionRecord
from endiveworks.ownership.table import VersionedRecord
from endiveworks.ownership.table_cache import TableCache
from endiveworks.telemetry.logs import logger
from returns.result import Result, Success

from .copy_links import CopyLinks

FIRST_EPOCH = 1
_FIRST_GENERATION = 1 << 20
_CHANGE_BITS = 62


class CopySets(NamedTuple):
    """What the copies of partitions depend on.

    Attributes:
        kv: The key-value service.
        view: The table as last read.
        links: Access to all copies.
        members: Returns the live processes by host.
        region: Region of this host.
    """

    kv: Kv
    view: TableCache
    links: CopyLinks
    members: Callable[[], Mapping[str, Member]]
    region: str


def copy_set_of(sets: CopySets, partition: int, epoch: int) -> CopySet:
    """Returns how the log of a partition keeps up its set of copies at an epoch."""

    def change(copies: Sequence[CopyId]) -> Result[None, Failure]:
        wanted = tuple(copies)
        changed = update_record(
            sets, partition, epoch, lambda now: now._replace(copies=wanted, change=change_id())
        )
        if isinstance(changed, Success):
            hosts = [copy.host for copy in wanted]
            logger("ownership").info("copies_changed", partition=partition, copies=hosts)
        return changed.map(lambda _: None)

    def lost(failure: Failure) -> None:
        log_failure("partition_lost", partition, epoch, failure)

    return CopySet(
        change,
        lambda present, avoided: _replacement(sets, partition, present, avoided),
        lambda present: placement.choose_surplus_copy(
            sets.region, tuple(sets.members().values()), present
        ),
        lost,
    )


def start_copies(sets: CopySets, partition: int) -> tuple[CopyId, ...]:
    """Starts the empty copies of a new partition and returns those that were started."""
    members = tuple(sets.members().values())
    copies = placement.choose_initial_copies(partition, sets.region, members)
    reset = copy_state.Reset(partition, FIRST_EPOCH, _FIRST_GENERATION, 1)
    return tuple(
        copy for copy in copies if isinstance(sets.links.peer(copy).send(reset).result(), Success)
    )


def check_copies(sets: CopySets, partition: int, replica: OpenedReplicatedLog) -> None:
    """Makes an append to copies whose host is gone, or has missing copies made."""
    members = sets.members()
    copies = replica.copies()
    if any(not _is_there(copy, members) for copy in copies):
        replica.opened.log.append([])
    elif _replacement(sets, partition, copies) is not None:
        replica.start_repair()


def is_movable(sets: CopySets, copy: CopyId) -> bool:
    """Tells whether a copy is in a set that can do without it, now or once another one is made."""
    members = [member for member in sets.members().values() if member.host != copy.host]
    for record in sets.view.records().values():
        if copy not in record.copies:
            continue
        if len(record.copies) > placement.TARGET_COPIES:
            return True
        if placement.choose_copy_host(record.partition, sets.region, members, record.copies):
            return True
    return False


def update_record(
    sets: CopySets,
    partition: int,
    epoch: int,
    change: Callable[[PartitionRecord], PartitionRecord],
) -> Result[VersionedRecord, Failure]:
    """Changes a record that must still be at an epoch; see table.update for the failures."""
    updated = table.update(sets.kv, partition, epoch, change)
    if isinstance(updated, Success):
        sets.view.put(partition, updated.unwrap())
    return updated


def change_id() -> int:
    """Returns a random id by which the writer of a record knows it again."""
    return secrets.randbits(_CHANGE_BITS)


def log_failure(event: str, partition: int, epoch: int, failure: Failure) -> None:
    """Logs a failure that concerns one partition."""
    logger("ownership").warning(
        event,
        partition=partition,
        epoch=epoch,
        code=failure.code.value,
        step=failure.step,
        peer=failure.peer,
        detail=failure.detail,
    )


def _replacement(
    sets: CopySets, partition: int, present: Sequence[CopyId], avoided: Collection[CopyId] = ()
) -> Peer | None:
    members = tuple(sets.members().values())
    staying = len(placement.retained_copies(members, present))
    if staying > placement.TARGET_COPIES:
        return None
    if staying == placement.TARGET_COPIES:
        member = placement.choose_regional_host(partition, sets.region, members, present, avoided)
    else:
        member = placement.choose_copy_host(partition, sets.region, members, present, avoided)
    if member is None:
        return None
    return sets.links.peer(CopyId(member.host, member.folder))


def _is_there(copy: CopyId, members: Mapping[str, Member]) -> bool:
    member = members.get(copy.host)
    return member is not None and member.folder == copy.folder
