"""Keeps an engine's memory in step with the programs that still need it."""

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
from endiveworks.telemetry.logs import logger
from returns.result import Success

SWEEP_S = 1.0
LEASE_S = 30.0


class EngineKeeper:
    """Leases of the programs whose prefixes the engine beside this process caches.

    Memory of a program that is gone is free again after LEASE_S and two sweeps, whichever
    processes died with it: the leases lapse here, and a process that has restarted knows none, so
    all that the engine lists is released unless an owner renews it within the grace.

    Args:
        memory: Access to the engine's memory.
        is_engine: Returns whether the upstream is an engine; a plain service has no such memory.
    """

    def __init__(self, memory: EngineMemory, is_engine: Callable[[], bool]) -> None:
        self._memory = memory
        self._is_engine = is_engine
        self._lock = threading.Lock()
        self._holds = LeaseTable()
        self._memory_tokens = 0

    def start(self) -> None:
        """Starts sweeping in a daemon thread."""
        threading.Thread(target=self._run, name="engine-keeper", daemon=True).start()

    def memory_tokens(self) -> int:
        """Returns the engine's memory in tokens; 0 while it is not known."""
        return self._memory_tokens

    def read_memory_tokens(self) -> int:
        """Returns the same, and asks the engine if it is not known yet."""
        if not self._memory_tokens:
            self._read_load()
        return self._memory_tokens

    def renew(self, renewals: Iterable[Renewal]) -> None:
        """Extends the leases of programs."""
        with self._lock:
            self._holds = renew(self._holds, renewals)

    def touch(self, program: str, epoch: int) -> None:
        """Extends the lease of a program that has a call here."""
        self.renew([Renewal(program, epoch, time.monotonic() + LEASE_S)])

    def release(self, program: str, epoch: int) -> None:
        """Frees the memory of a program at its owner's word."""
        with self._lock:
            sweep = end_lease(self._holds, program, epoch)
            self._holds = sweep.table
        self._release(sweep)

    def sweep(self) -> None:
        """Compares the leases with the engine's list and frees what has none."""
        cached = self._memory.cached()
        if not isinstance(cached, Success):
            return
        with self._lock:
            listed = cached.unwrap()
            present = {*listed["prefixes"], *listed["exported"]}
            sweep = reconcile(self._holds, present, time.monotonic())
            self._holds = sweep.table
        self._release(sweep)

    def _release(self, sweep: LeaseUpdate) -> None:
        for program in sweep.to_release:
            # A release that fails is tried again: the next list still names the program.
            if isinstance(self._memory.release(program), Success):
                logger("cache").info("prefix_released", program=program)

    def _run(self) -> None:
        while True:
            if self._is_engine():
                self._read_load()
                self.sweep()
            time.sleep(SWEEP_S)

    def _read_load(self) -> None:
        load = self._memory.load()
        if isinstance(load, Success):
            self._memory_tokens = load.unwrap()["memory_tokens"]
