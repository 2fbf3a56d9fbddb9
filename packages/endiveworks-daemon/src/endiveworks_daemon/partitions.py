"""The partitions of this host: carries out what the keeper decides."""

import random
import secrets
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from endiveworks.errors import Failure
from endiveworks.journal import copy_state
from endiveworks.journal.peer import CopyId, Peer
from endiveworks.journal.replicated_log import OpenedReplica, open_replicated_log
from endiveworks.journal.replication import CopySet
from endiveworks.journal.store import Store
from endiveworks.members.member import Member
from endiveworks.ownership import keeper, placement, table
from endiveworks.ownership.record import OwnerId, PartitionRecord
from endiveworks.ownership.table import Located
from endiveworks.ownership.terms import Terms, agree_terms
from endiveworks.ownership.view import TableView
from endiveworks.platform.kv import Kv
from endiveworks.programs.owner import Owner
from endiveworks.telemetry.logs import logger
from returns.result import Result, Success

from .copy_links import CopyLinks

_TICK_S = 1.0
_WORKERS = 8
_FIRST_EPOCH = 1
_FIRST_GENERATION = 1 << 20
_CHANGE_BITS = 62


class Parts(NamedTuple):
    """What the partitions of a host rest on.

    Attributes:
        kv: The key-value service.
        owner: Programs of this host.
        store: Journal copies of this host, if it keeps any.
        links: Access to all copies.
        members: Returns the live processes by host.
        notify: Tells a process that a partition has been handed to it.
    """

    kv: Kv
    owner: Owner
    store: Store | None
    links: CopyLinks
    members: Callable[[], Mapping[str, Member]]
    notify: Callable[[Member, int], None]


