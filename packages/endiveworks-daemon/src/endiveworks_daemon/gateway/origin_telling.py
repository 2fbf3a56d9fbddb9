"""Tells the disks in use where the streams of this entry begin, until enough of them know it."""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable

from endiveworks.gateway.stream_origins import (
    REFRESH_S,
    RETENTION_S,
    StreamOrigin,
    StreamStart,
)
from endiveworks.turns.view import Disk, View, all_disks, is_write_quorum

from ..origin_datagrams import TELL, Datagram

# A datagram without a reply is sent again after this time; longer than a round trip between
# regions.
RESEND_S = 0.06
MAX_RESEND_S = 0.25  # Upper bound of that time, which doubles each time, while an event waits.
# The same if nothing waits. Tellings add up while a link is full, and must not fill it further.
MAX_IDLE_RESEND_S = 4.0
# If nothing that is told is confirmed for this time, the disks aren't reached on any path: several
# relays have been tried, and disks that were only started again are back.
STALLED_AFTER_S = 2.0
MAX_OWN_STARTS = 5_000  # Starts that an entry keeps of its own streams; the oldest are dropped.


class _Telling:
    """What is being told of an attempt.

    Attributes:
        key: Key of its request.
        start: The start.
        told_s: Monotonic time since which it is told.
        held_by: Folders of the disks that have confirmed it.
        held: Set once a write quorum has.
        task: Sends it until then.
        waiting: Number of tasks that wait for that.
        resend_s: Time until it is sent again.
    """

    def __init__(self, key: bytes, start: StreamStart) -> None:
        self.key = key
        self.start = start
        self.told_s = time.monotonic()
        self.held_by: set[str] = set()
        self.held = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.waiting = 0
        self.resend_s = RESEND_S


class OriginTelling:
    """The starts of this entry's streams, by attempt, those told longest ago first.

    Args:
        send: Sends a datagram to a disk process.
        view: Returns the newest known view.
    """

    def __init__(
        self, send: Callable[[Datagram, Disk], None], view: Callable[[], View | None]
    ) -> None:
        self._send = send
        self._view = view
        self._by_attempt: OrderedDict[str, _Telling] = OrderedDict()
        self._by_number: dict[int, _Telling] = {}
        self._last_number = 0
        # When the first start was told after the last one that was confirmed; None for none.
        self._unconfirmed_since_s: float | None = None

    def close(self) -> None:
        """Tells no more."""
        for telling in self._by_attempt.values():
            if telling.task is not None:
                telling.task.cancel()

    def tell(self, attempt: str, key: bytes, origin: StreamOrigin | None, has_events: bool) -> None:
        """Tells where the events of an attempt come from, unless that was told lately.

        Args:
            attempt: Name of the attempt.
            key: Key of its request.
            origin: The origin; None if the attempt ended without an event.
            has_events: Whether an event was sent to the caller.
        """
        telling = self._by_attempt.get(attempt)
        is_same = telling is not None and (origin, has_events) == (
            telling.start.origin,
            telling.start.has_events,
        )
        if telling is None and origin is None:
            return
        if telling is not None and is_same and time.monotonic() - telling.told_s < REFRESH_S:
            return
        number = (telling.start.number if telling else 0) + (not is_same)
        self._forget(attempt)
        telling = _Telling(key, StreamStart(attempt, number, origin, has_events=has_events))
        self._by_attempt[attempt] = telling
        if self._unconfirmed_since_s is None:
            self._unconfirmed_since_s = telling.told_s
        self._drop_old(telling.told_s)
        self._start(telling)

    async def wait_until_held(self, attempt: str, timeout_s: float | None = None) -> bool:
        """Waits until a write quorum of the disks knows what was told last of an attempt.

        Returns:
            Whether it does within the time, or nothing is told of the attempt.
        """
        telling = self._by_attempt.get(attempt)
        if telling is None or telling.held.is_set():
            return True
        telling.waiting += 1
        if telling.resend_s > MAX_RESEND_S:
            self._start(telling)
        try:
            return await wait_for_event(telling.held, timeout_s)
        finally:
            telling.waiting -= 1

    def is_awaited(self, number: int) -> bool:
        """Returns whether an event waits for the confirmation of a datagram with a number."""
        telling = self._by_number.get(number)
        return telling is not None and telling.waiting > 0

    def accept(self, datagram: Datagram) -> None:
        """Handles the confirmation of a disk process."""
        telling, view = self._by_number.get(datagram.number), self._view()
        if telling is None or view is None or datagram.epoch != view.epoch:
            return  # After a change of the disks in use, quorums of the two sets may not meet.
        telling.held_by.add(datagram.folder)
        if is_write_quorum(view, telling.held_by):
            telling.held.set()
            self._unconfirmed_since_s = None

    def on_view(self) -> None:
        """Takes note of a newer view, in which all that isn't confirmed yet is told again."""
        for telling in self._by_number.values():
            telling.held_by.clear()
        if self._unconfirmed_since_s is not None:
            self._unconfirmed_since_s = time.monotonic()

    def is_stalled(self) -> bool:
        """Returns whether the disks confirm nothing that is told."""
        since_s = self._unconfirmed_since_s
        if since_s is None or not self._by_number:
            return False
        return time.monotonic() - since_s > STALLED_AFTER_S

    def own(self, attempt: str, key: bytes) -> StreamStart | None:
        """Returns the start of an attempt that this entry served; None if it served none."""
        telling = self._by_attempt.get(attempt)
        return telling.start if telling is not None and telling.key == key else None

    def known(self, key: bytes) -> list[StreamStart]:
        """Returns the starts of a request's streams at this entry."""
        now_s = time.monotonic()
        return [
            telling.start._replace(age_s=now_s - telling.told_s)
            for telling in self._by_attempt.values()
            if telling.key == key and now_s - telling.told_s <= RETENTION_S
        ]

    def _start(self, telling: _Telling) -> None:
        """Starts to send what is told, or starts again from the shortest pause."""
        if telling.task is not None:
            telling.task.cancel()
        telling.resend_s = RESEND_S
        telling.task = asyncio.create_task(self._send_until_held(telling))

    async def _send_until_held(self, telling: _Telling) -> None:
        self._last_number += 1
        number = self._last_number
        self._by_number[number] = telling
        try:
            while time.monotonic() - telling.told_s <= RETENTION_S:
                view = self._view()
                for disk in all_disks(view) if view else ():
                    if view and disk.folder not in telling.held_by:
                        datagram = Datagram(TELL, number, view.epoch, telling.key, (telling.start,))
                        self._send(datagram, disk)
                if await wait_for_event(telling.held, telling.resend_s):
                    return
                longest_s = MAX_RESEND_S if telling.waiting else MAX_IDLE_RESEND_S
                telling.resend_s = min(2 * telling.resend_s, longest_s)
        finally:
            del self._by_number[number]

    def _forget(self, attempt: str) -> None:
        telling = self._by_attempt.pop(attempt, None)
        if telling is not None and telling.task is not None:
            telling.task.cancel()

    def _drop_old(self, now_s: float) -> None:
        while self._by_attempt:
            attempt, oldest = next(iter(self._by_attempt.items()))
            is_old = now_s - oldest.told_s > RETENTION_S
            if len(self._by_attempt) <= MAX_OWN_STARTS and not is_old:
                return
            self._forget(attempt)


async def wait_for_event(event: asyncio.Event, timeout_s: float | None) -> bool:
    """Waits until an event is set and returns whether it was in time; None is no limit."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
