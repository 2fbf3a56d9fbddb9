"""Polls the upstream processes for their load, a few per second, round robin."""

import time
from collections.abc import Callable, Mapping

from endiveworks.links.client import Peers
from endiveworks.links.threads import start_forever
from endiveworks.members.member import Member
from endiveworks.wire.gen import ttypes
from returns.result import Success

from .upstream_selector import LoadReport, UpstreamSelector

_PERIOD_S = 1.0
_POLLED_PER_PERIOD = 8
_TIMEOUT_S = 1.0


class LoadPoller:
    """Polls the upstream processes round robin.

    Args:
        peers: Connections to upstream processes.
        origin: Returns the sender of the messages.
        members: Returns the live processes by host.
        selector: Records the reports.
    """

    def __init__(
        self,
        peers: Peers,
        origin: Callable[[], ttypes.Origin],
        members: Callable[[], Mapping[str, Member]],
        selector: UpstreamSelector,
    ) -> None:
        self._peers = peers
        self._origin = origin
        self._members = members
        self._selector = selector
        self._last_host = ""

    def start(self) -> None:
        """Starts polling in a daemon thread."""
        start_forever("load-reports", self._run)

    def poll_next(self) -> None:
        """Polls the next few processes."""
        members = self._members()
        hosts = sorted(host for host, member in members.items() if member.role == "upstream")
        rotated = [host for host in hosts if host > self._last_host]
        rotated += [host for host in hosts if host <= self._last_host]
        for host in rotated[:_POLLED_PER_PERIOD]:
            self._last_host = host
            self._poll(members[host])

    def _poll(self, member: Member) -> None:
        requested_at_s = time.monotonic()
        status = self._peers.call(
            member.address,
            "upstream.ping",
            _TIMEOUT_S,
            lambda client: client.ping(self._origin()),
        )
        if isinstance(status, Success):
            load = status.unwrap()
            self._selector.record_report(
                member.host, LoadReport(requested_at_s, load.running, load.queued)
            )

    def _run(self) -> None:
        while True:
            self.poll_next()
            time.sleep(_PERIOD_S)
