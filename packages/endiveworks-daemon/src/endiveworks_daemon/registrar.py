"""Keeps this process registered in the key-value service while it runs."""

import random
import threading
import time
from collections.abc import Callable

from endiveworks.kvservice.kv import Kv
from endiveworks.links.retry import backoff_s
from endiveworks.links.threads import start_forever
from endiveworks.members.member import Member
from endiveworks.members.registration import Registration, RegistrationState, deregister, renew
from endiveworks.telemetry.logs import logger

_RENEWALS_PER_LEASE = 3
_BASE_BACKOFF_S = 0.5


class Registrar:
    """Registers this process and renews the lease of its entry in a thread.

    Args:
        kv: The key-value service.
        lease_s: Time to live of the lease, in seconds.
        on_superseded: Called when another process has registered under this one's name.
        rng: Source of the jitter that spreads the renewals of many processes.
    """

    def __init__(
        self, kv: Kv, lease_s: float, on_superseded: Callable[[], None], rng: random.Random
    ) -> None:
        self._rng = rng
        self._kv = kv
        self._lease_s = lease_s
        self._on_superseded = on_superseded
        self._registration: Registration | None = None
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._leaving = False
        self._available_since_s: float | None = None

    def available_since_s(self) -> float | None:
        """Returns the monotonic time since which every renewal has succeeded.

        None before the first success and after a failure.
        """
        return self._available_since_s

    def register(self, member: Member) -> None:
        """Writes the entry and renews its lease; retries during an outage."""
        self._registration = Registration(member, int(self._lease_s))
        failed = self._renew()
        start_forever("presence", lambda: self._renew_forever(failed))

    def lease(self) -> int:
        """Returns the lease of the entry; 0 while there is none."""
        with self._lock:
            return self._registration.lease if self._registration is not None else 0

    def set_accepting(self, accepting: bool) -> None:
        """Publishes whether this process accepts new work; no effect once it is leaving."""
        with self._lock:
            if self._leaving or not self._set_draining(not accepting):
                return
        self._renew()

    def drain(self) -> None:
        """Publishes that this process no longer accepts work, permanently."""
        with self._lock:
            self._leaving = True
            if not self._set_draining(True):
                return
        self._renew()

    def deregister(self) -> None:
        """Deletes the entry; if the service is down, the entry expires with its lease."""
        self._stop.set()
        with self._lock:
            if self._registration is not None:
                deregister(self._kv, self._registration)

    def _set_draining(self, draining: bool) -> bool:
        """Updates the entry to be written; returns whether this process has registered."""
        if self._registration is None:
            return False
        member = self._registration.member._replace(draining=draining)
        self._registration = self._registration._replace(member=member)
        return True

    def _renew_forever(self, failed: bool) -> None:
        failures = int(failed)
        while not self._stop.wait(self._renewal_delay_s(failures)):
            failures = failures + 1 if self._renew() else 0

    def _renewal_delay_s(self, failures: int) -> float:
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
            self._record_renewal(renewal.failure is None)
        _log_transition(before, renewal.registration)
        if renewal.registration.state is RegistrationState.SUPERSEDED is not before.state:
            self._on_superseded()
        return renewal.failure is not None

    def _record_renewal(self, succeeded: bool) -> None:
        if not succeeded:
            self._available_since_s = None
        elif self._available_since_s is None:
            self._available_since_s = time.monotonic()


def _log_transition(before: Registration, after: Registration) -> None:
    if before.lease != after.lease and before.lease:
        logger("members").warning("lease_lapsed", lease=before.lease)
    if after.state is RegistrationState.REGISTERED is not before.state:
        logger("members").info("registered", lease=after.lease)
