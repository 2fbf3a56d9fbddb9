"""Cached prefixes of one simulated engine: program pauses, eviction, export and import."""

from collections.abc import Callable
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from ..cache import eviction, pauses
from .engine import CacheEntry, Engine, Sequence

TRANSFER_TOKENS_PER_S = 60_000.0
HOST_STORE_FACTOR = 4


class ToolPause(NamedTuple):
    """A program paused for a tool, with the distribution of the tool's pauses."""

    started_s: float
    tool: pauses.PauseHistogram


class PrefixManager:
    """Paused programs of an engine, and the prefixes exported to its host's memory.

    Args:
        engine: The engine.
        export_enabled: Whether evicted prefixes are exported; otherwise they are dropped.
        now_s: Returns the simulated time, in seconds.
    """

    def __init__(self, engine: Engine, export_enabled: bool, now_s: Callable[[], float]) -> None:
        self.engine = engine
        self.export_enabled = export_enabled
        self.now_s = now_s
        self.paused: dict[str, ToolPause] = {}
        self.exported: dict[str, CacheEntry] = {}
        self.exported_tokens = 0
        self.moved_tokens = 0

    def pause(self, salt: str, tool: pauses.PauseHistogram) -> None:
        """Records that a program waits for a tool."""
        self.paused[salt] = ToolPause(self.now_s(), tool)

    def resume(self, salt: str) -> None:
        """Records that a program's pause is over."""
        self.paused.pop(salt, None)

    def release(self, salt: str) -> None:
        """Drops the cached and exported prefixes of a program."""
        self.paused.pop(salt, None)
        self._drop_exported(salt)
        self.engine.release(salt)

    def make_room(self, seq: Sequence, reserved_tokens: int, started: AbstractSet[str]) -> None:
        """Evicts idle prefixes until a request fits in the unreserved memory.

        Args:
            seq: The request.
            reserved_tokens: Memory reserved by started requests, including their prefixes.
            started: Programs of these requests, including those the engine has not admitted yet.
        """
        engine = self.engine
        cached = engine.cache.get(seq.salt)
        needed_tokens = seq.reserved_tokens - (cached.tokens if cached else 0)
        idle = [self._idle(salt) for salt in engine.cache if salt not in started | {seq.salt}]
        used_tokens = reserved_tokens + sum(idle_prefix.tokens for idle_prefix in idle)
        used_tokens += cached.tokens if cached else 0
        free_tokens = engine.rates.memory_tokens - used_tokens
        if needed_tokens <= free_tokens:
            return
        rates = eviction.TokenRates(engine.rates.prefill_tokens_per_s, TRANSFER_TOKENS_PER_S)
        for choice in eviction.choose_evictions(idle, needed_tokens - free_tokens, rates):
            prefix = engine.cache[choice.program]
            if choice.action is eviction.Action.EXPORT and self.export_enabled:
                self._export(choice.program, prefix)
            engine.release(choice.program)

    def import_prefix(self, salt: str) -> None:
        """Imports a program's prefix if it was exported."""
        prefix = self._drop_exported(salt)
        if prefix is None:
            return
        self.moved_tokens += prefix.tokens
        self.engine.store(salt, prefix)

    def _idle(self, salt: str) -> eviction.IdlePrefix:
        # A program that is not paused already has its next call in the queue.
        paused = self.paused.get(salt)
        return_s = 0.0
        if paused is not None:
            return_s = eviction.expected_return_s(paused.tool, self.now_s() - paused.started_s)
        return eviction.IdlePrefix(salt, self.engine.cache[salt].tokens, return_s)

    def _drop_exported(self, salt: str) -> CacheEntry | None:
        prefix = self.exported.pop(salt, None)
        if prefix is not None:
            self.exported_tokens -= prefix.tokens
        return prefix

    def _export(self, salt: str, prefix: CacheEntry) -> None:
        self._drop_exported(salt)
        self.exported[salt] = prefix
        self.exported_tokens += prefix.tokens
        self.moved_tokens += prefix.tokens
        while self.exported_tokens > HOST_STORE_FACTOR * self.engine.rates.memory_tokens:
            self._drop_exported(next(iter(self.exported)))
