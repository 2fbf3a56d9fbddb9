"""Makes room in an engine's memory before a call starts, and brings its prefix back."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from endiveworks.cache.eviction import Action, Idle, Speed, expected_return_s, make_room
from endiveworks.cache.pauses import Pauses, add
from endiveworks.engines.memory import Cached, EngineMemory
from endiveworks.telemetry.logs import logger
from returns.result import Success

_MAX_PROGRAMS = 65_536


class _Starting(NamedTuple):
    """A call that is about to start: its program, and the memory it is expected to take."""

    program: str
    need_tokens: int


class PrefixEviction:
    """What is known of the programs that use one engine.

    Args:
        memory: Access to the engine's memory.
        memory_tokens: Returns the size of that memory; 0 while it is not known.
        speed: Speed of computing and moving prefixes.
    """

    def __init__(
        self, memory: EngineMemory, memory_tokens: Callable[[], int], speed: Speed
    ) -> None:
        self._memory = memory
        self._memory_tokens = memory_tokens
        self._speed = speed
        self._lock = threading.Lock()
        self._pauses = Pauses()
        self._paused_s: dict[str, float] = {}
        self._running: dict[str, int] = {}

    def begin(self, program: str, need_tokens: int) -> None:
        """Makes room for a program's call and imports its prefix if it was exported."""
        starting = _Starting(program, need_tokens)
        with self._lock:
            self._note_return(program)
            cached = self._memory.cached()
            if isinstance(cached, Success) and self._memory_tokens() > 0:
                self._make_room(starting, cached.unwrap())
                if program in cached.unwrap()["exported"]:
                    self._memory.move_in(program)
            self._running[program] = need_tokens

    def end(self, program: str) -> None:
        """Notes that a program's call has ended and its pause begins."""
        with self._lock:
            self._running.pop(program, None)
            self._paused_s[program] = time.monotonic()
            if len(self._paused_s) > _MAX_PROGRAMS:
                self._paused_s.pop(next(iter(self._paused_s)))

    def _note_return(self, program: str) -> None:
        since_s = self._paused_s.pop(program, None)
        if since_s is not None:
            self._pauses = add(self._pauses, time.monotonic() - since_s)

    def _make_room(self, starting: _Starting, cached: Cached) -> None:
        prefixes = cached["prefixes"]
        taken = sum(self._running.values()) + sum(prefixes.values())
        free = self._memory_tokens() - taken
        need = starting.need_tokens - prefixes.get(starting.program, 0)
        now_s = time.monotonic()
        idle = [
            Idle(program, tokens, self._return_s(program, now_s))
            for program, tokens in prefixes.items()
            if program != starting.program and program not in self._running
        ]
        for move in make_room(idle, need - free, self._speed):
            exports = move.action is Action.EXPORT
            order = self._memory.move_out if exports else self._memory.release
            if isinstance(order(move.program), Success):
                logger("cache").info("prefix_moved", program=move.program, reason=move.action.value)

    def _return_s(self, program: str, now_s: float) -> float:
        since_s = self._paused_s.get(program)
        return expected_return_s(self._pauses, now_s - since_s if since_s is not None else 0.0)
