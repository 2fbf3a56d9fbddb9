"""Renews the prefix leases of the programs that this host owns; ends those of closed programs."""

import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import NamedTuple

from endiveworks.links.client import Peers
from endiveworks.links.threads import start_forever
from endiveworks.members.member import Member
from endiveworks.programs.owner import Owner
from endiveworks.programs.state import Partition
from endiveworks.wire.gen import ttypes

RENEW_INTERVAL_S = 10.0
LEASE_MS = 30_000
MAX_PAUSE_S = 900.0
_TIMEOUT_S = 2.0


class _CallCount(NamedTuple):
    """Call count of a program in the last round, and the monotonic time of its last change."""

    calls: int
    since_s: float


class _Messages(NamedTuple):
    """Messages of one round, by host: leases to renew and leases to end."""

    renew: dict[str, list[ttypes.Hold]]
    release: dict[str, list[ttypes.Hold]]


class PrefixLeaseRenewer:
    """Renews the prefix leases of a host's programs periodically.

    A program without a new call for MAX_PAUSE_S keeps its history but loses its prefix lease.

    Args:
        owner: Programs of this host.
        peers: Connections to upstream processes.
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
        self._call_counts: dict[str, _CallCount] = {}
        self._released: set[str] = set()

    def start(self) -> None:
        """Starts a daemon thread that sends the renewals."""
        start_forever("hold-renewal", self._run)

    def renew(self) -> None:
        """Sends one round of renewals and releases."""
        messages = self._collect_messages(time.monotonic())
        members = self._members()
        for host, holds in messages.renew.items():
            if host in members:
                self._send_renew(members[host], holds)
        for host, holds in messages.release.items():
            if host in members:
                self._send_release(members[host], holds)

    def _collect_messages(self, now_s: float) -> _Messages:
        messages = _Messages(defaultdict(list), defaultdict(list))
        call_counts: dict[str, _CallCount] = {}
        released: set[str] = set()

        def list_programs(partition: Partition) -> list[tuple[str, str, int, bool]]:
            return [
                (name, program.last_upstream, program.next_call, program.closed is not None)
                for name, program in partition.programs.items()
                if program.last_upstream
            ]

        for epoch, rows in self._owner.query_partitions(list_programs):
            for name, host, calls, closed in rows:
                hold = ttypes.Hold(name, epoch, LEASE_MS)
                if closed:
                    released.add(name)
                    if name not in self._released:
                        messages.release[host].append(hold)
                    continue
                previous = self._call_counts.get(name)
                since_s = previous.since_s if previous and previous.calls == calls else now_s
                call_counts[name] = _CallCount(calls, since_s)
                if now_s - since_s < MAX_PAUSE_S:
                    messages.renew[host].append(hold)
        self._call_counts = call_counts
        # A closed program is later removed from the partition's state, and then from this set.
        self._released = released
        return messages

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
            time.sleep(RENEW_INTERVAL_S)
            self.renew()
