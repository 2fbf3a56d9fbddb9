"""Executes the actions of the ownership planner on the partitions of this host."""

import random
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from endiveworks.errors import Code, Failure
from endiveworks.journal import copy_state
from endiveworks.journal.peer import CopyId
from endiveworks.journal.store import Store
from endiveworks.kvservice.kv import Kv
from endiveworks.links.threads import start_forever
from endiveworks.members.member import Member
from endiveworks.ownership import planner
from endiveworks.ownership.deployment_info import DeploymentInfo, ensure_deployment_info
from endiveworks.ownership.record import OwnerId, PartitionRecord
from endiveworks.ownership.table import VersionedRecord
from endiveworks.programs.owner import Owner
from endiveworks.telemetry.logs import logger
from returns.result import Success

from .copy_links import CopyLinks
from .copy_sets import (
    FIRST_EPOCH,
    CopySetContext,
    create_copies,
    is_movable,
    log_failure,
    new_change_id,
    repair_copies,
    update_record,
)
from .held_partitions import HeldPartitions
from .partition_timers import Backoffs, OwnerlessTimes
from .suspects import Suspects
from .table_access import TableAccess

_TICK_S = 1.0
_POLL_S = 0.05
_WORKERS = 8


class PartitionDeps(NamedTuple):
    """Dependencies of Partitions.

    Attributes:
        kv: The key-value service.
        owner: Programs of this host.
        store: Journal copies on this host; None if it stores none.
        links: Access to all copies.
        members: Returns the live processes by host.
        notify: Notifies a process that a partition has been handed over to it.
        suspects: Processes that did not reply.
        region: Region of this host.
    """

    kv: Kv
    owner: Owner
    store: Store | None
    links: CopyLinks
    members: Callable[[], Mapping[str, Member]]
    notify: Callable[[Member, int], None]
    suspects: Suspects
    region: str


