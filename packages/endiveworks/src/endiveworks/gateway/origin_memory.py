"""What a disk process keeps in memory of where streams began, and since when it is complete.

A process that was started again, or whose disk has just joined those in use, has missed what the
others were told before. It says so in its replies, so that it isn't taken for one that knows that
there was nothing.
"""

import math
from collections import OrderedDict

from ..turns.view import View, all_disks, disks_to_sync
from .stream_origins import RETENTION_S, HolderReply, StreamStart

# Requests whose starts one process keeps at most; the oldest are dropped.
MAX_REQUESTS = 20_000
MAX_STARTS = 24_000  # Starts of all requests; the oldest requests are dropped.
# Attempts of one request that are kept; a reply with all of them fits in a datagram.
MAX_ATTEMPTS = 6
FIRST_EPOCH = 1  # Epoch of the first view of a deployment.


class _Request:
    """The starts of one request's streams, and when each was told."""

    def __init__(self) -> None:
        self.told: dict[str, tuple[StreamStart, float]] = {}
        self.is_partial = False
        self.told_s = 0.0


class OriginMemory:
    """Starts of streams in the memory of a disk process.

    Args:
        folder: Id of the disk's data folder.
        is_new: Whether the folder was made by this process, so that no other held anything for it.
        now_s: Current time.
    """

    def __init__(self, folder: str, is_new: bool, now_s: float) -> None:
        self._folder = folder
        # Nothing is missing that was told from this time on; None outside of the view.
        self._complete_since_s: float | None = None
        self._started_s = now_s
        self._is_new = is_new
        self._is_joining = False
        self._epoch = 0
        self._requests: OrderedDict[bytes, _Request] = OrderedDict()
        self._starts = 0

    def __len__(self) -> int:
        """Returns the number of requests."""
        return len(self._requests)

    @property
    def epoch(self) -> int:
        """Epoch of the newest view that is known; 0 before the first."""
        return self._epoch

    def adopt(self, view: View | None, now_s: float) -> None:
        """Takes over a newer view of the disks in use."""
        if view is None or view.epoch <= self._epoch:
            return
        is_first_seen, self._epoch = self._epoch == 0, view.epoch
        if all(disk.folder != self._folder for disk in all_disks(view)):
            self._complete_since_s, self._is_joining = None, True
            return
        if view.incoming:
            self._is_joining |= any(disk.folder == self._folder for disk in disks_to_sync(view))
        elif self._is_joining:
            # What was told under earlier views may be at other disks only.
            self._complete_since_s, self._is_joining = now_s, False
        if self._complete_since_s is None and not self._is_joining:
            self._complete_since_s = self._first_complete_s(view, now_s) if is_first_seen else now_s

    def _first_complete_s(self, view: View, now_s: float) -> float:
        if not self._is_new:
            return self._started_s
        return -math.inf if view.epoch == FIRST_EPOCH else now_s

    def keep(self, key: bytes, start: StreamStart, now_s: float) -> None:
        """Keeps what an entry tells of a stream.

        Args:
            key: Key of the request.
            start: The start.
            now_s: Current time.
        """
        self._expire(now_s)
        request = self._requests.pop(key, None) or _Request()
        self._requests[key] = request
        request.told_s = now_s
        told = request.told.get(start.attempt)
        if told is not None and told[0].number > start.number:
            return
        self._starts -= len(request.told)
        request.told[start.attempt] = (start, now_s)
        if len(request.told) > MAX_ATTEMPTS:
            self._drop_expired_attempts(request, now_s)
        if len(request.told) > MAX_ATTEMPTS:
            del request.told[start.attempt]
            request.is_partial = True
        self._starts += len(request.told)
        while len(self._requests) > MAX_REQUESTS or self._starts > MAX_STARTS:
            self._drop_oldest()

    def reply(self, key: bytes, now_s: float) -> HolderReply:
        """Returns what is known of a request's streams."""
        request = self._requests.get(key)
        starts: tuple[StreamStart, ...] = ()
        if request is not None:
            starts = tuple(
                start._replace(age_s=now_s - told_s)
                for start, told_s in request.told.values()
                if now_s - told_s <= RETENTION_S
            )
        is_partial = request is not None and request.is_partial
        return HolderReply(starts, self._held_s(now_s), is_partial)

    def _held_s(self, now_s: float) -> float:
        if self._complete_since_s is None:
            return 0.0
        return min(now_s - self._complete_since_s, RETENTION_S)

    def _drop_expired_attempts(self, request: _Request, now_s: float) -> None:
        for attempt, (_, told_s) in list(request.told.items()):
            if now_s - told_s > RETENTION_S:
                del request.told[attempt]

    def _drop_oldest(self) -> None:
        """Drops a request that isn't expired, after which older ones count as missing."""
        _, dropped = self._requests.popitem(last=False)
        self._starts -= len(dropped.told)
        if self._complete_since_s is not None:
            self._complete_since_s = max(self._complete_since_s, dropped.told_s)

    def _expire(self, now_s: float) -> None:
        while self._requests:
            if now_s - next(iter(self._requests.values())).told_s <= RETENTION_S:
                return
            _, expired = self._requests.popitem(last=False)
            self._starts -= len(expired.told)
