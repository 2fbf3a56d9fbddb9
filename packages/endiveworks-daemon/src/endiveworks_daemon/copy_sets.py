"""Creates, replaces and removes journal copies of partitions as the placement requires."""

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
_CHANGE_ID_BITS = 62


class CopySetContext(NamedTuple):
    """Dependencies of the functions that change sets of copies.

    Attributes:
        kv: The key-value service.
        table: Cache of the partition table.
        links: Access to all copies.
        members: Returns the live processes by host.
        region: Region of this host.
    """

    kv: Kv
    table: TableCache
    links: CopyLinks
    members: Callable[[], Mapping[str, Member]]
    region: str


def make_copy_set(ctx: CopySetContext, partition: int, epoch: int) -> CopySet:
    """Returns the functions that choose and record the copies of a partition's log at an epoch."""

    def change(copies: Sequence[CopyId]) -> Result[None, Failure]:
        new_copies = tuple(copies)
        updated = update_record(
            ctx,
            partition,
            epoch,
            lambda current: current._replace(copies=new_copies, change=new_change_id()),
        )
        if isinstance(updated, Success):
            hosts = [copy.host for copy in new_copies]
            logger("ownership").info("copies_changed", partition=partition, copies=hosts)
        return updated.map(lambda _: None)

    def on_lost(failure: Failure) -> None:
        log_failure("partition_lost", partition, epoch, failure)

    return CopySet(
        change,
        lambda present, avoided: _choose_replacement(ctx, partition, present, avoided),
        lambda present: placement.choose_surplus_copy(
            ctx.region, tuple(ctx.members().values()), present
        ),
        on_lost,
    )


def create_copies(ctx: CopySetContext, partition: int) -> tuple[CopyId, ...]:
    """Creates the empty copies of a new partition; returns those that could be created."""
    members = tuple(ctx.members().values())
    copies = placement.choose_initial_copies(partition, ctx.region, members)
    reset = copy_state.Reset(partition, FIRST_EPOCH, _FIRST_GENERATION, 1)
    return tuple(
        copy for copy in copies if isinstance(ctx.links.peer(copy).send(reset).result(), Success)
    )


def repair_copies(ctx: CopySetContext, partition: int, replicated_log: OpenedReplicatedLog) -> None:
    """Starts the replacement of copies whose host is gone, or the creation of missing ones.

    An empty append makes the log detect the copies that fail.
    """
    members = ctx.members()
    copies = replicated_log.copies()
    if any(not _has_live_host(copy, members) for copy in copies):
        replicated_log.opened.log.append([])
    elif _choose_replacement(ctx, partition, copies) is not None:
        replicated_log.start_repair()


def is_movable(ctx: CopySetContext, copy: CopyId) -> bool:
    """Returns whether any partition can drop a copy, now or once a replacement is created."""
    members = [member for member in ctx.members().values() if member.host != copy.host]
    for record in ctx.table.records().values():
        if copy not in record.copies:
            continue
        if len(record.copies) > placement.TARGET_COPIES:
            return True
        if placement.choose_copy_host(record.partition, ctx.region, members, record.copies):
            return True
    return False


def update_record(
    ctx: CopySetContext,
    partition: int,
    epoch: int,
    change: Callable[[PartitionRecord], PartitionRecord],
) -> Result[VersionedRecord, Failure]:
    """Changes a record if it is still at an epoch; see table.update for the failures."""
    updated = table.update(ctx.kv, partition, epoch, change)
    if isinstance(updated, Success):
        ctx.table.put(partition, updated.unwrap())
    return updated


def new_change_id() -> int:
    """Returns a random id by which a writer recognizes its own write of a record."""
    return secrets.randbits(_CHANGE_ID_BITS)


def log_failure(event: str, partition: int, epoch: int, failure: Failure) -> None:
    """Logs a failure of one partition at level warning."""
    logger("ownership").warning(
        event,
        partition=partition,
        epoch=epoch,
        code=failure.code.value,
        step=failure.step,
        peer=failure.peer,
        detail=failure.detail,
    )


def _choose_replacement(
    ctx: CopySetContext, partition: int, present: Sequence[CopyId], avoided: Collection[CopyId] = ()
) -> Peer | None:
    members = tuple(ctx.members().values())
    retained = len(placement.retained_copies(members, present))
    if retained > placement.TARGET_COPIES:
        return None
    if retained == placement.TARGET_COPIES:
        member = placement.choose_regional_host(partition, ctx.region, members, present, avoided)
    else:
        member = placement.choose_copy_host(partition, ctx.region, members, present, avoided)
    if member is None:
        return None
    return ctx.links.peer(CopyId(member.host, member.folder))


def _has_live_host(copy: CopyId, members: Mapping[str, Member]) -> bool:
    member = members.get(copy.host)
    return member is not None and member.folder == copy.folder
