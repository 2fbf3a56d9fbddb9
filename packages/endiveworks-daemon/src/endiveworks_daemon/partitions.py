"""The partitions of this host: carries out what the planner decides."""

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
    CopySets,
    change_id,
    check_copies,
    is_movable,
    log_failure,
    start_copies,
    update_record,
)
from .held_partitions import HeldPartitions
from .partition_timers import Backoffs, OwnerlessTimes
from .suspects import Suspects
from .table_access import TableAccess

_TICK_S = 1.0
_POLL_S = 0.05
_WORKERS = 8


class Parts(NamedTuple):
    """What the partitions of a host rest on.

    Attributes:
        kv: The key-value service.
        owner: Programs of this host.
        store: Journal copies of this host, if it keeps any.
        links: Access to all copies.
        members: Returns the live processes by host.
        notify: Tells a process that a partition has been handed to it.
        suspects: Processes that did not answer.
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
    """State of the partitions that this host holds, and its view of the table."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._wake = threading.Event()
        self._access = TableAccess(parts.kv, self._wake.set)
        self.table = self._access.view
        self._sets = CopySets(parts.kv, self.table, parts.links, parts.members, parts.region)
        self._me: Member | None = None
        self._deployment_info: DeploymentInfo | None = None
        self._held = HeldPartitions(parts.owner, self._sets)
        self._lock = threading.Lock()
        self._busy: set[int] = set()
        self._backoffs = Backoffs()
        self._placed: Mapping[str, Member] = {}
        self._ownerless = OwnerlessTimes()
        self._pool = ThreadPoolExecutor(_WORKERS, "partitions")

    def start(self, me: Member) -> None:
        """Begins to act on partitions as a process that the others know."""
        self._me = me
        self.table.load(self._parts.kv)
        self._deployment_info = ensure_deployment_info(self._parts.kv).value_or(None)
        rng = random.Random(me.incarnation)
        threading.Thread(
            target=lambda: self.table.follow(self._parts.kv, time.sleep, rng),
            name="table-view",
            daemon=True,
        ).start()
        threading.Thread(target=self._run, name="keeper", daemon=True).start()

    def count(self) -> int:
        """Returns the number of partitions of the deployment; 0 while it is not known."""
        return self._deployment_info.partitions if self._deployment_info is not None else 0

    def held(self) -> tuple[int, ...]:
        """Returns the partitions on which this host acts."""
        return tuple(self._held.all())

    def refresh(self, partition: int) -> None:
        """Has the record of a partition read again soon."""
        self._access.refresh_soon(partition)

    def owner_failed(self, partition: int, failure: Failure) -> None:
        """Notes that the owner of a partition did not answer or does not own it any more."""
        self.refresh(partition)
        record = self.table.find(partition).record
        if record is None or failure.code not in (Code.UNREACHABLE, Code.TIMEOUT):
            return
        member = self._parts.members().get(record.owner.host)
        if member is not None and _id(member) == record.owner != _id(self._self()):
            self._parts.suspects.note(member)

    def hand_over_all(self, timeout_s: float) -> bool:
        """Hands every partition to another host; returns whether that was done in time."""
        if self._me is None:
            return True
        self._me = self._me._replace(draining=True)
        deadline = time.monotonic() + timeout_s
        while self._is_owner() and self._has_successor() and time.monotonic() < deadline:
            self._wake.set()
            time.sleep(_POLL_S)
        return not self._is_owner()

    def move_copies(self, timeout_s: float) -> bool:
        """Waits until the owners have moved the copies kept here; returns whether they have."""
        here = CopyId(self._self().host, self._self().folder)
        deadline = time.monotonic() + timeout_s
        while is_movable(self._sets, here):
            if time.monotonic() > deadline:
                return False
            time.sleep(_POLL_S)
        return True

    def _is_owner(self) -> bool:
        """Tells whether this host acts on a partition, or was given one that it has not opened."""
        me = _id(self._self())
        named = any(record.owner == me for record in self.table.records().values())
        return named or bool(self.held())

    def _has_successor(self) -> bool:
        return any(
            member.role == "entry" and not member.draining and member.host != self._self().host
            for member in self._parts.members().values()
        )

    def _self(self) -> Member:
        assert self._me is not None
        return self._me

    def _run(self) -> None:
        while True:
            self._wake.wait(_TICK_S)
            self._wake.clear()
            self._access.refresh_stale()
            self._held.give_up_lost()
            if self._deployment_info is None:
                self._deployment_info = ensure_deployment_info(self._parts.kv).value_or(None)
            if self._deployment_info is not None:
                self._act(self._deployment_info)

    def _act(self, deployment_info: DeploymentInfo) -> None:
        now = self._situation(deployment_info)
        actions = planner.plan(now)
        settled = not any(isinstance(action, planner.HandOver) for action in actions)
        self._placed = now.members if settled else {}
        for action in actions:
            if isinstance(action, planner.DropCopy):
                self._drop(action)
            else:
                self._start_action(action)
        for partition, held in self._held.all().items():
            check_copies(self._sets, partition, held.replica)

    def _situation(self, deployment_info: DeploymentInfo) -> planner.PlannerInputs:
        suspects = self._parts.suspects
        suspects.check(self._parts.members())
        there = suspects.without_gone(self._parts.members())
        members = {**there, self._self().host: self._self()}
        store = self._parts.store
        copies = {}
        for partition in store.partitions() if store is not None else ():
            state = store.state(partition) if store is not None else None
            if state is not None:
                copies[partition] = state.epoch
        now = planner.PlannerInputs(
            local_member=self._self(),
            members=members,
            records=self.table.records(),
            partitions=deployment_info.partitions,
            held_epochs={partition: held.epoch for partition, held in self._held.all().items()},
            opened_epochs=self._held.spent(),
            ownerless_s={},
            copy_epochs=copies,
            is_placement_due=members != self._placed,
        )
        return now._replace(ownerless_s=self._ownerless.update(planner.find_ownerless(now)))

    def _start_action(self, action: planner.Action) -> None:
        partition = _partition_of(action)
        if not self._backoffs.may_try(partition):
            return
        with self._lock:
            if partition in self._busy:
                return
            self._busy.add(partition)
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
                    self._held.give_up(partition)
        except Exception as exc:  # The pool would drop it, and the partition stay without an owner.
            logger("ownership").error(
                "partition_action_failed", partition=partition, error_type=type(exc).__name__
            )
            self._backoffs.failed(partition)
        finally:
            with self._lock:
                self._busy.discard(partition)

    def _create(self, partition: int) -> None:
        started = start_copies(self._sets, partition)
        if started:
            me = _id(self._self())
            record = PartitionRecord(partition, me, FIRST_EPOCH, started, change_id())
            self._swap_and_open(VersionedRecord(None, 0), record)

    def _take_over(self, record: PartitionRecord) -> None:
        before = self.table.find(record.partition)
        if before.record != record:
            return
        taken = record._replace(owner=_id(self._self()), epoch=record.epoch + 1, change=change_id())
        self._swap_and_open(before, taken)

    def _swap_and_open(self, before: VersionedRecord, record: PartitionRecord) -> None:
        if isinstance(self._access.swap(before, record), Success):
            self._open(record)

    def _open(self, record: PartitionRecord) -> None:
        opened = self._held.open(record)
        if opened:
            self._placed = {}
            self._backoffs.succeeded(record.partition)
        elif opened is not None:
            self._backoffs.failed(record.partition)

    def _hand_over(self, record: PartitionRecord, successor: Member) -> None:
        # In an outage the table could not be changed, and nobody would act on the partition.
        found = self._access.read(record.partition)
        if not isinstance(found, Success) or found.unwrap().record != record:
            return
        self._held.give_up(record.partition)
        given = update_record(
            self._sets,
            record.partition,
            record.epoch,
            lambda now: now._replace(owner=_id(successor), epoch=now.epoch + 1, change=change_id()),
        )
        if isinstance(given, Success):
            self._parts.notify(successor, record.partition)
            logger("ownership").info(
                "partition_handed_over", partition=record.partition, owner=successor.host
            )
        else:
            log_failure("handover_failed", record.partition, record.epoch, given.failure())

    def _drop(self, action: planner.DropCopy) -> None:
        record = action.record
        if self._parts.store is not None:
            self._parts.store.submit(copy_state.Drop(record.partition, record.epoch - 1))


def _partition_of(action: planner.Action) -> int:
    if isinstance(action, planner.Create | planner.Release):
        return action.partition
    return action.record.partition


def _id(member: Member) -> OwnerId:
    return OwnerId(member.host, member.incarnation)
