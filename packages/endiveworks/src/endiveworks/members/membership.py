"""Tracks the members of the deployment and keeps the list up to date."""

import random
import threading
import time
from collections.abc import Callable, Mapping

from returns.result import Result, Success

from ..errors import Failure
from ..kvservice.host_list import ListedHost
from ..kvservice.kv import Change, Kv
from ..kvservice.watch_loop import WatchedPrefix, run_watch_loop
from ..telemetry.logs import logger
from . import membership_state
from .member import Member
from .membership_state import MembershipState
from .registry import HOSTS_PREFIX


class Membership:
    """One process's state of the membership, shared by its threads.

    Args:
        clock: Returns the monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._state = MembershipState()
        self._members: Mapping[str, Member] = {}

    def members(self) -> Mapping[str, Member]:
        """Returns the members by host, including those that are draining."""
        if self._state.missing_since_s:
            self._update(lambda state: membership_state.remove_expired(state, self._clock()))
        return self._members

    def usable(self) -> Mapping[str, Member]:
        """Returns the members by host that are neither draining nor suspected."""
        self.members()
        return membership_state.usable(self._state, self._clock())

    def record_failure(self, host: str, incarnation: int) -> None:
        """Records a refused connection or a missed heartbeat of a host."""
        self._update(
            lambda state: membership_state.record_failure(state, host, incarnation, self._clock())
        )

    def record_success(self, host: str, incarnation: int, draining: bool) -> None:
        """Records a response of a host, and whether the response reports that it is draining."""
        state = self._state
        is_newly_draining = draining and state.draining.get(host) != incarnation
        if is_newly_draining or host in state.suspicions:
            self._update(
                lambda state: membership_state.record_success(state, host, incarnation, draining)
            )

    def apply_host_list(self, hosts: tuple[ListedHost, ...]) -> None:
        """Applies the platform's host list."""
        self._update(lambda state: membership_state.apply_host_list(state, hosts))

    def load(self, kv: Kv) -> bool:
        """Reads all host records; returns whether the key-value service responded."""
        found = kv.read_prefix(HOSTS_PREFIX)
        if not isinstance(found, Success):
            return False
        snapshot = found.unwrap()
        self._update(lambda state: membership_state.apply_snapshot(state, snapshot, self._clock()))
        return True

    def follow(self, kv: Kv, sleep: Callable[[float], None], rng: random.Random) -> None:
        """Keeps the members up to date for as long as the process runs."""

        def watch() -> Result[None, Failure]:
            return kv.watch(HOSTS_PREFIX, self._state.revision, self._on_changes)

        run_watch_loop(WatchedPrefix(lambda: self.load(kv), watch), sleep, rng)

    def _on_changes(self, changes: tuple[Change, ...]) -> bool:
        if changes:
            self._update(
                lambda state: membership_state.apply_changes(state, changes, self._clock())
            )
        return True

    def _update(self, change: Callable[[MembershipState], MembershipState]) -> None:
        with self._lock:
            before = self._members
            self._state = change(self._state)
            self._members = membership_state.members(self._state)
        for host in before.keys() - self._members.keys():
            logger("members").info("host_removed", peer=host)