class Partitions:
    """State of the partitions that this host holds, and its view of the table."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._wake = threading.Event()
        self.table = TableView(self._wake.set)
        self._me: Member | None = None
        self._terms: Terms | None = None
        self._lock = threading.Lock()
        self._held: dict[int, tuple[int, OpenedReplica]] = {}
        self._spent: dict[int, int] = {}
        self._busy: set[int] = set()
        self._stale: set[int] = set()
        self._ownerless_since: dict[int, float] = {}
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

    def hand_over_all(self, timeout_s: float) -> bool:
        """Hands every partition to another host; returns whether that was done in time."""
        if self._me is None:
            return True
        self._me = self._me._replace(draining=True)
        deadline = time.monotonic() + timeout_s
        while self.held() and self._has_successor() and time.monotonic() < deadline:
            self._wake.set()
            time.sleep(_TICK_S / 20)
        return not self.held()

    def move_copies(self, timeout_s: float) -> bool:
        """Waits until the owners have moved the copies kept here; returns whether they have."""
        deadline = time.monotonic() + timeout_s
        while self._is_copy_movable() and time.monotonic() < deadline:
            time.sleep(_TICK_S / 20)
        return not self._is_copy_movable()

    def _is_copy_movable(self) -> bool:
        """Tells whether a copy here is in a set and there is another host that could keep it."""
        me = self._self()
        here = CopyId(me.host, me.folder)
        members = [one for one in self._parts.members().values() if one.host != me.host]
        return any(
            here in record.copies
            and placement.next_copy(record.partition, me.region, members, record.copies)
            for record in self.table.records().values()
        )

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
        for action in keeper.plan(self._situation(terms)):
            if isinstance(action, keeper.Drop):
                self._drop(action)
            else:
                self._start_action(action)
        self._check_copies()

    def _situation(self, terms: Terms) -> keeper.Situation:
        members = {**self._parts.members(), self._self().host: self._self()}
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
            self._self(), members, self.table.records(), terms.partitions, held, spent, {}, copies
        )
        return now._replace(ownerless_s=self._ownerless_s(keeper.ownerless(now)))

    def _ownerless_s(self, partitions: frozenset[int]) -> dict[int, float]:
        now = time.monotonic()
        for partition in self._ownerless_since.keys() - partitions:
            del self._ownerless_since[partition]
        for partition in partitions:
            self._ownerless_since.setdefault(partition, now)
        return {partition: now - since for partition, since in self._ownerless_since.items()}

    def _start_action(self, action: keeper.Action) -> None:
        partition = _partition_of(action)
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
        finally:
            with self._lock:
                self._busy.discard(partition)

    def _create(self, partition: int) -> None:
        me = self._self()
        members = tuple(self._parts.members().values())
        copies = placement.first_copies(partition, me.region, members)
        reset = copy_state.Reset(partition, _FIRST_EPOCH, _FIRST_GENERATION, 1)
        started = [copy for copy in copies if self._send(copy, reset)]
        if not started:
            return
        record = PartitionRecord(partition, _id(me), _FIRST_EPOCH, tuple(started), _change_id())
        self._swap_and_open(Located(None, 0), record)

    def _take_over(self, record: PartitionRecord) -> None:
        before = self.table.find(record.partition)
        if before.record != record:
            return
        taken = record._replace(
            owner=_id(self._self()), epoch=record.epoch + 1, change=_change_id()
        )
        self._swap_and_open(before, taken)

    def _swap_and_open(self, before: Located, record: PartitionRecord) -> None:
        swapped = table.swap(self._parts.kv, before, record)
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
        opened = open_replicated_log(partition, epoch, peers, self._copy_set(partition, epoch))
        adopted = opened.bind(lambda replica: self._adopt(partition, epoch, replica))
        if isinstance(adopted, Success):
            logger("ownership").info("partition_opened", partition=partition, epoch=epoch)
        else:
            _log_failure("partition_not_opened", partition, epoch, adopted.failure())

    def _adopt(self, partition: int, epoch: int, replica: OpenedReplica) -> Result[None, Failure]:
        adopted = self._parts.owner.adopt(partition, epoch, replica.opened)
        if isinstance(adopted, Success):
            with self._lock:
                self._held[partition] = (epoch, replica)
            replica.check()
        else:
            replica.opened.log.close()
        return adopted

    def _hand_over(self, record: PartitionRecord, successor: Member) -> None:
        self._give_up(record.partition)
        given = self._update(
            record.partition,
            record.epoch,
            lambda now: now._replace(
                owner=_id(successor), epoch=now.epoch + 1, change=_change_id()
            ),
        )
        if isinstance(given, Success):
            self._parts.notify(successor, record.partition)
            logger("ownership").info(
                "partition_handed_over", partition=record.partition, owner=successor.host
            )
        else:
            _log_failure("handover_failed", record.partition, record.epoch, given.failure())

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
        with self._lock:
            stale, self._stale = self._stale, set()
        for partition in stale:
            self.table.refresh(self._parts.kv, partition)

    def _check_copies(self) -> None:
        """Makes appends to copies whose host is gone, and has missing copies made."""
        members = self._parts.members()
        with self._lock:
            held = dict(self._held)
        for partition, (_, replica) in held.items():
            copies = replica.copies()
            if any(not _is_there(copy, members) for copy in copies):
                replica.opened.log.append([])
            elif self._replacement(partition, copies) is not None:
                replica.check()

    def _copy_set(self, partition: int, epoch: int) -> CopySet:
        def change(copies: Sequence[CopyId]) -> Result[None, Failure]:
            wanted = tuple(copies)
            changed = self._update(
                partition, epoch, lambda now: now._replace(copies=wanted, change=_change_id())
            )
            if isinstance(changed, Success):
                hosts = [copy.host for copy in wanted]
                logger("ownership").info("copies_changed", partition=partition, copies=hosts)
            return changed.map(lambda _: None)

        def replacement(present: Sequence[CopyId]) -> Peer | None:
            return self._replacement(partition, present)

        def lost(failure: Failure) -> None:
            _log_failure("partition_lost", partition, epoch, failure)
            self.refresh(partition)

        def surplus(present: Sequence[CopyId]) -> CopyId | None:
            return placement.surplus_copy(tuple(self._parts.members().values()), present)

        return CopySet(change, replacement, surplus, lost)

    def _replacement(self, partition: int, present: Sequence[CopyId]) -> Peer | None:
        members = tuple(self._parts.members().values())
        if len(placement.staying(members, present)) >= placement.WANTED_COPIES:
            return None
        member = placement.next_copy(partition, self._self().region, members, present)
        if member is None:
            return None
        return self._parts.links.peer(CopyId(member.host, member.folder))

    def _update(
        self,
        partition: int,
        epoch: int,
        change: Callable[[PartitionRecord], PartitionRecord],
    ) -> Result[Located, Failure]:
        updated = table.update(self._parts.kv, partition, epoch, change)
        if isinstance(updated, Success):
            self.table.put(partition, updated.unwrap())
        return updated

    def _send(self, copy: CopyId, req: copy_state.Request) -> bool:
        return isinstance(self._parts.links.peer(copy).send(req).result(), Success)


def _partition_of(action: keeper.Action) -> int:
    if isinstance(action, keeper.Create | keeper.GiveUp):
        return action.partition
    return action.record.partition


def _is_there(copy: CopyId, members: Mapping[str, Member]) -> bool:
    member = members.get(copy.host)
    return member is not None and member.folder == copy.folder


def _id(member: Member) -> OwnerId:
    return OwnerId(member.host, member.incarnation)


def _change_id() -> int:
    return secrets.randbits(_CHANGE_BITS)


def _log_failure(event: str, partition: int, epoch: int, failure: Failure) -> None:
    logger("ownership").warning(
        event,
        partition=partition,
        epoch=epoch,
        code=failure.code.value,
        step=failure.step,
        peer=failure.peer,
        detail=failure.detail,
    )
