"""Holds a process's view of the others and keeps it up to date."""

import random
import threading
import time
from collections.abc import Callable, Mapping

from returns.result import Result, Success

from ..errors import Failure
from ..kvservice.following import Source, follow
from ..kvservice.host_list import ListedHost
from ..kvservice.kv import Change, Kv
from ..telemetry.logs import logger
from . import view as views
from .member import Member
from .registry import HOSTS_PREFIX
from .view import View


class Membership:
    """The view of one process, shared by its threads.

    Args:
        clock: Returns the monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._view = View()
        self._members: Mapping[str, Member] = {}

    def members(self) -> Mapping[str, Member]:
        """Returns the hosts by name, those that are leaving included."""
        if self._view.vanished:
            self._update(lambda view: views.expired(view, self._clock()))
        return self._members

    def usable(self) -> Mapping[str, Member]:
        """Returns the hosts that take new work, as far as is known."""
        self.members()
        return views.usable(self._view, self._clock())

    def unanswered(self, host: str, incarnation: int) -> None:
        """Notes a refused connection or a missed heartbeat of a host."""
        self._update(lambda view: views.unanswered(view, host, incarnation, self._clock()))

    def answered(self, host: str, incarnation: int, draining: bool) -> None:
        """Notes that a host answered, and whether it said that it is leaving."""
        view = self._view
        news = draining and view.draining.get(host) != incarnation
        if news or host in view.suspicions:
            self._update(lambda view: views.answered(view, host, incarnation, draining))

    def listed(self, hosts: tuple[ListedHost, ...]) -> None:
        """Takes the platform's list over."""
        self._update(lambda view: views.listed(view, hosts))

    def load(self, kv: Kv) -> bool:
        """Reads all entries; returns whether the key-value service answered."""
        read = kv.read_prefix(HOSTS_PREFIX)
        if not isinstance(read, Success):
            return False
        snapshot = read.unwrap()
        self._update(lambda view: views.loaded(view, snapshot, self._clock()))
        return True

    def follow(self, kv: Kv, sleep: Callable[[float], None], rng: random.Random) -> None:
        """Keeps the view up to date for as long as the process runs."""

        def watch() -> Result[None, Failure]:
            return kv.watch(HOSTS_PREFIX, self._view.revision, self._on_changes)

        follow(Source(lambda: self.load(kv), watch), sleep, rng)

    def _on_changes(self, changes: tuple[Change, ...]) -> bool:
        if changes:
            self._update(lambda view: views.changed(view, changes, self._clock()))
        return True

    def _update(self, change: Callable[[View], View]) -> None:
        with self._lock:
            before = self._members
            self._view = change(self._view)
            self._members = views.members(self._view)
        for host in before.keys() - self._members.keys():
            logger("members").info("host_removed", peer=host)
