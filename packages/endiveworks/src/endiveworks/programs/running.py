"""Calls under way on this host, each with a thread and the stream of its answer."""

import threading
import time
from collections import deque
from collections.abc import Callable

from ..calls.stream import Ending, Stream
from ..errors import Code, Failure
from ..telemetry.logs import logger
from .attempt import PROBLEM
from .dispatch import run_call
from .plan import Context
from .records import Call

_LINGER_S = 30.0
_Key = tuple[str, int]

# Returns what a call runs with, given the function that tells whether it has been cancelled.
MakeContext = Callable[[Callable[[], bool]], Context]


class RunningCalls:
    """Runs calls and keeps their streams for a while after their end."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._streams: dict[_Key, Stream] = {}
        self._cancels: dict[_Key, threading.Event] = {}
        self._unstored: set[tuple[_Key, int]] = set()
        self._retired: deque[tuple[float, _Key, Stream]] = deque()

    def run(self, call: Call, make_context: MakeContext) -> None:
        """Runs a call to its end on a thread of its own."""
        key = (call.started.program, call.started.call)
        stream = Stream()
        cancelled = threading.Event()
        with self._lock:
            self._streams[key] = stream
            self._cancels[key] = cancelled

        def work() -> None:
            ctx = make_context(cancelled.is_set)
            is_stored = lasts = False
            try:
                is_stored = lasts = run_call(ctx, call, stream)
            except Exception as exc:  # A defect; the call still has to be brought to its end.
                _log_failure(call, exc)
                failure = Failure(Code.INTERNAL, "programs.run", "", "the call failed here")
                stream.finish(Ending(500, PROBLEM, failure=failure))
                lasts = True
            if not is_stored:
                with self._lock:
                    self._unstored.add((key, ctx.epoch))
            self._retire(key, stream, cancelled, lasts)

        threading.Thread(target=work, name=f"run-{key[0]}-{key[1]}", daemon=True).start()

    def take_unstored(self, program: str, number: int, epoch: int) -> bool:
        """Returns whether a call's thread ended in an epoch without storing the call's end.

        True once for each such thread, so that one other thread takes its place.
        """
        ended = ((program, number), epoch)
        with self._lock:
            known = ended in self._unstored
            self._unstored.discard(ended)
            return known

    def find(self, program: str, number: int) -> Stream | None:
        """Returns the stream of a call that runs or ended a short time ago."""
        with self._lock:
            return self._streams.get((program, number))

    def cancel(self, program: str) -> None:
        """Cancels a program's call under way, if any."""
        with self._lock:
            found = [event for key, event in self._cancels.items() if key[0] == program]
        for cancelled in found:
            cancelled.set()

    def count(self) -> int:
        """Returns the number of calls under way."""
        with self._lock:
            return len(self._cancels)

    def _retire(self, key: _Key, stream: Stream, cancelled: threading.Event, lasts: bool) -> None:
        """Keeps a finished stream for readers under way if it lasts, and drops older ones."""
        now = time.monotonic()
        with self._lock:
            if self._cancels.get(key) is cancelled:
                del self._cancels[key]
            if not lasts:
                self._drop(key, stream)
                return
            self._retired.append((now, key, stream))
            while self._retired[0][0] < now - _LINGER_S:
                _, old_key, old = self._retired.popleft()
                self._drop(old_key, old)

    def _drop(self, key: _Key, stream: Stream) -> None:
        if self._streams.get(key) is stream:
            del self._streams[key]


def _log_failure(call: Call, exc: Exception) -> None:
    started = call.started
    logger("programs").error(
        "call_failed",
        program=started.program,
        call=started.call,
        exc_info=exc,
    )
