"""Failure detector for owners that stop replying before their lease expires."""

import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor

from endiveworks.members.member import Member
from endiveworks.ownership.record import OwnerId

GONE_AFTER_S = 3.0
_WORKERS = 4


class Suspects:
    """Processes that failed to reply, and since when.

    Taking over a partition from a process that is still alive is safe, because its appends are
    refused from then on; the only cost is the move. So a process counts as gone after a few seconds
    without a reply, and as live again with its first reply.

    Args:
        ping: Pings a process; returns whether it replied.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self, ping: Callable[[Member], bool], clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._ping = ping
        self._clock = clock
        self._lock = threading.Lock()
        self._failing_since_s: dict[OwnerId, float] = {}
        self._pinging: set[OwnerId] = set()
        self._pool = ThreadPoolExecutor(_WORKERS, "suspects")

    def record_failure(self, member: Member) -> None:
        """Records that a process did not reply."""
        with self._lock:
            self._failing_since_s.setdefault(
                OwnerId(member.host, member.incarnation), self._clock()
            )

    def check(self, members: Mapping[str, Member]) -> None:
        """Pings every suspect in the background; removes those that are no longer members."""
        live = {OwnerId(member.host, member.incarnation): member for member in members.values()}
        with self._lock:
            for owner in self._failing_since_s.keys() - live.keys():
                del self._failing_since_s[owner]
            due = self._failing_since_s.keys() - self._pinging
            self._pinging |= due
        for owner in due:
            self._pool.submit(self._ping_suspect, owner, live[owner])

    def exclude_gone(self, members: Mapping[str, Member]) -> dict[str, Member]:
        """Returns the members without those that count as gone."""
        limit_s = self._clock() - GONE_AFTER_S
        with self._lock:
            gone = {owner for owner, since_s in self._failing_since_s.items() if since_s <= limit_s}
        return {
            host: member
            for host, member in members.items()
            if OwnerId(host, member.incarnation) not in gone
        }

    def _ping_suspect(self, owner: OwnerId, member: Member) -> None:
        replied = False
        try:
            replied = self._ping(member)
        finally:
            with self._lock:
                self._pinging.discard(owner)
                if replied:
                    self._failing_since_s.pop(owner, None)