class Partitions:
    """Partitions of this host, with its cache of the partition table.

    A thread compares the table with the planner's goals and starts the planned actions.
    """

    def __init__(self, deps: PartitionDeps) -> None:
        self._deps = deps
        self._change_event = threading.Event()
        self._table_access = TableAccess(deps.kv, self._change_event.set)
        self.table = self._table_access.table
        self._copy_set_ctx = CopySetContext(
            deps.kv, self.table, deps.links, deps.members, deps.region
        )
        self._local_member: Member | None = None
        self._deployment_info: DeploymentInfo | None = None
        self._held = HeldPartitions(deps.owner, self._copy_set_ctx)
        self._lock = threading.Lock()
        self._in_progress: set[int] = set()
        self._backoffs = Backoffs()
        self._balanced_members: Mapping[str, Member] = {}
        self._ownerless = OwnerlessTimes()
        self._pool = ThreadPoolExecutor(_WORKERS, "partitions")

    def start(self, member: Member) -> None:
        """Loads the table and starts the planner; this process must be registered."""
        self._local_member = member
        self.table.load(self._deps.kv)
        self._deployment_info = ensure_deployment_info(self._deps.kv).value_or(None)
        rng = random.Random(member.incarnation)
        start_forever("table-view", lambda: self.table.follow(self._deps.kv, time.sleep, rng))
        start_forever("keeper", self._run)

    def count(self) -> int:
        """Returns the number of partitions of the deployment; 0 while it is not known."""
        return self._deployment_info.partitions if self._deployment_info is not None else 0

    def held(self) -> tuple[int, ...]:
        """Returns the partitions that this host has open."""
        return tuple(self._held.all())

    def refresh(self, partition: int) -> None:
        """Schedules a new read of a partition's record."""
        self._table_access.refresh_soon(partition)

    def record_owner_failure(self, partition: int, failure: Failure) -> None:
        """Records that the owner of a partition did not reply or no longer owns it."""
        self.refresh(partition)
        record = self.table.find(partition).record
        if record is None or failure.code not in (Code.UNREACHABLE, Code.TIMEOUT):
            return
        member = self._deps.members().get(record.owner.host)
        if member is not None and _owner_id(member) == record.owner != _owner_id(self._local()):
            self._deps.suspects.record_failure(member)

    def hand_over_all(self, timeout_s: float) -> bool:
        """Hands over all partitions to other hosts; returns whether that succeeded in time."""
        if self._local_member is None:
            return True
        self._local_member = self._local_member._replace(draining=True)
        deadline_s = time.monotonic() + timeout_s
        while self._is_owner() and self._has_successor() and time.monotonic() < deadline_s:
            self._change_event.set()
            time.sleep(_POLL_S)
        return not self._is_owner()

    def move_copies(self, timeout_s: float) -> bool:
        """Waits until the owners have moved the copies on this host; returns whether they did."""
        local_copy = CopyId(self._local().host, self._local().folder)
        deadline_s = time.monotonic() + timeout_s
        while is_movable(self._copy_set_ctx, local_copy):
            if time.monotonic() > deadline_s:
                return False
            time.sleep(_POLL_S)
        return True

    def _is_owner(self) -> bool:
        """Tells whether this host has a partition open, or is named in the table as an owner."""
        local_owner = _owner_id(self._local())
        named = any(record.owner == local_owner for record in self.table.records().values())
        return named or bool(self.held())

    def _has_successor(self) -> bool:
        return any(
            member.role == "entry" and not member.draining and member.host != self._local().host
            for member in self._deps.members().values()
        )

    def _local(self) -> Member:
        assert self._local_member is not None
        return self._local_member

    def _run(self) -> None:
        while True:
            self._change_event.wait(_TICK_S)
            self._change_event.clear()
            self._table_access.refresh_stale()
            self._held.release_closed()
            if self._deployment_info is None:
                self._deployment_info = ensure_deployment_info(self._deps.kv).value_or(None)
            if self._deployment_info is not None:
                self._run_planner(self._deployment_info)

    def _run_planner(self, deployment_info: DeploymentInfo) -> None:
        inputs = self._planner_inputs(deployment_info)
        actions = planner.plan(inputs)
        is_balanced = not any(isinstance(action, planner.HandOver) for action in actions)
        self._balanced_members = inputs.members if is_balanced else {}
        for action in actions:
            if isinstance(action, planner.DropCopy):
                self._drop_copy(action)
            else:
                self._start_action(action)
        for partition, held in self._held.all().items():
            repair_copies(self._copy_set_ctx, partition, held.replicated_log)

    def _planner_inputs(self, deployment_info: DeploymentInfo) -> planner.PlannerInputs:
        suspects = self._deps.suspects
        suspects.check(self._deps.members())
        responsive = suspects.exclude_gone(self._deps.members())
        members = {**responsive, self._local().host: self._local()}
        store = self._deps.store
        copies = {}
        for partition in store.partitions() if store is not None else ():
            state = store.state(partition) if store is not None else None
            if state is not None:
                copies[partition] = state.epoch
        inputs = planner.PlannerInputs(
            local_member=self._local(),
            members=members,
            records=self.table.records(),
            partitions=deployment_info.partitions,
            held_epochs={partition: held.epoch for partition, held in self._held.all().items()},
            opened_epochs=self._held.opened_epochs(),
            ownerless_s={},
            copy_epochs=copies,
            is_placement_due=members != self._balanced_members,
        )
        return inputs._replace(ownerless_s=self._ownerless.update(planner.find_ownerless(inputs)))

    def _start_action(self, action: planner.Action) -> None:
        partition = _partition_of(action)
        if not self._backoffs.may_try(partition):
            return
        with self._lock:
            if partition in self._in_progress:
                return
            self._in_progress.add(partition)
        self._pool.submit(self._perform, action, partition)

    def _perform(self, action: planner.Action, partition: int) -> None:
        try:
            match action:
                case planner.Create():
                    self._create(partition)
                case planner.Open(record):
                    self._open(record)
                case planner.TakeOver(record):
                    self._take_over(record)
                case planner.HandOver(record, successor):
                    self._hand_over(record, successor)
                case planner.Release():
                    self._held.release(partition)
        except Exception as exc:  # The pool would discard it and leave the partition ownerless.
            logger("ownership").error(
                "partition_action_failed", partition=partition, error_type=type(exc).__name__
            )
            self._backoffs.record_failure(partition)
        finally:
            with self._lock:
                self._in_progress.discard(partition)

    def _create(self, partition: int) -> None:
        created = create_copies(self._copy_set_ctx, partition)
        if created:
            local_owner = _owner_id(self._local())
            record = PartitionRecord(partition, local_owner, FIRST_EPOCH, created, new_change_id())
            self._swap_and_open(VersionedRecord(None, 0), record)

    def _take_over(self, record: PartitionRecord) -> None:
        expected = self.table.find(record.partition)
        if expected.record != record:
            return
        updated = record._replace(
            owner=_owner_id(self._local()), epoch=record.epoch + 1, change=new_change_id()
        )
        self._swap_and_open(expected, updated)

    def _swap_and_open(self, expected: VersionedRecord, record: PartitionRecord) -> None:
        if isinstance(self._table_access.swap(expected, record), Success):
            self._open(record)

    def _open(self, record: PartitionRecord) -> None:
        opened = self._held.open(record)
        if opened:
            self._balanced_members = {}
            self._backoffs.record_success(record.partition)
        elif opened is not None:
            self._backoffs.record_failure(record.partition)

    def _hand_over(self, record: PartitionRecord, successor: Member) -> None:
        # The read fails in an outage, when the table can't be changed and the released partition
        # would have no owner.
        found = self._table_access.read(record.partition)
        if not isinstance(found, Success) or found.unwrap().record != record:
            return
        self._held.release(record.partition)
        updated = update_record(
            self._copy_set_ctx,
            record.partition,
            record.epoch,
            lambda current: current._replace(
                owner=_owner_id(successor), epoch=current.epoch + 1, change=new_change_id()
            ),
        )
        if isinstance(updated, Success):
            self._deps.notify(successor, record.partition)
            logger("ownership").info(
                "partition_handed_over", partition=record.partition, owner=successor.host
            )
        else:
            log_failure("handover_failed", record.partition, record.epoch, updated.failure())

    def _drop_copy(self, action: planner.DropCopy) -> None:
        record = action.record
        if self._deps.store is not None:
            self._deps.store.submit(copy_state.Drop(record.partition, record.epoch - 1))


def _partition_of(action: planner.Action) -> int:
    if isinstance(action, planner.Create | planner.Release):
        return action.partition
    return action.record.partition


def _owner_id(member: Member) -> OwnerId:
    return OwnerId(member.host, member.incarnation)
