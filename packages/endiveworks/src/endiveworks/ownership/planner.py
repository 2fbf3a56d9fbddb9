"""Plans the actions of a host on partitions: create, open, take over, hand over and release."""

from collections.abc import Mapping
from typing import NamedTuple

from ..members.member import Member
from . import placement
from .record import OwnerId, PartitionRecord

MAX_HANDOVERS_PER_PLAN = 4
TAKEOVER_DELAY_PER_RANK_S = 3.0


class Create(NamedTuple):
    """Create the record of a partition that has none."""

    partition: int


class Open(NamedTuple):
    """Open a partition that the table assigns to this process."""

    record: PartitionRecord


class TakeOver(NamedTuple):
    """Take ownership of a partition at the next epoch and open it."""

    record: PartitionRecord


class HandOver(NamedTuple):
    """Stop serving a partition and transfer it to another process."""

    record: PartitionRecord
    successor: Member


class Release(NamedTuple):
    """Stop serving a partition that the table assigns to another process or a later epoch."""

    partition: int


class DropCopy(NamedTuple):
    """Drop a copy that is no longer in the copy set and was sealed before the record's epoch."""

    record: PartitionRecord


Action = Create | Open | TakeOver | HandOver | Release | DropCopy


class PlannerInputs(NamedTuple):
    """The state from which a host plans its actions.

    Attributes:
        local_member: This process.
        members: Live processes by host.
        records: Records of the table by partition.
        partitions: Number of partitions of the deployment.
        held_epochs: Epoch of each partition that this process serves.
        opened_epochs: Highest epoch at which this process has opened each partition. A log is
            never opened twice at one epoch, because requests of the first opening may still be in
            flight.
        ownerless_s: Time in seconds for which each partition has had no live owner.
        copy_epochs: Sealed epoch of each copy that this host stores, by partition.
        is_placement_due: Whether the members may have changed since placement was last evaluated.
    """

    local_member: Member
    members: Mapping[str, Member]
    records: Mapping[int, PartitionRecord]
    partitions: int
    held_epochs: Mapping[int, int]
    opened_epochs: Mapping[int, int]
    ownerless_s: Mapping[int, float]
    copy_epochs: Mapping[int, int]
    is_placement_due: bool = True


def plan(inputs: PlannerInputs) -> tuple[Action, ...]:
    """Returns the actions for all partitions; handovers are limited unless the host is draining."""
    actions: list[Action] = []
    handovers = 0
    for partition in sorted(_relevant_partitions(inputs)):
        action = plan_partition(inputs, partition)
        if isinstance(action, HandOver):
            handovers += 1
            if handovers > MAX_HANDOVERS_PER_PLAN and not inputs.local_member.draining:
                continue
        if action is not None:
            actions.append(action)
    actions += _plan_drops(inputs)
    return tuple(actions)


def find_ownerless(inputs: PlannerInputs) -> frozenset[int]:
    """Returns the partitions whose owner is not a live process."""
    live = {_owner_id(member) for member in inputs.members.values()}
    owned = {partition for partition, record in inputs.records.items() if record.owner in live}
    return frozenset(set(range(inputs.partitions)) - owned)


def _relevant_partitions(inputs: PlannerInputs) -> set[int]:
    """Returns the partitions that may require an action of this host."""
    this_owner = _owner_id(inputs.local_member)
    owned = {
        partition for partition, record in inputs.records.items() if record.owner == this_owner
    }
    return owned | inputs.held_epochs.keys() | find_ownerless(inputs)


def plan_partition(inputs: PlannerInputs, partition: int) -> Action | None:
    """Returns the action for one partition, or None."""
    record = inputs.records.get(partition)
    if record is None:
        return (
            None
            if inputs.local_member.draining or not _may_claim(inputs, partition)
            else Create(partition)
        )
    if record.owner == _owner_id(inputs.local_member):
        return _plan_owned(inputs, record)
    held_epoch = inputs.held_epochs.get(partition)
    if held_epoch is not None:
        return Release(partition) if held_epoch < record.epoch else None
    if inputs.local_member.draining or _is_live(inputs, record.owner):
        return None
    return TakeOver(record) if _may_claim(inputs, partition) else None


def _plan_owned(inputs: PlannerInputs, record: PartitionRecord) -> Action | None:
    held_epoch = inputs.held_epochs.get(record.partition)
    if held_epoch is None and inputs.local_member.draining:
        return _hand_over(inputs, record)
    if held_epoch is None:
        was_opened = inputs.opened_epochs.get(record.partition, 0) >= record.epoch
        return TakeOver(record) if was_opened else Open(record)
    if held_epoch < record.epoch:
        return Release(record.partition)
    return _hand_over(inputs, record)


def _hand_over(inputs: PlannerInputs, record: PartitionRecord) -> Action | None:
    """Returns the handover to the host that ranks first for a partition, unless it is this one."""
    if not inputs.is_placement_due and not inputs.local_member.draining:
        return None
    ranked = placement.rank_owners(record.partition, inputs.members.values())
    if not ranked or ranked[0].host == inputs.local_member.host:
        return None
    return HandOver(record, ranked[0])


def _may_claim(inputs: PlannerInputs, partition: int) -> bool:
    """Tells whether this host may claim an ownerless partition.

    The host that ranks first may claim it at once, each further one TAKEOVER_DELAY_PER_RANK_S
    after the host ranked before it.
    """
    ranked = [member.host for member in placement.rank_owners(partition, inputs.members.values())]
    if inputs.local_member.host not in ranked:
        return False
    return (
        inputs.ownerless_s.get(partition, 0.0)
        >= ranked.index(inputs.local_member.host) * TAKEOVER_DELAY_PER_RANK_S
    )


def _plan_drops(inputs: PlannerInputs) -> list[DropCopy]:
    drops = []
    for partition, epoch in inputs.copy_epochs.items():
        record = inputs.records.get(partition)
        if record is None or epoch >= record.epoch:
            continue
        if inputs.local_member.host not in {copy.host for copy in record.copies}:
            drops.append(DropCopy(record))
    return drops


def _is_live(inputs: PlannerInputs, owner: OwnerId) -> bool:
    member = inputs.members.get(owner.host)
    return member is not None and member.incarnation == owner.incarnation


def _owner_id(member: Member) -> OwnerId:
    return OwnerId(member.host, member.incarnation)
