"""Evicts cached prefixes from an engine's memory before a call, and imports the call's prefix."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from endiveworks.cache.eviction import Action, IdlePrefix, TokenRates, choose_evictions
from endiveworks.engines.memory import CachedPrefixes, EngineMemory
from endiveworks.telemetry.logs import logger
from returns.result import Success

from .return_estimator import ReturnEstimator


class _NewCall(NamedTuple):
    """A call that is about to start: its program, and the memory that it is expected to use."""

    program: str
    need_tokens: int


class PrefixEviction:
    """Tracks the calls that run on one engine, and evicts idle prefixes to make room for new calls.

    Args:
        memory: Access to the engine's memory.
        memory_tokens: Returns the size of that memory in tokens; 0 while it is unknown.
        rates: Rates at which prefixes are computed and transferred.
        return_estimator: Predicts when programs will need their prefixes again.
    """

    def __init__(
        self,
        memory: EngineMemory,
        memory_tokens: Callable[[], int],
        rates: TokenRates,
        return_estimator: ReturnEstimator,
    ) -> None:
        self._memory = memory
        self._memory_tokens = memory_tokens
        self._rates = rates
        self._lock = threading.Lock()
        self._return_estimator = return_estimator
        self._running: dict[str, int] = {}

    def start_call(self, program: str, need_tokens: int) -> None:
        """Evicts idle prefixes for a program's call, and imports its prefix if it was exported."""
        call = _NewCall(program, need_tokens)
        with self._lock:
            cached = self._memory.cached()
            memory_tokens = self._memory_tokens() if isinstance(cached, Success) else 0
            if isinstance(cached, Success) and memory_tokens > 0:
                self._evict_for(call, cached.unwrap(), memory_tokens)
                if program in cached.unwrap()["exported"]:
                    self._memory.import_prefix(program)
            self._running[program] = need_tokens

    def end_call(self, program: str) -> None:
        """Records that a program's call has ended."""
        with self._lock:
            self._running.pop(program, None)

    def _evict_for(self, call: _NewCall, cached: CachedPrefixes, memory_tokens: int) -> None:
        prefixes = cached["prefixes"]
        idle = [
            IdlePrefix(program, tokens, self._return_estimator.return_s(program))
            for program, tokens in prefixes.items()
            if program != call.program and program not in self._running
        ]
        # The need of a running call includes its prefix, even before the engine has loaded it.
        used_tokens = sum(self._running.values()) + sum(prefix.tokens for prefix in idle)
        free_tokens = memory_tokens - used_tokens
        need_tokens = call.need_tokens
        for eviction in choose_evictions(idle, need_tokens - free_tokens, self._rates):
            exports = eviction.action is Action.EXPORT
            evict = self._memory.export_prefix if exports else self._memory.release
            if isinstance(evict(eviction.program), Success):
                logger("cache").info(
                    "prefix_moved", program=eviction.program, reason=eviction.action.value
                )
