"""Leases on the prefixes that an engine caches; prefixes without a lease are released."""

import threading
import time
from collections.abc import Callable, Iterable

from endiveworks.cache.prefix_leases import (
    LeaseTable,
    LeaseUpdate,
    Renewal,
    end_lease,
    reconcile,
    renew,
)
from endiveworks.engines.memory import EngineMemory
from endiveworks.links.threads import start_forever
from endiveworks.telemetry.logs import logger
from returns.result import Success

RECONCILE_INTERVAL_S = 1.0
LEASE_S = 30.0


class PrefixLeaseManager:
    """Leases of the programs whose prefixes are cached by this process's engine.

    The memory of a program that no longer exists is released within LEASE_S plus two rounds of
    reconciliation, whichever processes failed with it: leases expire in this process, and after a
    restart it has none, so every prefix that the engine lists is released unless an owner renews
    its lease within the grace period.

    Args:
        memory: Access to the engine's memory.
        is_engine: Returns whether the upstream is an engine; a plain service caches no prefixes.
    """

    def __init__(self, memory: EngineMemory, is_engine: Callable[[], bool]) -> None:
        self._memory = memory
        self._is_engine = is_engine
        self._lock = threading.Lock()
        self._leases = LeaseTable()
        self._memory_tokens = 0

    def start(self) -> None:
        """Starts a daemon thread that releases prefixes without a lease."""
        start_forever("engine-keeper", self._run)

    def memory_tokens(self) -> int:
        """Returns the size of the engine's memory in tokens; 0 while it is unknown."""
        return self._memory_tokens

    def read_memory_tokens(self) -> int:
        """Returns the size of the engine's memory in tokens, read from the engine if unknown."""
        if not self._memory_tokens:
            self._update_memory_tokens()
        return self._memory_tokens

    def renew(self, renewals: Iterable[Renewal]) -> None:
        """Extends the leases of programs."""
        with self._lock:
            self._leases = renew(self._leases, renewals)

    def touch(self, program: str, epoch: int) -> None:
        """Extends the lease of a program that has a call in this process."""
        self.renew([Renewal(program, epoch, time.monotonic() + LEASE_S)])

    def release(self, program: str, epoch: int) -> None:
        """Ends the lease of a program at its owner's request, and releases its prefix."""
        with self._lock:
            update = end_lease(self._leases, program, epoch)
            self._leases = update.table
        self._release_prefixes(update)

    def release_unleased(self) -> None:
        """Compares the leases with the engine's list and releases the prefixes without one."""
        cached = self._memory.cached()
        if not isinstance(cached, Success):
            return
        with self._lock:
            listed = cached.unwrap()
            cached_programs = {*listed["prefixes"], *listed["exported"]}
            update = reconcile(self._leases, cached_programs, time.monotonic())
            self._leases = update.table
        self._release_prefixes(update)

    def _release_prefixes(self, update: LeaseUpdate) -> None:
        for program in update.to_release:
            # A failed release is retried: the engine's next list still contains the program.
            if isinstance(self._memory.release(program), Success):
                logger("cache").info("prefix_released", program=program)

    def _run(self) -> None:
        while True:
            if self._is_engine():
                self._update_memory_tokens()
                self.release_unleased()
            time.sleep(RECONCILE_INTERVAL_S)

    def _update_memory_tokens(self) -> None:
        load = self._memory.load()
        if isinstance(load, Success):
            self._memory_tokens = load.unwrap()["memory_tokens"]
