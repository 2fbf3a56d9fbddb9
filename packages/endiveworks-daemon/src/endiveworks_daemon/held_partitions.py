"""The partitions on which this host acts, and the epochs that it has used up."""

import threading
from typing import NamedTuple

from endiveworks.errors import Failure
from endiveworks.journal.replicated_log import OpenedReplicatedLog, open_replicated_log
from endiveworks.ownership.record import PartitionRecord
from endiveworks.programs.owner import Owner
from endiveworks.telemetry.logs import logger
from returns.result import Result, Success

from .copy_sets import CopySets, copy_set_of, log_failure


class Held(NamedTuple):
    """A partition on which this host acts, with its epoch and its open log."""

    epoch: int
    replica: OpenedReplicatedLog


class HeldPartitions:
    """Opens partitions and gives them up; an epoch is opened at most once.

    Args:
        owner: Programs of this host.
        sets: The sets of copies and what changes them.
    """

    def __init__(self, owner: Owner, sets: CopySets) -> None:
        self._owner = owner
        self._sets = sets
        self._lock = threading.Lock()
        self._held: dict[int, Held] = {}
        self._spent: dict[int, int] = {}

    def all(self) -> dict[int, Held]:
        """Returns the partitions by number."""
        with self._lock:
            return dict(self._held)

    def spent(self) -> dict[int, int]:
        """Returns the last epoch that was opened or tried, by partition."""
        with self._lock:
            return dict(self._spent)

    def open(self, record: PartitionRecord) -> bool | None:
        """Opens a partition at the epoch of a record; returns whether this host acts on it then.

        None if the epoch has been used up before: a second opening could miss what was appended
        after the first.
        """
        partition, epoch = record.partition, record.epoch
        with self._lock:
            if self._spent.get(partition, 0) >= epoch:
                return None
            self._spent[partition] = epoch
        peers = [self._sets.links.peer(copy) for copy in record.copies]
        copy_set = copy_set_of(self._sets, partition, epoch)
        opened = open_replicated_log(partition, epoch, peers, copy_set)
        adopted = opened.bind(lambda replica: self._adopt(partition, Held(epoch, replica)))
        if not isinstance(adopted, Success):
            log_failure("partition_not_opened", partition, epoch, adopted.failure())
            return False
        logger("ownership").info("partition_opened", partition=partition, epoch=epoch)
        return True

    def give_up(self, partition: int) -> None:
        """Stops acting on a partition."""
        with self._lock:
            self._held.pop(partition, None)
        self._owner.remove_partition(partition)

    def give_up_lost(self) -> None:
        """Stops acting on partitions whose log takes no more records."""
        for partition, held in self.all().items():
            if held.replica.is_closed():
                self.give_up(partition)

    def _adopt(self, partition: int, held: Held) -> Result[None, Failure]:
        adopted = self._owner.add_partition(partition, held.epoch, held.replica.opened)
        if isinstance(adopted, Success):
            with self._lock:
                self._held[partition] = held
            held.replica.start_repair()
        else:
            held.replica.opened.log.close()
        return adopted
