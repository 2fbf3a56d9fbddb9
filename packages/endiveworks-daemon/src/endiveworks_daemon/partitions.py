"""The partitions of this host: carries out what the keeper decides."""

import random
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from endiveworks.errors import Code, Failure
from endiveworks.journal import copy_state
from endiveworks.journal.peer import CopyId
from endiveworks.journal.replicated_log import OpenedReplica, open_replicated_log
from endiveworks.journal.store import Store
from endiveworks.members.member import Member
from endiveworks.ownership import keeper, table
from endiveworks.ownership.record import OwnerId, PartitionRecord
from endiveworks.ownership.table import Located
from endiveworks.ownership.terms import Terms, agree_terms
from endiveworks.ownership.view import TableView
from endiveworks.platform.kv import Kv
from endiveworks.programs.owner import Owner
from endiveworks.telemetry.logs import logger
from returns.result import Result, Success

from .copy_links import CopyLinks
from .copy_sets import (
    FIRST_EPOCH,
    CopySets,
    change_id,
    check_copies,
    copy_set_of,
    is_movable,
    log_failure,
    start_copies,
    update_record,
)
from .partition_timers import Backoffs, OwnerlessTimes
from .suspects import Suspects

_TICK_S = 1.0
_POLL_S = 0.05
_WORKERS = 8
# Bounds how late this host acts on the table after an outage of the key-value service.
_MAX_TABLE_BACKOFF_S = 2.0
_TABLE = 0
_UNANSWERED = frozenset({Code.TIMEOUT, Code.UNREACHABLE})


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
        self.table = TableView(self._wake.set)
        self._sets = CopySets(parts.kv, self.table, parts.links, parts.members, parts.region)
        self._me: Member | None = None
        self._terms: Terms | None = None
        self._lock = threading.Lock()
        self._held: dict[int, tuple[int, OpenedReplica]] = {}
        self._spent: dict[int, int] = {}
        self._busy: set[int] = set()
        self._backoffs = Backoffs()
        self._table_backoff = Backoffs(_MAX_TABLE_BACKOFF_S)
        self._stale: set[int] = set()
        self._placed: Mapping[str, Member] = {}
        self._ownerless = OwnerlessTimes()
        self._pool = ThreadPoolExecutor(_WORKERS, "partitions")

    def start(self, me: Member) -> None:
        """Begins to act on partitions as a process that the others know."""
        self._me = me
        self.table.load(self._parts.kv)
        self._terms = agree_terms(self._parts.kv).value_or(None)
        rng = random.Random(me.incarnation)
        threading.Thread(
            target=lambda: self.table.follow(self._parts.kv, time.sleep, rng),
            name="table-view",
            daemon=True,
        ).start()
        threading.Thread(target=self._run, name="keeper", daemon=True).start()

    def count(self) -> int:
        """Returns the number of partitions of the deployment; 0 while it is not known."""
        return self._terms.partitions if self._terms is not None else 0

    def held(self) -> tuple[int, ...]:
        """Returns the partitions on which this host acts."""
        with self._lock:
            return tuple(self._held)

    def refresh(self, partition: int) -> None:
        """Has the record of a partition read again soon."""
        with self._lock:
            self._stale.add(partition)
        self._wake.set()

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
        while self.held() and self._has_successor() and time.monotonic() < deadline:
            self._wake.set()
            time.sleep(_POLL_S)
        return not self.held()

    def move_copies(self, timeout_s: float) -> bool:
        """Waits until the owners have moved the copies kept here; returns whether they have."""
        here = CopyId(self._self().host, self._self().folder)
        deadline = time.monotonic() + timeout_s
        while is_movable(self._sets, here):
            if time.monotonic() > deadline:
                return False
            time.sleep(_POLL_S)
        return True

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
            self._refresh_stale()
            self._drop_lost()
            if self._terms is None:
                self._terms = agree_terms(self._parts.kv).value_or(None)
            if self._terms is not None:
                self._act(self._terms)

    def _act(self, terms: Terms) -> None:
        now = self._situation(terms)
        actions = keeper.plan(now)
        settled = not any(isinstance(action, keeper.HandOver) for action in actions)
        self._placed = now.members if settled else {}
        for action in actions:
            if isinstance(action, keeper.Drop):
                self._drop(action)
            else:
                self._start_action(action)
        with self._lock:
            held = dict(self._held)
        for partition, (_, replica) in held.items():
            check_copies(self._sets, partition, replica)

    def _situation(self, terms: Terms) -> keeper.Situation:
        suspects = self._parts.suspects
        suspects.check(self._parts.members())
        there = suspects.without_gone(self._parts.members())
        members = {**there, self._self().host: self._self()}
        store = self._parts.store
        copies = {}
        for partition in store.partitions() if store is not None else ():
            head = store.head(partition) if store is not None else None
            if head is not None:
                copies[partition] = head.epoch
        with self._lock:
            held = {partition: epoch for partition, (epoch, _) in self._held.items()}
            spent = dict(self._spent)
        now = keeper.Situation(
            me=self._self(),
            members=members,
            records=self.table.records(),
            partitions=terms.partitions,
            held=held,
            spent=spent,
            ownerless_s={},
            copies=copies,
            is_placement_due=members != self._placed,
        )
        return now._replace(ownerless_s=self._ownerless.update(keeper.ownerless(now)))

    def _start_action(self, action: keeper.Action) -> None:
        partition = _partition_of(action)
        if not self._backoffs.may_try(partition):
            return
        with self._lock:
            if partition in self._busy:
                return
            self._busy.add(partition)
        self._pool.submit(self._perform, action, partition)

    def _perform(self, action: keeper.Action, partition: int) -> None:
        try:
            match action:
                case keeper.Create():
                    self._create(partition)
                case keeper.Open(record):
                    self._open(record)
                case keeper.TakeOver(record):
                    self._take_over(record)
                case keeper.HandOver(record, successor):
                    self._hand_over(record, successor)
                case keeper.GiveUp():
                    self._give_up(partition)
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
            self._swap_and_open(Located(None, 0), record)

    def _take_over(self, record: PartitionRecord) -> None:
        before = self.table.find(record.partition)
        if before.record != record:
            return
        taken = record._replace(owner=_id(self._self()), epoch=record.epoch + 1, change=change_id())
        self._swap_and_open(before, taken)

    def _swap_and_open(self, before: Located, record: PartitionRecord) -> None:
        if not self._table_backoff.may_try(_TABLE):
            return
        swapped = table.swap(self._parts.kv, before, record)
        self._note_table(swapped)
        if not isinstance(swapped, Success):
            self.refresh(record.partition)
            return
        self.table.put(record.partition, swapped.unwrap())
        self._open(record)

    def _open(self, record: PartitionRecord) -> None:
        partition, epoch = record.partition, record.epoch
        with self._lock:
            if self._spent.get(partition, 0) >= epoch:
                return
            self._spent[partition] = epoch
        peers = [self._parts.links.peer(copy) for copy in record.copies]
        copy_set = copy_set_of(self._sets, partition, epoch)
        opened = open_replicated_log(partition, epoch, peers, copy_set)
        adopted = opened.bind(lambda replica: self._adopt(partition, epoch, replica))
        if isinstance(adopted, Success):
            logger("ownership").info("partition_opened", partition=partition, epoch=epoch)
            self._backoffs.succeeded(partition)
        else:
            self._backoffs.failed(partition)
            log_failure("partition_not_opened", partition, epoch, adopted.failure())

    def _adopt(self, partition: int, epoch: int, replica: OpenedReplica) -> Result[None, Failure]:
        adopted = self._parts.owner.adopt(partition, epoch, replica.opened)
        if isinstance(adopted, Success):
            with self._lock:
                self._held[partition] = (epoch, replica)
            self._placed = {}
            replica.check()
        else:
            replica.opened.log.close()
        return adopted

    def _hand_over(self, record: PartitionRecord, successor: Member) -> None:
        if not self._table_backoff.may_try(_TABLE):
            return
        # In an outage the table could not be changed, and nobody would act on the partition.
        found = table.read(self._parts.kv, record.partition)
        self._note_table(found)
        if not isinstance(found, Success) or found.unwrap().record != record:
            return
        self._give_up(record.partition)
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

    def _give_up(self, partition: int) -> None:
        with self._lock:
            self._held.pop(partition, None)
        self._parts.owner.give_up(partition)

    def _drop(self, action: keeper.Drop) -> None:
        record = action.record
        if self._parts.store is not None:
            self._parts.store.submit(copy_state.Drop(record.partition, record.epoch - 1))

    def _drop_lost(self) -> None:
        """Stops acting on partitions whose log takes no more records."""
        with self._lock:
            held = dict(self._held)
        for partition, (_, replica) in held.items():
            if replica.is_closed():
                self._give_up(partition)

    def _refresh_stale(self) -> None:
        if not self._table_backoff.may_try(_TABLE):
            return
        with self._lock:
            stale, self._stale = self._stale, set()
        while stale:
            partition = stale.pop()
            if self._note_table(self.table.refresh(self._parts.kv, partition)):
                with self._lock:
                    self._stale |= {partition, *stale}
                return

    def _note_table(self, outcome: Result[Located, Failure]) -> bool:
        """Notes whether the table answered; begins a pause and returns True if it did not.

        Without the pause, all hosts would ask for every partition of a dead owner, as fast as
        they can, for as long as the key-value service is down.
        """
        if isinstance(outcome, Success) or outcome.failure().code not in _UNANSWERED:
            self._table_backoff.succeeded(_TABLE)
            return False
        self._table_backoff.failed(_TABLE)
        return True


def _partition_of(action: keeper.Action) -> int:
    if isinstance(action, keeper.Create | keeper.GiveUp):
        return action.partition
    return action.record.partition


def _id(member: Member) -> OwnerId:
    return OwnerId(member.host, member.incarnation)
