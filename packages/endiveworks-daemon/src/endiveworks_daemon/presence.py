"""Keeps this process's entry in the key-value service for as long as it runs."""

import random
import threading
import time
from collections.abc import Callable

from endiveworks.kvservice.kv import Kv
from endiveworks.links.retry import backoff_s
from endiveworks.members.member import Member
from endiveworks.members.registration import Registration, Standing, renew, withdraw
from endiveworks.telemetry.logs import logger

_RENEWALS_PER_LEASE = 3
_BASE_BACKOFF_S = 0.5


class Presence:
    """The entry of this process.

    Args:
        kv: The key-value service.
        lease_s: Time to live of the lease, in seconds.
        superseded: Is called when another process has taken this one's name.
        rng: Source of randomness, which spreads the renewals of many processes.
    """

    def __init__(
        self, kv: Kv, lease_s: float, superseded: Callable[[], None], rng: random.Random
    ) -> None:
        self._rng = rng
        self._kv = kv
        self._lease_s = lease_s
        self._superseded = superseded
        self._registration: Registration | None = None
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._left = False
        self._answered_since_s: float | None = None

    def answered_since_s(self) -> float | None:
        """Returns since when the key-value service has answered each renewal, in monotonic seconds.

        None while it does not.
        """
        return self._answered_since_s

    def announce(self, member: Member) -> None:
        """Writes the entry and keeps its lease; during an outage it goes on trying."""
        self._registration = Registration(member, int(self._lease_s))
        failed = self._renew()
        threading.Thread(
            target=self._renew_forever, args=(failed,), name="presence", daemon=True
        ).start()

    def lease(self) -> int:
        """Returns the lease of the entry; 0 while there is none."""
        with self._lock:
            return self._registration.lease if self._registration is not None else 0

    def take_work(self, taking: bool) -> None:
        """Writes whether this process takes new work, unless it is leaving."""
        with self._lock:
            if self._left or not self._set_draining(not taking):
                return
        self._renew()

    def leave(self) -> None:
        """Writes that this process takes no new work, for good."""
        with self._lock:
            self._left = True
            if not self._set_draining(True):
                return
        self._renew()

    def forget(self) -> None:
        """Deletes the entry; if the service is down, it goes with its lease."""
        self._stop.set()
        with self._lock:
            if self._registration is not None:
                withdraw(self._kv, self._registration)

    def _set_draining(self, draining: bool) -> bool:
        """Notes what the entry is to say; returns whether there is one."""
        if self._registration is None:
            return False
        member = self._registration.member._replace(draining=draining)
        self._registration = self._registration._replace(member=member)
        return True

    def _renew_forever(self, failed: bool) -> None:
        failures = int(failed)
        while not self._stop.wait(self._wait_s(failures)):
            failures = failures + 1 if self._renew() else 0

    def _wait_s(self, failures: int) -> float:
        period_s = self._lease_s / _RENEWALS_PER_LEASE
        if not failures:
            return period_s * self._rng.uniform(0.9, 1.0)
        return backoff_s(failures, _BASE_BACKOFF_S, period_s, self._rng.random())

    def _renew(self) -> bool:
        """Renews once; returns whether it failed."""
        with self._lock:
            if self._registration is None or self._stop.is_set():
                return False
            before = self._registration
            renewal = renew(self._kv, before)
            self._registration = renewal.registration
            self._note_answer(renewal.failure is None)
        _log(before, renewal.registration)
        if renewal.registration.standing is Standing.SUPERSEDED is not before.standing:
            self._superseded()
        return renewal.failure is not None

    def _note_answer(self, answered: bool) -> None:
        if not answered:
            self._answered_since_s = None
        elif self._answered_since_s is None:
            self._answered_since_s = time.monotonic()


def _log(before: Registration, after: Registration) -> None:
    if before.lease != after.lease and before.lease:
        logger("members").warning("lease_lapsed", lease=before.lease)
    if after.standing is Standing.REGISTERED is not before.standing:
        logger("members").info("registered", lease=after.lease)
