"""Replies to pending long polls of all peers on one thread, several times per engine step."""

import threading
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Failure
from ..telemetry.logs import logger
from .poll_client import ClosedStream, PollResponse
from .stream import Stream

# Engines emit the tokens of a batch together. Delaying bytes by one to two ticks lets one message
# carry many tokens, and one wake-up send the messages of many peers.
TICK_S = 0.005
_MAX_IDLE_S = 1.0


class _PendingPoll(NamedTuple):
    """A poll that waits for bytes, with the requested offset in each stream."""

    streams: Sequence[Stream]
    offsets: Sequence[int]
    due_at: float
    reply: Callable[[PollResponse], None]

    def is_ready(self) -> bool:
        """Returns whether any of the streams has new bytes or has ended."""
        return any(map(Stream.is_readable, self.streams, self.offsets))


class PollServer:
    """Replies to polls once a stream has new bytes or has ended, or once their wait is over.

    A thread per pending poll would wake up three times per message: for the request, for the new
    bytes and after the batching delay.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pending: list[_PendingPoll] = []
        # Polls that were ready at the last tick; accessed by the thread only.
        self._ready: list[_PendingPoll] = []
        self._wakeup = threading.Event()
        self._wake_at = 0.0
        threading.Thread(target=self._run, name="gather", daemon=True).start()

    def poll(
        self,
        found: Sequence[Result[Stream, Failure]],
        offsets: Sequence[int],
        wait_s: float,
        reply: Callable[[PollResponse], None],
    ) -> None:
        """Calls a function once any of the streams has new bytes or has ended.

        Args:
            found: The requested streams, or why one is not available.
            offsets: Requested offset in each stream.
            wait_s: Maximum seconds to wait.
            reply: Called once, on this thread or on the polling thread; must not block.
        """
        unavailable = [
            ClosedStream(position, Err(result.failure()))
            for position, result in enumerate(found)
            if not isinstance(result, Success)
        ]
        if unavailable:
            reply(PollResponse([], [], [], unavailable))
            return
        streams = [result.unwrap() for result in found]
        for stream in streams:
            stream.watch(self._wakeup)
        poll = _PendingPoll(streams, offsets, time.monotonic() + wait_s, reply)
        with self._lock:
            self._pending.append(poll)
            is_earliest = poll.due_at < self._wake_at
        # Bytes appended before the watch began did not set the event.
        if is_earliest or poll.is_ready():
            self._wakeup.set()

    def _run(self) -> None:
        has_ready = False
        while True:
            if not has_ready:
                self._wakeup.wait(self._wait_s())
            time.sleep(TICK_S)
            self._wakeup.clear()
            has_ready = self._tick(time.monotonic())

    def _wait_s(self) -> float:
        """Returns the seconds until the first pending poll reaches the end of its wait."""
        now = time.monotonic()
        with self._lock:
            due_at = min((poll.due_at for poll in self._pending), default=now + _MAX_IDLE_S)
            self._wake_at = due_at
        return max(0.0, due_at - now)

    def _tick(self, now: float) -> bool:
        """Replies to polls that were ready a tick ago; returns whether others are ready now."""
        for poll in self._ready:
            _reply(poll)
        with self._lock:
            polls, self._pending = self._pending, []
        waiting = []
        self._ready = []
        for poll in polls:
            if poll.is_ready():
                self._ready.append(poll)
            elif now >= poll.due_at:
                _reply(poll)
            else:
                waiting.append(poll)
        with self._lock:
            self._pending += waiting
        return bool(self._ready)


def _reply(poll: _PendingPoll) -> None:
    try:
        poll.reply(_collect(poll))
    except Exception as exc:  # One failed reply must not end the thread that replies to all.
        logger("calls").error("pull_failed", exc_info=exc)


def _collect(poll: _PendingPoll) -> PollResponse:
    response = PollResponse([], [], [], [])
    for position, (stream, offset) in enumerate(zip(poll.streams, poll.offsets, strict=True)):
        if not stream.is_readable(offset):
            continue
        chunk = stream.read_nowait(offset)
        if chunk.final_status is not None:
            response.closed.append(ClosedStream(position, Success(chunk)))
            continue
        response.positions.append(position)
        response.generations.append(chunk.generation)
        response.data.append(chunk.data)
    return response
