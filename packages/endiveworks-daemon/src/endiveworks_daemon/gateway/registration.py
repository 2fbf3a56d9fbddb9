"""Registers an entry with the key-value service, so that others can use it as a relay to disks.

The registration isn't used to detect failures, so its lease is long and outlives a restart: every
process reads each change of it, and calls to the key-value service are billed.
"""

import random
import threading
from collections.abc import Callable

from endiveworks.kvservice.kv import Kv, Swap
from endiveworks.links.retry import backoff_s
from endiveworks.links.threads import start_forever
from endiveworks.members.member import Member
from endiveworks.members.registry import HOSTS_PREFIX, encode_member
from endiveworks.telemetry import logs
from returns.result import Success

LEASE_S = 600  # The longest lease that the key-value service grants.
RENEW_S = 200.0  # A third of the lease.
_BASE_BACKOFF_S = 1.0
_MAX_BACKOFF_S = 10.0


def register_forever(kv: Kv, member: Member, wait: Callable[[float], bool]) -> None:
    """Keeps a process registered until wait returns True.

    Args:
        kv: The key-value service.
        member: The member to register; equal after a restart, so that nothing is written then.
        wait: Waits for some seconds and returns whether to stop.
    """
    rng = random.Random()
    failures = 0
    while True:
        failures = 0 if register_once(kv, member) else failures + 1
        wait_s = RENEW_S
        if failures:
            wait_s = backoff_s(failures, _BASE_BACKOFF_S, _MAX_BACKOFF_S, rng.random())
        if wait(wait_s):
            return


def register_once(kv: Kv, member: Member) -> bool:
    """Renews the lease of the registration, or writes it anew; returns whether that succeeded."""
    key = HOSTS_PREFIX + member.host
    read = kv.read(key)
    if not isinstance(read, Success):
        return _log_failure(str(read.failure()))
    entry, value = read.unwrap(), encode_member(member)
    if entry is not None and entry.value == value and entry.lease:
        renewed = kv.keep_alive(entry.lease)
        if isinstance(renewed, Success) and renewed.unwrap() > 0:
            return True
        return _log_failure("the lease could not be renewed")
    lease = kv.grant_lease(LEASE_S)
    if not isinstance(lease, Success):
        return _log_failure(str(lease.failure()))
    revision = entry.mod_revision if entry is not None else 0
    written = kv.swap(Swap(key, value, revision, lease.unwrap()))
    if not isinstance(written, Success) or not written.unwrap().done:
        return _log_failure("the registration could not be written")
    logs.logger("members").info("registered", lease=lease.unwrap())
    return True


def register_in_background(kv: Kv, member: Member) -> None:
    """Keeps a process registered from a daemon thread."""
    stop = threading.Event()
    start_forever("listing", lambda: register_forever(kv, member, stop.wait))


def _log_failure(reason: str) -> bool:
    logs.logger("members").warning("not_registered", reason=reason)
    return False
