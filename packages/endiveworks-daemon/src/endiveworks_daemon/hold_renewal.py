"""Renews the engine memory of the programs that this host owns, and releases it for the closed."""

import threading
import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import NamedTuple

from endiveworks.links.client import Peers
from endiveworks.members.member import Member
from endiveworks.programs.owner import Owner
from endiveworks.programs.state import Partition
from endiveworks.wire.gen import ttypes

RENEW_S = 10.0
KEEP_MS = 30_000
LONGEST_PAUSE_S = 900.0
_TIMEOUT_S = 2.0


class _Seen(NamedTuple):
    """A program as this host saw it last: its calls so far, and since when there are as many."""

    calls: int
    since_s: float


class _Due(NamedTuple):
    """Messages of one round: holds to renew and programs to release, by host."""

    renew: dict[str, list[ttypes.Hold]]
    release: dict[str, list[ttypes.Hold]]


class HoldRenewal:
    """State of the renewals.

    A program whose caller stays away for LONGEST_PAUSE_S keeps its history but not its prefix.

    Args:
        owner: Programs of this host.
        peers: Connections to processes beside upstreams.
        origin: Returns the sender of the messages.
        members: Returns the live processes by host.
    """

    def __init__(
        self,
        owner: Owner,
        peers: Peers,
        origin: Callable[[], ttypes.Origin],
        members: Callable[[], Mapping[str, Member]],
    ) -> None:
        self._owner = owner
        self._peers = peers
        self._origin = origin
        self._members = members
        self._seen: dict[str, _Seen] = {}
        self._released: set[str] = set()

    def start(self) -> None:
        """Starts renewing in a daemon thread."""
        threading.Thread(target=self._run, name="hold-renewal", daemon=True).start()

    def renew(self) -> None:
        """Sends one round of renewals and releases."""
        due = self._due(time.monotonic())
        members = self._members()
        for host, holds in due.renew.items():
            if host in members:
                self._send_renew(members[host], holds)
        for host, holds in due.release.items():
            if host in members:
                self._send_release(members[host], holds)

    def _due(self, now_s: float) -> _Due:
        due = _Due(defaultdict(list), defaultdict(list))
        seen: dict[str, _Seen] = {}
        released: set[str] = set()

        def look(partition: Partition) -> list[tuple[str, str, int, bool]]:
            return [
                (name, program.last_upstream, program.next_call, program.closed is not None)
                for name, program in partition.programs.items()
                if program.last_upstream
            ]

        for epoch, rows in self._owner.query_partitions(look):
            for name, host, calls, closed in rows:
                hold = ttypes.Hold(name, epoch, KEEP_MS)
                if closed:
                    released.add(name)
                    if name not in self._released:
                        due.release[host].append(hold)
                    continue
                known = self._seen.get(name)
                since_s = known.since_s if known and known.calls == calls else now_s
                seen[name] = _Seen(calls, since_s)
                if now_s - since_s < LONGEST_PAUSE_S:
                    due.renew[host].append(hold)
        self._seen = seen
        # A program leaves the state some time after it was closed, and this set with it.
        self._released = released
        return due

    def _send_renew(self, member: Member, holds: list[ttypes.Hold]) -> None:
        self._peers.call(
            member.address,
            "upstream.renew",
            _TIMEOUT_S,
            lambda client: client.renew(self._origin(), holds),
        )

    def _send_release(self, member: Member, holds: list[ttypes.Hold]) -> None:
        for hold in holds:
            self._release(member, hold)

    def _release(self, member: Member, hold: ttypes.Hold) -> None:
        self._peers.call(
            member.address,
            "upstream.release",
            _TIMEOUT_S,
            lambda client: client.release(self._origin(), hold.program, hold.epoch),
        )

    def _run(self) -> None:
        while True:
            time.sleep(RENEW_S)
            self.renew()
