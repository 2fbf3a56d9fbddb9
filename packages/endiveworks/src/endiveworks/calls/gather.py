"""Answers the waiting pulls of all peers on one thread, a few times for each step of an engine."""

import threading
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Failure
from ..telemetry.logs import logger
from .pull import News, Pulled
from .stream import Stream

# Engines emit the tokens of a batch together; news waits for one to two ticks, which lets one
# message carry many tokens, and one wake-up send the messages of many peers.
TICK_S = 0.005
_IDLE_S = 1.0


class _Pull(NamedTuple):
    """A pull that waits for news, with the number of bytes known of each stream."""

    streams: Sequence[Stream]
    offsets: Sequence[int]
    due_at: float
    reply: Callable[[News], None]

    def has_news(self) -> bool:
        """Tells whether any of the streams has news."""
        return any(map(Stream.has_news, self.streams, self.offsets))


class Gatherer:
    """Answers pulls once there is news, or after their wait without any.

    A thread for each waiting pull would be woken three times for each message: by the request, by
    the news and after gathering.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pulls: list[_Pull] = []
        # Pulls whose news was there at the last tick; used by the thread alone.
        self._noticed: list[_Pull] = []
        self._news = threading.Event()
        self._wakes_at = 0.0
        threading.Thread(target=self._work, name="gather", daemon=True).start()

    def ask(
        self,
        found: Sequence[Result[Stream, Failure]],
        offsets: Sequence[int],
        wait_s: float,
        reply: Callable[[News], None],
    ) -> None:
        """Has a function called with news on any of the streams.

        Args:
            found: The streams wanted, or why there is none.
            offsets: Number of bytes known of each.
            wait_s: Seconds to wait at most.
            reply: Called once, on this thread or on the one of all pulls; must not block.
        """
        missing = [
            Pulled(position, Err(outcome.failure()))
            for position, outcome in enumerate(found)
            if not isinstance(outcome, Success)
        ]
        if missing:
            reply(News([], [], [], missing))
            return
        streams = [outcome.unwrap() for outcome in found]
        for stream in streams:
            stream.watch(self._news)
        pull = _Pull(streams, offsets, time.monotonic() + wait_s, reply)
        with self._lock:
            self._pulls.append(pull)
            early = pull.due_at < self._wakes_at
        # What came before the watch began has set no event.
        if early or pull.has_news():
            self._news.set()

    def _work(self) -> None:
        noticed = False
        while True:
            if not noticed:
                self._news.wait(self._idle_s())
            time.sleep(TICK_S)
            self._news.clear()
            noticed = self._tick(time.monotonic())

    def _idle_s(self) -> float:
        """Returns the seconds until a pull must be answered without news."""
        now = time.monotonic()
        with self._lock:
            due_at = min((pull.due_at for pull in self._pulls), default=now + _IDLE_S)
            self._wakes_at = due_at
        return max(0.0, due_at - now)

    def _tick(self, now: float) -> bool:
        """Answers pulls whose news was there a tick ago; returns whether there is other news."""
        for pull in self._noticed:
            _answer(pull)
        with self._lock:
            pulls, self._pulls = self._pulls, []
        waiting = []
        self._noticed = []
        for pull in pulls:
            if pull.has_news():
                self._noticed.append(pull)
            elif now >= pull.due_at:
                _answer(pull)
            else:
                waiting.append(pull)
        with self._lock:
            self._pulls += waiting
        return bool(self._noticed)


def _answer(pull: _Pull) -> None:
    try:
        pull.reply(_collect(pull))
    except Exception as exc:  # A fault of one reply must not end the replies to all peers.
        logger("calls").error("pull_failed", exc_info=exc)


def _collect(pull: _Pull) -> News:
    news = News([], [], [], [])
    for position, (stream, offset) in enumerate(zip(pull.streams, pull.offsets, strict=True)):
        if not stream.has_news(offset):
            continue
        piece = stream.read_now(offset)
        if piece.ending is not None:
            news.others.append(Pulled(position, Success(piece)))
            continue
        news.positions.append(position)
        news.generations.append(piece.generation)
        news.data.append(piece.data)
    return news
