"""Prefixes around one engine in a replay: pauses of their programs, room, export and import."""

from collections.abc import Callable
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from ..cache import eviction, pauses
from .engine import Cached, Engine, Sequence

TRANSFER_TOKENS_PER_S = 60_000.0
HOST_STORE_SHARE = 4


class Paused(NamedTuple):
    """A program in a tool pause, and what is known of the tool."""

    since_s: float
    tool: pauses.PauseHistogram


class Prefixes:
    """What is known of the programs that use an engine, and the prefixes its host stores.

    Args:
        engine: The engine.
        exports: Whether prefixes that leave are exported; else they are dropped.
        now_s: Returns the time.
    """

    def __init__(self, engine: Engine, exports: bool, now_s: Callable[[], float]) -> None:
        self.engine = engine
        self.exports = exports
        self.now_s = now_s
        self.paused: dict[str, Paused] = {}
        self.exported: dict[str, Cached] = {}
        self.exported_tokens = 0
        self.moved_tokens = 0

    def pause(self, salt: str, tool: pauses.PauseHistogram) -> None:
        """Notes that a program waits for a tool."""
        self.paused[salt] = Paused(self.now_s(), tool)

    def resume(self, salt: str) -> None:
        """Notes that a program's pause is over."""
        self.paused.pop(salt, None)

    def release(self, salt: str) -> None:
        """Frees what is held for a program."""
        self.paused.pop(salt, None)
        self._forget_exported(salt)
        self.engine.release(salt)

    def make_room(self, seq: Sequence, reserved_tokens: int, started: AbstractSet[str]) -> None:
        """Moves out prefixes until a request fits beside what is reserved.

        Args:
            seq: The request.
            reserved_tokens: Memory that started requests take, which covers their prefixes.
            started: Programs of these requests, also where the engine has not taken them up yet.
        """
        engine = self.engine
        cached = engine.cache.get(seq.salt)
        need = seq.reserved_tokens - (cached.tokens if cached else 0)
        idle = [self._idle(salt) for salt in engine.cache if salt not in started | {seq.salt}]
        taken = reserved_tokens + sum(prefix.tokens for prefix in idle)
        taken += cached.tokens if cached else 0
        free = engine.rates.memory_tokens - taken
        if need <= free:
            return
        speed = eviction.TokenRates(engine.rates.prefill_tokens_per_s, TRANSFER_TOKENS_PER_S)
        for move in eviction.choose_evictions(idle, need - free, speed):
            found = engine.cache[move.program]
            if move.action is eviction.Action.EXPORT and self.exports:
                self._export(move.program, found)
            engine.release(move.program)

    def bring_back(self, salt: str) -> None:
        """Imports a program's prefix if it was exported."""
        found = self._forget_exported(salt)
        if found is None:
            return
        self.moved_tokens += found.tokens
        self.engine.store(salt, found)

    def _idle(self, salt: str) -> eviction.IdlePrefix:
        # A program without a pause has its next call in the queue.
        paused = self.paused.get(salt)
        return_s = 0.0
        if paused is not None:
            return_s = eviction.expected_return_s(paused.tool, self.now_s() - paused.since_s)
        return eviction.IdlePrefix(salt, self.engine.cache[salt].tokens, return_s)

    def _forget_exported(self, salt: str) -> Cached | None:
        found = self.exported.pop(salt, None)
        if found is not None:
            self.exported_tokens -= found.tokens
        return found

    def _export(self, salt: str, found: Cached) -> None:
        self._forget_exported(salt)
        self.exported[salt] = found
        self.exported_tokens += found.tokens
        self.moved_tokens += found.tokens
        while self.exported_tokens > HOST_STORE_SHARE * self.engine.rates.memory_tokens:
            self._forget_exported(next(iter(self.exported)))
