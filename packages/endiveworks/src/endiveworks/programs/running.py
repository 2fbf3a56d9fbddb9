"""Running calls of this host, each with a thread and a response stream."""

import threading
import time
from collections import deque
from collections.abc import Callable

from ..calls.stream import FinalStatus, Stream
from ..errors import Code, Failure
from ..telemetry.logs import logger
from .attempt import PROBLEM_JSON
from .dispatch import run_call
from .plan import CallContext
from .records import Call

_FINISHED_RETENTION_S = 30.0
_Key = tuple[str, int]

# Returns the context of a call, given the function that returns whether it is cancelled.
MakeContext = Callable[[Callable[[], bool]], CallContext]


class RunningCalls:
    """Runs calls, and keeps their streams for _FINISHED_RETENTION_S after their end."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._streams: dict[_Key, Stream] = {}
        self._cancel_events: dict[_Key, threading.Event] = {}
        # Calls whose thread ended without storing the call's end, with the epoch of the thread.
        self._unstored: set[tuple[_Key, int]] = set()
        self._finished: deque[tuple[float, _Key, Stream]] = deque()

    def run(self, call: Call, make_context: MakeContext) -> None:
        """Runs a call to its end on a new thread."""
        key = (call.started.program, call.started.call)
        stream = Stream()
        cancelled = threading.Event()
        with self._lock:
            self._streams[key] = stream
            self._cancel_events[key] = cancelled

        def run_to_end() -> None:
            ctx = make_context(cancelled.is_set)
            is_stored = keep_stream = False
            try:
                is_stored = keep_stream = run_call(ctx, call, stream)
            except Exception as exc:  # A defect; the call still has to be completed.
                _log_failure(call, exc)
                failure = Failure(
                    Code.INTERNAL, "programs.run", "", "the call failed with an internal error"
                )
                stream.finish(FinalStatus(500, PROBLEM_JSON, failure=failure))
                keep_stream = True
            if not is_stored:
                with self._lock:
                    self._unstored.add((key, ctx.epoch))
            self._finish(key, stream, cancelled, keep_stream)

        threading.Thread(target=run_to_end, name=f"run-{key[0]}-{key[1]}", daemon=True).start()

    def pop_unstored(self, program: str, number: int, epoch: int) -> bool:
        """Returns whether a call's thread ended in an epoch without storing the call's end.

        Returns true once for each such thread, so that only one other thread replaces it.
        """
        thread_key = ((program, number), epoch)
        with self._lock:
            found = thread_key in self._unstored
            self._unstored.discard(thread_key)
            return found

    def find(self, program: str, number: int) -> Stream | None:
        """Returns the stream of a call that is running or ended recently."""
        with self._lock:
            return self._streams.get((program, number))

    def cancel(self, program: str) -> None:
        """Cancels a program's running call, if any."""
        with self._lock:
            found = [event for key, event in self._cancel_events.items() if key[0] == program]
        for cancelled in found:
            cancelled.set()

    def count(self) -> int:
        """Returns the number of running calls."""
        with self._lock:
            return len(self._cancel_events)

    def _finish(
        self, key: _Key, stream: Stream, cancelled: threading.Event, keep_stream: bool
    ) -> None:
        """Keeps a finished stream for current readers if keep_stream, and removes expired ones."""
        now = time.monotonic()
        with self._lock:
            if self._cancel_events.get(key) is cancelled:
                del self._cancel_events[key]
            if not keep_stream:
                self._remove_stream(key, stream)
                return
            self._finished.append((now, key, stream))
            while self._finished[0][0] < now - _FINISHED_RETENTION_S:
                _, old_key, old = self._finished.popleft()
                self._remove_stream(old_key, old)

    def _remove_stream(self, key: _Key, stream: Stream) -> None:
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
