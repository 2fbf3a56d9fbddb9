"""Owners that do not answer, which are given up before their lease lapses."""

import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor

from endiveworks.members.member import Member
from endiveworks.ownership.record import OwnerId

GONE_AFTER_S = 3.0
_WORKERS = 4


class Suspects:
    """Processes that failed to answer, and since when.

    Taking a partition from a process that is still alive is safe, since its appends are refused
    from then on; it costs a move. So a process counts as gone once it has answered nothing for a
    few seconds, and as there again with its first answer.

    Args:
        ping: Asks a process for a sign of life; returns whether it answered.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self, ping: Callable[[Member], bool], clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._ping = ping
        self._clock = clock
        self._lock = threading.Lock()
        self._since: dict[OwnerId, float] = {}
        self._asked: set[OwnerId] = set()
        self._pool = ThreadPoolExecutor(_WORKERS, "suspects")

    def note(self, member: Member) -> None:
        """Notes that a process did not answer."""
        with self._lock:
            self._since.setdefault(OwnerId(member.host, member.incarnation), self._clock())

    def check(self, members: Mapping[str, Member]) -> None:
        """Asks every suspect again, in the background; forgets those that have left."""
        known = {OwnerId(one.host, one.incarnation): one for one in members.values()}
        with self._lock:
            for owner in self._since.keys() - known.keys():
                del self._since[owner]
            due = self._since.keys() - self._asked
            self._asked |= due
        for owner in due:
            self._pool.submit(self._ask, owner, known[owner])

    def without_gone(self, members: Mapping[str, Member]) -> dict[str, Member]:
        """Returns the hosts that are not held to be gone."""
        limit_s = self._clock() - GONE_AFTER_S
        with self._lock:
            gone = {owner for owner, since_s in self._since.items() if since_s <= limit_s}
        return {
            host: member
            for host, member in members.items()
            if OwnerId(host, member.incarnation) not in gone
        }

    def _ask(self, owner: OwnerId, member: Member) -> None:
        answered = False
        try:
            answered = self._ping(member)
        finally:
            with self._lock:
                self._asked.discard(owner)
                if answered:
                    self._since.pop(owner, None)
