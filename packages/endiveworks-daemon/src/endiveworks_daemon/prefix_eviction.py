"""Makes room in an engine's memory before a call starts, and brings its prefix back."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from endiveworks.cache.eviction import Action, IdlePrefix, TokenRates, choose_evictions
from endiveworks.engines.memory import Cached, EngineMemory
from endiveworks.telemetry.logs import logger
from returns.result import Success

from .program_returns import ProgramReturns


class _Starting(NamedTuple):
    """A call that is about to start: its program, and the memory it is expected to take."""

    program: str
    need_tokens: int


class PrefixEviction:
    """The calls that run on one engine, and the room that is made for them.

    Args:
        memory: Access to the engine's memory.
        memory_tokens: Returns the size of that memory; 0 while it is not known.
        speed: Speed of computing and moving prefixes.
        returns: When programs are expected to need their prefixes.
    """

    def __init__(
        self,
        memory: EngineMemory,
        memory_tokens: Callable[[], int],
        speed: TokenRates,
        returns: ProgramReturns,
    ) -> None:
        self._memory = memory
        self._memory_tokens = memory_tokens
        self._speed = speed
        self._lock = threading.Lock()
        self._returns = returns
        self._running: dict[str, int] = {}

    def begin(self, program: str, need_tokens: int) -> None:
        """Makes room for a program's call and imports its prefix if it was exported."""
        starting = _Starting(program, need_tokens)
        with self._lock:
            cached = self._memory.cached()
            memory_tokens = self._memory_tokens() if isinstance(cached, Success) else 0
            if isinstance(cached, Success) and memory_tokens > 0:
                self._make_room(starting, cached.unwrap(), memory_tokens)
                if program in cached.unwrap()["exported"]:
                    self._memory.move_in(program)
            self._running[program] = need_tokens

    def end(self, program: str) -> None:
        """Notes that a program's call has ended."""
        with self._lock:
            self._running.pop(program, None)

    def _make_room(self, starting: _Starting, cached: Cached, memory_tokens: int) -> None:
        prefixes = cached["prefixes"]
        idle = [
            IdlePrefix(program, tokens, self._returns.return_s(program))
            for program, tokens in prefixes.items()
            if program != starting.program and program not in self._running
        ]
        # What a running call needs covers its prefix, also before the engine has taken it up.
        taken = sum(self._running.values()) + sum(prefix.tokens for prefix in idle)
        free = memory_tokens - taken
        need = starting.need_tokens
        for move in choose_evictions(idle, need - free, self._speed):
            exports = move.action is Action.EXPORT
            order = self._memory.move_out if exports else self._memory.release
            if isinstance(order(move.program), Success):
                logger("cache").info("prefix_moved", program=move.program, reason=move.action.value)
