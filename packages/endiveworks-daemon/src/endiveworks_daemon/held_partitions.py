"""The partitions that this host has open, and the last epoch of each attempted open."""

import threading
from typing import NamedTuple

from endiveworks.errors import Failure
from endiveworks.journal.replicated_log import OpenedReplicatedLog, open_replicated_log
from endiveworks.ownership.record import PartitionRecord
from endiveworks.programs.owner import Owner
from endiveworks.telemetry.logs import logger
from returns.result import Result, Success

from .copy_sets import CopySetContext, log_failure, make_copy_set


class HeldPartition(NamedTuple):
    """An open partition, with its epoch and its log."""

    epoch: int
    replicated_log: OpenedReplicatedLog


class HeldPartitions:
    """Opens and releases partitions; opens each epoch of a partition at most once.

    Args:
        owner: Programs of this host.
        ctx: Dependencies for changes of copy sets.
    """

    def __init__(self, owner: Owner, ctx: CopySetContext) -> None:
        self._owner = owner
        self._ctx = ctx
        self._lock = threading.Lock()
        self._held: dict[int, HeldPartition] = {}
        self._opened_epochs: dict[int, int] = {}

    def all(self) -> dict[int, HeldPartition]:
        """Returns the open partitions by number."""
        with self._lock:
            return dict(self._held)

    def opened_epochs(self) -> dict[int, int]:
        """Returns the last epoch at which an open was attempted, by partition."""
        with self._lock:
            return dict(self._opened_epochs)

    def open(self, record: PartitionRecord) -> bool | None:
        """Opens a partition at the epoch of a record; returns whether that succeeded.

        Returns None if that epoch was attempted before: a second open could miss records that
        were appended after the first.
        """
        partition, epoch = record.partition, record.epoch
        with self._lock:
            if self._opened_epochs.get(partition, 0) >= epoch:
                return None
            self._opened_epochs[partition] = epoch
        peers = [self._ctx.links.peer(copy) for copy in record.copies]
        copy_set = make_copy_set(self._ctx, partition, epoch)
        opened = open_replicated_log(partition, epoch, peers, copy_set)
        activated = opened.bind(
            lambda replicated_log: self._activate(partition, HeldPartition(epoch, replicated_log))
        )
        if not isinstance(activated, Success):
            log_failure("partition_not_opened", partition, epoch, activated.failure())
            return False
        logger("ownership").info("partition_opened", partition=partition, epoch=epoch)
        return True

    def release(self, partition: int) -> None:
        """Closes a partition on this host."""
        with self._lock:
            self._held.pop(partition, None)
        self._owner.remove_partition(partition)

    def release_closed(self) -> None:
        """Releases partitions whose log accepts no more records."""
        for partition, held in self.all().items():
            if held.replicated_log.is_closed():
                self.release(partition)

    def _activate(self, partition: int, held: HeldPartition) -> Result[None, Failure]:
        activated = self._owner.add_partition(partition, held.epoch, held.replicated_log.opened)
        if isinstance(activated, Success):
            with self._lock:
                self._held[partition] = held
            held.replicated_log.start_repair()
        else:
            held.replicated_log.opened.log.close()
        return activated
