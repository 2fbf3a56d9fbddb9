"""The entry of a process that serves callers, by which others find it to reach disks over it.

Nothing depends on whether the process lives, so its lease is long and outlives a restart: each
change of an entry is read by every process, and calls to the key-value service are paid for.
"""

import random
import threading
from collections.abc import Callable

from endiveworks.kvservice.kv import Kv, Swap
from endiveworks.links.retry import backoff_s
from endiveworks.members.member import Member
from endiveworks.members.registry import HOSTS_PREFIX, encode_member
from endiveworks.telemetry import logs
from returns.result import Success

LEASE_S = 600  # The longest that the key-value service grants.
RENEW_S = 200.0  # A third of the lease.
_BASE_BACKOFF_S = 1.0
_MAX_BACKOFF_S = 10.0


def list_forever(kv: Kv, member: Member, wait: Callable[[float], bool]) -> None:
    """Keeps the entry of a process until wait returns True.

    Args:
        kv: The key-value service.
        member: What the entry says; the same after a restart, so that nothing is written then.
        wait: Waits for some seconds; returns whether to end.
    """
    rng = random.Random()
    failures = 0
    while True:
        failures = 0 if list_once(kv, member) else failures + 1
        pause_s = RENEW_S
        if failures:
            pause_s = backoff_s(failures, _BASE_BACKOFF_S, _MAX_BACKOFF_S, rng.random())
        if wait(pause_s):
            return


def list_once(kv: Kv, member: Member) -> bool:
    """Writes the entry unless it is there, and renews its lease; returns whether it holds."""
    key = HOSTS_PREFIX + member.host
    found = kv.read(key)
    if not isinstance(found, Success):
        return _failed(str(found.failure()))
    entry, value = found.unwrap(), encode_member(member)
    if entry is not None and entry.value == value and entry.lease:
        kept = kv.keep_alive(entry.lease)
        if isinstance(kept, Success) and kept.unwrap() > 0:
            return True
        return _failed("its lease was not renewed")
    lease = kv.grant_lease(LEASE_S)
    if not isinstance(lease, Success):
        return _failed(str(lease.failure()))
    revision = entry.mod_revision if entry is not None else 0
    written = kv.swap(Swap(key, value, revision, lease.unwrap()))
    if not isinstance(written, Success) or not written.unwrap().done:
        return _failed("the entry was not written")
    logs.logger("members").info("registered", lease=lease.unwrap())
    return True


def list_in_background(kv: Kv, member: Member) -> None:
    """Keeps the entry of a process in a thread, for as long as the process runs."""
    ending = threading.Event()
    args = (kv, member, ending.wait)
    threading.Thread(target=list_forever, args=args, name="listing", daemon=True).start()


def _failed(reason: str) -> bool:
    logs.logger("members").warning("not_registered", reason=reason)
    return False
