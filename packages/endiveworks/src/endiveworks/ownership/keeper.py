"""Decides what a host does about the partitions: claim, open, take over, hand over, give up."""

from collections.abc import Mapping
from typing import NamedTuple

from ..members.member import Member
from . import placement
from .record import OwnerId, PartitionRecord

HANDOVERS_PER_TICK = 4
TAKEOVER_STEP_S = 3.0


class Create(NamedTuple):
    """Enter a partition that has no record."""

    partition: int


class Open(NamedTuple):
    """Open a partition that the table gives to this process."""

    record: PartitionRecord


class TakeOver(NamedTuple):
    """Take a partition at the next epoch, and open it."""

    record: PartitionRecord


class HandOver(NamedTuple):
    """Stop acting on a partition and give it to another process."""

    record: PartitionRecord
    successor: Member


class GiveUp(NamedTuple):
    """Stop acting on a partition that the table gives to another process."""

    partition: int


class Drop(NamedTuple):
    """Drop a copy that is no longer in the set, sealed at an older epoch than the record's."""

    record: PartitionRecord


Action = Create | Open | TakeOver | HandOver | GiveUp | Drop


class Situation(NamedTuple):
    """What a host knows when it decides.

    Attributes:
        me: This process.
        members: The live processes by host.
        records: The table by partition.
        partitions: Number of partitions of the deployment.
        held: Epochs at which this process acts, by partition.
        spent: Highest epoch at which this process has ever opened each partition. A log is never
            opened twice at one epoch, as requests of the first opening may still be under way.
        ownerless_s: How long each partition has had no live owner, in seconds.
        copies: Sealed epoch of each copy kept here.
        is_placement_due: Whether hosts may have come or gone since placement was last looked at.
    """

    me: Member
    members: Mapping[str, Member]
    records: Mapping[int, PartitionRecord]
    partitions: int
    held: Mapping[int, int]
    spent: Mapping[int, int]
    ownerless_s: Mapping[int, float]
    copies: Mapping[int, int]
    is_placement_due: bool = True


def plan(now: Situation) -> tuple[Action, ...]:
    """Returns what to do now, partition by partition."""
    actions: list[Action] = []
    handovers = 0
    for partition in sorted(_concerned(now)):
        action = plan_one(now, partition)
        if isinstance(action, HandOver):
            handovers += 1
            if handovers > HANDOVERS_PER_TICK and not now.me.draining:
                continue
        if action is not None:
            actions.append(action)
    actions += _drops(now)
    return tuple(actions)


def ownerless(now: Situation) -> frozenset[int]:
    """Returns the partitions whose owner is not a live process."""
    live = {_id_of(member) for member in now.members.values()}
    owned = {partition for partition, record in now.records.items() if record.owner in live}
    return frozenset(set(range(now.partitions)) - owned)


def _concerned(now: Situation) -> set[int]:
    """Returns the partitions that this host may have to do something about."""
    me = _id_of(now.me)
    own = {partition for partition, record in now.records.items() if record.owner == me}
    return own | now.held.keys() | ownerless(now)


def plan_one(now: Situation, partition: int) -> Action | None:
    """Returns what to do about one partition."""
    record = now.records.get(partition)
    if record is None:
        return None if now.me.draining or not _is_my_turn(now, partition) else Create(partition)
    if record.owner == _id_of(now.me):
        return _plan_own(now, record)
    held = now.held.get(partition)
    if held is not None:
        return GiveUp(partition) if held < record.epoch else None
    if now.me.draining or _is_live(now, record.owner):
        return None
    return TakeOver(record) if _is_my_turn(now, partition) else None


def _plan_own(now: Situation, record: PartitionRecord) -> Action | None:
    held = now.held.get(record.partition)
    if held is None and now.me.draining:
        return _hand_over(now, record)
    if held is None:
        spent = now.spent.get(record.partition, 0) >= record.epoch
        return TakeOver(record) if spent else Open(record)
    if held < record.epoch:
        return GiveUp(record.partition)
    return _hand_over(now, record)


def _hand_over(now: Situation, record: PartitionRecord) -> Action | None:
    """Gives a partition to the host that should own it, if that is another one."""
    if not now.is_placement_due and not now.me.draining:
        return None
    wanted = placement.owners(record.partition, now.members.values())
    if not wanted or wanted[0].host == now.me.host:
        return None
    return HandOver(record, wanted[0])


def _is_my_turn(now: Situation, partition: int) -> bool:
    """The first host in order acts at once; each further one only after a while longer."""
    order = [member.host for member in placement.owners(partition, now.members.values())]
    if now.me.host not in order:
        return False
    return now.ownerless_s.get(partition, 0.0) >= order.index(now.me.host) * TAKEOVER_STEP_S


def _drops(now: Situation) -> list[Drop]:
    drops = []
    for partition, epoch in now.copies.items():
        record = now.records.get(partition)
        if record is None or epoch >= record.epoch:
            continue
        if now.me.host not in {copy.host for copy in record.copies}:
            drops.append(Drop(record))
    return drops


def _is_live(now: Situation, owner: OwnerId) -> bool:
    member = now.members.get(owner.host)
    return member is not None and member.incarnation == owner.incarnation


def _id_of(member: Member) -> OwnerId:
    return OwnerId(member.host, member.incarnation)
