"""Choice of an upstream process by its last use and by this host's calls under way."""

import threading
from collections import Counter
from collections.abc import Mapping

from endiveworks.calls.stream import Ending
from endiveworks.errors import Code, Failure
from endiveworks.members.member import Member
from endiveworks.programs.plan import Wanted
from returns.result import Failure as Err
from returns.result import Result, Success

_RETRY_S = 1.0


class Sends:
    """Calls that this host has under way at each upstream process."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._under_way: Counter[str] = Counter()

    def choose(self, wanted: Wanted, members: Mapping[str, Member]) -> Result[Member, Failure]:
        """Chooses the process that the program used last, else the one with the fewest calls."""
        name = wanted.service.name
        candidates = [
            member
            for member in members.values()
            if member.service == name and not member.draining and member.host not in wanted.refused
        ]
        if not candidates:
            detail = f"no upstream of {name!r} takes the call"
            return Err(Failure(Code.NO_UPSTREAM, "choice.choose", "", detail, True, _RETRY_S))
        with self._lock:
            chosen = min(candidates, key=lambda member: self._rank(wanted, member))
            self._under_way[chosen.host] += 1
        return Success(chosen)

    def done(self, host: str, wanted: Wanted, ending: Ending) -> None:
        """Notes that a call has ended."""
        with self._lock:
            self._under_way[host] -= 1

    def _rank(self, wanted: Wanted, member: Member) -> tuple[bool, int, str]:
        return (
            member.host != wanted.last_upstream,
            self._under_way[member.host],
            member.host,
        )
