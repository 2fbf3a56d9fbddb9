"""Writes lines to a stream from a separate thread, so that a stuck reader blocks no caller."""

import queue
import threading
import time
from collections.abc import Callable
from typing import TextIO

MAX_WAITING_LINES = 10_000
_POLL_S = 0.01


class LineWriter:
    """Queues lines without blocking or failing; drops them while the queue is full.

    Args:
        stream: Open text stream.
        format_dropped: Returns the line that reports a number of dropped lines.
    """

    def __init__(self, stream: TextIO, format_dropped: Callable[[int], str]) -> None:
        self._stream = stream
        self._format_dropped = format_dropped
        self._lines: queue.Queue[str] = queue.Queue(MAX_WAITING_LINES)
        self._lock = threading.Lock()
        self._dropped = 0
        threading.Thread(target=self._run, name="logs", daemon=True).start()

    def write(self, line: str) -> None:
        """Queues a line, or drops it when the queue is full."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            with self._lock:
                self._dropped += 1

    def flush(self) -> None:
        """Does nothing: the thread flushes each line."""

    def drain(self, timeout_s: float) -> bool:
        """Waits until all queued lines are written; returns False on timeout."""
        deadline = time.monotonic() + timeout_s
        while self._lines.unfinished_tasks:
            if time.monotonic() > deadline:
                return False
            time.sleep(_POLL_S)
        return True

    def _run(self) -> None:
        while True:
            line = self._lines.get()
            with self._lock:
                dropped, self._dropped = self._dropped, 0
            try:
                if dropped:
                    self._stream.write(self._format_dropped(dropped))
                self._stream.write(line)
                self._stream.flush()
            except (OSError, ValueError):
                # The reader has closed the stream, and there is nowhere else to report it.
                pass
            finally:
                self._lines.task_done()
