"""Asks the processes beside upstreams for their load, a few each second in rotation."""

import threading
import time
from collections.abc import Callable, Mapping

from endiveworks.links.client import Peers
from endiveworks.members.member import Member
from endiveworks.wire.gen import ttypes
from returns.result import Success

from .choice import Choices, Report

_PERIOD_S = 1.0
_ASKED_EACH_PERIOD = 8
_TIMEOUT_S = 1.0


class LoadReports:
    """Rotation over the upstream processes.

    Args:
        peers: Connections to processes beside upstreams.
        origin: Returns the sender of the messages.
        members: Returns the live processes by host.
        choices: Takes the reports.
    """

    def __init__(
        self,
        peers: Peers,
        origin: Callable[[], ttypes.Origin],
        members: Callable[[], Mapping[str, Member]],
        choices: Choices,
    ) -> None:
        self._peers = peers
        self._origin = origin
        self._members = members
        self._choices = choices
        self._last = ""

    def start(self) -> None:
        """Starts asking in a daemon thread."""
        threading.Thread(target=self._run, name="load-reports", daemon=True).start()

    def ask_next(self) -> None:
        """Asks the next few processes."""
        members = self._members()
        hosts = sorted(host for host, member in members.items() if member.role == "upstream")
        rotated = [host for host in hosts if host > self._last]
        rotated += [host for host in hosts if host <= self._last]
        for host in rotated[:_ASKED_EACH_PERIOD]:
            self._last = host
            self._ask(members[host])

    def _ask(self, member: Member) -> None:
        asked_s = time.monotonic()
        status = self._peers.call(
            member.address,
            "upstream.ping",
            _TIMEOUT_S,
            lambda client: client.ping(self._origin()),
        )
        if isinstance(status, Success):
            found = status.unwrap()
            self._choices.reported(member.host, Report(asked_s, found.running, found.queued))

    def _run(self) -> None:
        while True:
            self.ask_next()
            time.sleep(_PERIOD_S)
