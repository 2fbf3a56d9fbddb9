"""Leases on the prefixes that one engine caches: renewal, expiry, release and reconciliation."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

# Longer than the interval at which owners renew leases.
UNLEASED_GRACE_S = 15.0


class Lease(NamedTuple):
    """A program's lease on engine memory.

    Attributes:
        epoch: Epoch of the owner that last renewed it.
        expires_s: Time at which the memory is released, in seconds.
    """

    epoch: int
    expires_s: float


class LeaseTable(NamedTuple):
    """Leases by program, and the time at which each program without one was first seen."""

    leases: Mapping[str, Lease] = {}
    unleased_since_s: Mapping[str, float] = {}


class LeaseUpdate(NamedTuple):
    """The updated leases, and the programs whose memory must be released."""

    table: LeaseTable
    to_release: tuple[str, ...]


class Renewal(NamedTuple):
    """A request from a program's owner to extend its lease."""

    program: str
    epoch: int
    expires_s: float


def renew(table: LeaseTable, renewals: Iterable[Renewal]) -> LeaseTable:
    """Extends leases; a renewal with an older epoch than the lease is ignored."""
    leases = dict(table.leases)
    for program, epoch, expires_s in renewals:
        lease = leases.get(program)
        if lease is None or epoch >= lease.epoch:
            leases[program] = Lease(epoch, expires_s)
    return table._replace(leases=leases)


def end_lease(table: LeaseTable, program: str, epoch: int) -> LeaseUpdate:
    """Ends a lease at the owner's request; ignored if its epoch is older than the lease's."""
    lease = table.leases.get(program)
    if lease is not None and epoch < lease.epoch:
        return LeaseUpdate(table, ())
    return LeaseUpdate(_without(table, {program}), (program,))


def reconcile(table: LeaseTable, cached: Iterable[str], now_s: float) -> LeaseUpdate:
    """Reconciles the leases with the engine's own list of cached programs.

    The list is authoritative, since cache events may be late or lost. A program whose lease has
    expired is released at once. A listed program without a lease is released after a grace period
    in which its owner can renew, because this process loses all leases when it restarts.
    """
    cached_programs = set(cached)
    expired = {program for program, lease in table.leases.items() if lease.expires_s <= now_s}
    leases = {program: lease for program, lease in table.leases.items() if program not in expired}
    unleased = cached_programs - leases.keys()
    unleased_since_s = {
        program: table.unleased_since_s.get(program, now_s) for program in unleased - expired
    }
    past_grace = {
        program
        for program, first_seen_s in unleased_since_s.items()
        if now_s - first_seen_s >= UNLEASED_GRACE_S
    }
    kept = {
        program: first_seen_s
        for program, first_seen_s in unleased_since_s.items()
        if program not in past_grace
    }
    return LeaseUpdate(LeaseTable(leases, kept), tuple(sorted(expired | past_grace)))


def _without(table: LeaseTable, programs: set[str]) -> LeaseTable:
    leases = {program: lease for program, lease in table.leases.items() if program not in programs}
    unleased_since_s = {
        program: first_seen_s
        for program, first_seen_s in table.unleased_since_s.items()
        if program not in programs
    }
    return LeaseTable(leases, unleased_since_s)
