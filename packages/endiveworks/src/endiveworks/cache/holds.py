"""Leases on the prefixes that one engine caches: renewal, expiry, release and reconciliation."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

# Longer than the interval at which owners renew leases.
UNKNOWN_GRACE_S = 15.0


class Lease(NamedTuple):
    """A program's lease on engine memory.

    Attributes:
        epoch: Epoch of the owner that last renewed it.
        expires_s: Time at which the memory is released, in seconds.
    """

    epoch: int
    expires_s: float


class Holds(NamedTuple):
    """Leases by program, and the time at which each program without one was first seen."""

    leases: Mapping[str, Lease] = {}
    unknown: Mapping[str, float] = {}


class Sweep(NamedTuple):
    """The updated leases, and the programs whose memory must be released."""

    holds: Holds
    release: tuple[str, ...]


class Renewal(NamedTuple):
    """A request from a program's owner to extend its lease."""

    program: str
    epoch: int
    expires_s: float


def renew(holds: Holds, renewals: Iterable[Renewal]) -> Holds:
    """Extends leases; a renewal with an older epoch than the lease is ignored."""
    leases = dict(holds.leases)
    for program, epoch, expires_s in renewals:
        lease = leases.get(program)
        if lease is None or epoch >= lease.epoch:
            leases[program] = Lease(epoch, expires_s)
    return holds._replace(leases=leases)


def end(holds: Holds, program: str, epoch: int) -> Sweep:
    """Ends a lease at the owner's request; ignored if its epoch is older than the lease's."""
    lease = holds.leases.get(program)
    if lease is not None and epoch < lease.epoch:
        return Sweep(holds, ())
    return Sweep(_without(holds, {program}), (program,))


def reconcile(holds: Holds, cached: Iterable[str], now_s: float) -> Sweep:
    """Reconciles the leases with the engine's own list of cached programs.

    The list is authoritative, since cache events may be late or lost. A program whose lease has
    expired is released at once. A listed program without a lease is released after a grace period
    in which its owner can renew, because this process loses all leases when it restarts.
    """
    cached_programs = set(cached)
    expired = {program for program, lease in holds.leases.items() if lease.expires_s <= now_s}
    leases = {program: lease for program, lease in holds.leases.items() if program not in expired}
    unleased = cached_programs - leases.keys()
    unknown = {program: holds.unknown.get(program, now_s) for program in unleased - expired}
    past_grace = {
        program
        for program, first_seen_s in unknown.items()
        if now_s - first_seen_s >= UNKNOWN_GRACE_S
    }
    kept = {
        program: first_seen_s
        for program, first_seen_s in unknown.items()
        if program not in past_grace
    }
    return Sweep(Holds(leases, kept), tuple(sorted(expired | past_grace)))


def _without(holds: Holds, programs: set[str]) -> Holds:
    leases = {program: lease for program, lease in holds.leases.items() if program not in programs}
    unknown = {
        program: first_seen_s
        for program, first_seen_s in holds.unknown.items()
        if program not in programs
    }
    return Holds(leases, unknown)
